#pragma once

/// \file
/// State of one membership process; its functions stand in membership-*.cc.

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fulmarpitch/core/membership.h"
#include "fulmarpitch/core/rendezvous.h"
#include "membership-table.h"

namespace fulmar {
namespace detail {

inline constexpr std::uint32_t max_health = 8;
// A change goes out this often on pings; from there the digests spread it.
inline constexpr std::uint32_t blind_sends = 2;
// Suspected members get this many pings of each four.
inline constexpr std::uint64_t suspect_turns = 3;
// Members that hear of an urgent change at once from each that learns of it.
inline constexpr std::size_t urgent_fanout = 4;
// Every so many periods a dead member or a seed is pinged too.
inline constexpr std::uint64_t reconnect_periods = 10;
// Without a call for so many periods this process was paused.
inline constexpr int pause_periods = 4;
inline constexpr membership_digest all_buckets = {~0ULL, ~0ULL, ~0ULL, ~0ULL};
// Most member records that mend differences, in a second.
inline constexpr std::size_t refreshes_per_second = 12;
inline constexpr std::size_t relayed_summaries = 2;
// One summary in this many goes to a seed in place of a known delegate.
inline constexpr std::uint64_t remote_seed_turns = 8;

// A ping that waits for its ack.
struct probe {
  std::string name;
  instant sent_at{};
  bool indirect = false;
};

// An ack that is passed on to the member that asked for it.
struct relay {
  std::string address;
  std::uint64_t sequence = 0;
  std::string target;
  instant sent_at{};
};

}  // namespace detail

/// Tables, timers and systems of one process.
struct membership::state {
  explicit state(membership_options given)
      : options(std::move(given)), random(options.random_seed) {
    self.name = options.name;
    self.peer_address = options.peer_address;
    self.http_address = options.http_address;
    self.start = options.start;
    self.incarnation = options.start;
    self_hash = stable_hash(self.name);
  }

  membership_options options;
  std::mt19937_64 random;
  member_record self;
  std::uint64_t self_hash = 0;
  std::uint32_t self_sent = 0;
  detail::member_table table;
  std::map<std::string, data_centre_summary> summaries;
  std::uint64_t highest_config = 0;
  std::uint32_t health = 0;
  std::uint64_t sequence = 0;
  std::uint64_t periods = 0;
  std::map<std::uint64_t, detail::probe> probes;
  std::map<std::uint64_t, detail::relay> relays;
  std::vector<std::string> round;
  std::deque<std::string> probe_next;
  std::set<std::string> invited;
  // Member records that may still go out by difference of the digests.
  std::size_t refresh_credit = detail::refreshes_per_second;
  instant credited_at{};
  bool urgent = false;
  bool started = false;
  instant last_tick{};
  instant next_ping{};
  instant next_summary{};
  std::vector<membership_output> out;

  std::size_t pick(std::size_t n) { return random() % n; }
  membership_digest digest() const;
  // Each change of the own record is a new incarnation.
  void change_self(bool pressing);
  membership_message new_message(membership_message_kind kind) const;
  detail::record_limit limit() const;
  // Lets a receiver that is not believed to be up refute that.
  void add_accusation(membership_message& message, const std::string& name);
  // Adds what changed of late, for a receiver whose digest is not known.
  void add_updates(membership_message& message, const std::string& receiver);
  // Adds what the receiver may lack by the difference of the digests.
  void add_difference(membership_message& message, const std::string& receiver,
                      const membership_digest& difference);
  void send(const std::string& address, membership_message message);
  void send_ping(const std::string& address, const std::string& name,
                 instant now);
  const member_record* find(const std::string& name) const;
  std::string address_of(const std::string& name) const;
  std::vector<std::string> random_live(std::size_t count,
                                       const std::string& except);

  // Receiving
  void merge(const member_record& record, instant now);
  void refute(const member_record& record);
  void raise_config(std::uint64_t version);
  void worsen_health() { health = std::min(health + 1, detail::max_health); }
  void on_ping(const std::string& address, const membership_message& ping);
  void on_ping_request(const std::string& address,
                       const membership_message& request, instant now);
  // A suspected member that still answers gets more time to refute.
  void note_alive(const std::string& name, instant now);
  // The third leg of an exchange: what the answering member still lacks.
  void mend(const std::string& address, const membership_message& ack);
  void on_ack(const std::string& address, const membership_message& ack,
              instant now);
  void pass_on(const detail::relay& it);
  void receive(const std::string& address, const membership_message& message,
               instant now);

  // Timers
  instant scaled(instant span) const { return span * (1 + health); }
  void after_pause(instant gap);
  // Bounds what mending costs while everything changes at once.
  void refill_credit(instant now);
  void check_probes(instant now);
  void ask_others(std::uint64_t probe_sequence, const std::string& name);
  void suspect(const std::string& name, instant now);
  void check_suspects(instant now);
  std::string random_suspect();
  std::string next_member();
  void ping_next(instant now);
  // Pings one address that should be a member's but is not.
  void reconnect();
  void spread_urgent();

  // Data centres
  std::vector<std::string> live_names() const;
  std::vector<std::string> delegate_names() const;
  bool is_delegate() const;
  void merge_summary(const data_centre_summary& summary);
  // Brings the own summary up to date under a version above any heard one.
  const data_centre_summary& own_summary();
  membership_message summary_message(membership_message_kind kind,
                                     const std::string& receiver);
  void on_summary(const std::string& address, const membership_message& from);
  // The other data centres take turns at random, with the other delegates of
  // this one among them.
  void send_summary();
  void tick(instant now);
};

}  // namespace fulmar
