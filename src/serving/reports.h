#pragma once

/// \file
/// Exchange of load reports between daemons, one per datagram: on each load
/// change within the data centre; between data centres periodic summaries, from
/// one member to a few.

#include <absl/container/flat_hash_map.h>

#include <array>
#include <string>

#include "front.h"
#include "fulmarpitch/serving/report-wire.h"

namespace fulmar::serving {

/// Intervals and limits of the report exchange.
struct report_options {
  /// Changes within this time are coalesced into one report.
  instant coalesce_delay = std::chrono::milliseconds(2);
  /// Interval of reports to the own data centre without a change: four fit in
  /// the expiry of a report.
  instant idle_interval = std::chrono::milliseconds(250);
  /// Interval of summaries to each other data centre; this traffic is billed
  /// by the byte.
  instant summary_interval = std::chrono::milliseconds(500);
  /// Members of another data centre that each summary is sent to, so that one
  /// datagram may be lost.
  std::size_t summary_receivers = 2;
  /// Interval of reports to addresses that do not answer.
  instant discovery_interval = std::chrono::milliseconds(2000);
  /// An address silent for longer than this gets discovery reports only.
  instant silence_timeout = std::chrono::seconds(5);
  /// Most addresses listed in a reply to a daemon that discovers peers.
  std::size_t max_known = 16;
};

class report_exchange {
 public:
  explicit report_exchange(front& in, report_options options = {});

  /// Binds the port and starts to receive and send.
  absl::Status start();

  /// Schedules a report after a change of the own loads.
  void changed();

  /// Adds the IP address of a daemon that may be alive.
  /// \param data_centre its data centre; empty when unknown.
  void add_address(const std::string& address, const std::string& data_centre);

  /// \return whether an IP address is that of a daemon, as told by the
  ///     settings, the store or other daemons.
  bool knows(const std::string& address) const;

  /// Sends table changes to the members of the own data centre.
  void send_feed(const feed_page& page);

  /// Sends a report to the own data centre immediately, for example before
  /// shutdown.
  void send_to_all();

 private:
  struct peer {
    udp::endpoint endpoint;
    std::string data_centre;
    instant heard{};
    instant next_send{};
  };

  bool is_near(const peer& it) const;
  bool is_heard_near(const peer& it, instant now) const;
  task<void> receive();
  task<void> send_on_change();
  task<void> send_on_time();
  void take(const char* bytes, std::size_t size);
  void reply_to_discovery(const load_report& from, instant now);
  void send_reports(instant now);
  void send_summaries(instant now);
  void send(const peer& to, const std::string& bytes);
  load_report own_report(instant now);
  /// Builds a report for all members, which hear of teams' requests only so.
  load_report report_with_counts(instant now);
  sent_summary own_summary(instant now);
  void record_contact(const std::string& address, instant now);
  /// Records the configuration that a daemon has in force.
  void note_configuration(const std::string& address, std::uint64_t version,
                          instant now);
  /// \return the version to report; 0 if other daemons can't fetch it here.
  std::uint64_t own_configuration() const;
  /// Stores a summary and forwards it within this data centre if it came
  /// directly from the data centre that it describes.
  void forward_summary(sent_summary it);
  std::vector<peer*> summary_receivers(const std::string& data_centre,
                                       instant now);

  front& front_;
  report_options options_;
  udp::socket socket_;
  asio::steady_timer change_;
  bool pending_ = false;
  std::uint64_t sequence_ = 0;
  absl::flat_hash_map<std::string, peer> peers_;
  instant next_summary_{};
  /// Counts the rounds of summaries: rotates through the receivers in other
  /// data centres, also silent ones, and numbers the summaries.
  std::size_t summary_turn_ = 0;
  /// Aligned because FlatBuffers reads numbers of a datagram in place.
  alignas(std::uint64_t) std::array<char, max_datagram_bytes> input_{};
};

}  // namespace fulmar::serving
