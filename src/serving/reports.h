#pragma once

/// \file
/// Reports between daemons, one a datagram: at once within the data centre when
/// a load changes; between data centres summaries, from one member to a few.

#include <absl/container/flat_hash_map.h>

#include <array>
#include <string>

#include "front.h"
#include "fulmarpitch/serving/report-wire.h"

namespace fulmar::serving {

/// How often daemons report.
struct report_options {
  /// Changes within this time go out as one report.
  instant gather = std::chrono::milliseconds(2);
  /// Reports to the own data centre without a change: four in the time after
  /// which a report no longer counts.
  instant idle_period = std::chrono::milliseconds(250);
  /// Summaries to each other data centre, where each byte is paid.
  instant far_period = std::chrono::milliseconds(500);
  /// Members of another data centre that one summary goes to: one may be lost.
  std::size_t far_receivers = 2;
  /// Reports to addresses that never answered.
  instant search_period = std::chrono::milliseconds(2000);
  /// An address that is silent for this long is searched for only.
  instant silent_after = std::chrono::seconds(5);
  /// Addresses named in a reply to one that searches.
  std::size_t max_known = 16;
};

class report_exchange {
 public:
  explicit report_exchange(front& in, report_options options = {});

  /// Binds the port and starts to receive and send.
  absl::Status start();

  /// The own loads changed.
  void changed();

  /// Adds a daemon that may be alive.
  /// \param address its IP address.
  /// \param data_centre where it is; empty when unknown.
  void add_address(const std::string& address, const std::string& data_centre);

  /// Sends changes of a table to the data centre.
  void send_feed(const feed_page& page);

  /// Sends to everyone at once, for example before leaving.
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
  void answer_search(const load_report& from, instant now);
  void send_near(instant now);
  void send_far(instant now);
  void send(const peer& to, const std::string& bytes);
  load_report own_report(instant now);
  sent_summary own_summary(instant now);
  void note_heard(const std::string& address, instant now);
  /// Takes a summary, and passes on to this data centre what came from afar.
  void pass_on(sent_summary it);
  std::vector<peer*> far_receivers(const std::string& data_centre, instant now);

  front& front_;
  report_options options_;
  udp::socket socket_;
  asio::steady_timer change_;
  bool pending_ = false;
  std::uint64_t sequence_ = 0;
  absl::flat_hash_map<std::string, peer> peers_;
  instant next_far_{};
  /// Turns through the receivers of data centres that are silent.
  std::size_t far_turn_ = 0;
  /// Aligned, as numbers in a datagram are read where they stand.
  alignas(std::uint64_t) std::array<char, max_datagram_bytes> input_{};
};

}  // namespace fulmar::serving
