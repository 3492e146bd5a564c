#pragma once

/// \file
/// How busy each target is: what this daemon runs there, and what the other
/// daemons last said that they run there. Members of a data centre hear each
/// other; of other data centres they hear summaries, so that what a daemon
/// keeps and sends does not grow with the number of all daemons.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/doubt.h"

namespace fulmar::serving {

/// Requests under way at one target.
struct target_load {
  std::uint32_t online = 0;
  std::uint32_t batch = 0;

  std::uint32_t total() const { return online + batch; }
};

/// Loads by the target's key.
using load_table = absl::flat_hash_map<std::uint64_t, target_load>;

/// A daemon in a summary.
struct summary_member {
  std::string name;
  std::uint64_t incarnation = 0;
  std::string address;
  /// The daemon does not reach the platform's store.
  bool store_lost = false;
};

/// All loads of one data centre, gathered by one of its members.
struct load_summary {
  std::string data_centre;
  /// Incarnation of the member that gathered them.
  std::uint64_t gatherer = 0;
  /// Grows with each summary of a gatherer.
  std::uint64_t sequence = 0;
  load_table loads;
  /// Most summaries leave the members out, as these change rarely.
  bool names_members = true;
  std::vector<summary_member> members;
};

/// What one daemon says of itself.
struct load_report {
  std::string name;
  std::string data_centre;
  /// IP address that takes reports.
  std::string address;
  /// Names this life of the daemon; random.
  std::uint64_t incarnation = 0;
  /// Grows with each report of an incarnation.
  std::uint64_t sequence = 0;
  /// Time since the daemon's start, on its steady clock.
  instant age{};
  /// The daemon is shutting down and takes over nothing.
  bool leaving = false;
  /// The daemon does not reach the platform's store.
  bool store_lost = false;
  load_table loads;
  /// What the sender holds against targets, by key; times count from the
  /// report.
  doubt_table doubts;
  /// Addresses of other daemons, for one that searches.
  std::vector<std::string> known;
  /// The sender searches for others and wants a report in return.
  bool wants_reply = false;
};

/// The last report of another daemon.
struct member_row {
  load_report report;
  /// When this life of it began, on this daemon's steady clock; later than in
  /// truth by the fastest report's way.
  instant started{};
  /// When it arrived, on the steady clock.
  instant heard{};
};

/// The last summary of another data centre.
struct summary_row {
  load_summary summary;
  /// The newest summary of each gatherer.
  absl::flat_hash_map<std::uint64_t, std::uint64_t> sequences;
  /// When it arrived, on the steady clock.
  instant heard{};
};

/// Bounds of what counts as alive.
struct board_options {
  /// A report older than this says nothing about load: four missed reports.
  instant load_expiry = std::chrono::milliseconds(1000);
  /// A member not heard for less than this may be cut off or stand still, and
  /// still have requests at targets: cuts last seconds, and so do items.
  instant silence_remembered = std::chrono::milliseconds(8000);
  /// A member not heard for this long is taken as lost, and its batch jobs
  /// are taken over.
  instant member_expiry = std::chrono::milliseconds(1600);
  /// A summary older than this says nothing about load: three missed ones.
  instant summary_expiry = std::chrono::milliseconds(1700);
  /// A data centre without a summary for this long is taken as lost. Longer
  /// than the change from one gathering member to the next.
  instant data_centre_expiry = std::chrono::milliseconds(5000);
};

/// This daemon's loads and those of the others.
struct load_board {
  std::string data_centre;
  load_table own;
  /// Members that were heard, by name.
  absl::flat_hash_map<std::string, member_row> members;
  /// Other data centres by name.
  absl::flat_hash_map<std::string, summary_row> summaries;
  board_options options;
};

/// Takes another daemon's report, unless a newer one is known. Of two lives of
/// a daemon the younger one counts, whatever the time of day.
/// \param board the board.
/// \param it the report.
/// \param now the steady clock.
/// \return whether the report was new.
bool take_report(load_board& board, load_report it, instant now);

/// Takes a summary of another data centre, unless a newer one of the same
/// gatherer is known.
/// \param board the board.
/// \param it the summary; keeps the known members when it names none.
/// \param now the steady clock.
/// \return whether the summary was new.
bool take_summary(load_board& board, load_summary it, instant now);

/// \return what other members hold against a target.
target_doubt doubt_of(const load_board& board, std::uint64_t target,
                      instant now);

/// Finds another daemon that reaches the platform's store, in the own data
/// centre if there is one.
/// \param board the board.
/// \param key any number; successive ones share calls among the daemons.
/// \param now the steady clock.
/// \return its IP address; nothing when no daemon is known to reach the store.
std::optional<std::string> find_store_helper(const load_board& board,
                                             std::uint64_t key, instant now);

/// Gathers the loads of the own data centre.
/// \param board the board.
/// \param self this daemon.
/// \param now the steady clock.
load_summary summarise(const load_board& board, const summary_member& self,
                       instant now);

/// Tells whether this daemon gathers for its data centre: the live member with
/// the least name. Two that both do it send the same, and the newest counts.
bool gathers(const load_board& board, const std::string& self, instant now);

/// Tells whether this daemon reads the store's changes for its data centre: the
/// live member with the least name among those that reach the store.
/// \param board the board.
/// \param self this daemon's name.
/// \param store_lost this daemon does not reach the store.
/// \param now the steady clock.
bool reads_for_others(const load_board& board, const std::string& self,
                      bool store_lost, instant now);

/// Finds the incarnation of a member that is alive, near or far.
/// \return nothing for a member that is lost or leaving.
std::optional<std::uint64_t> live_incarnation(const load_board& board,
                                              const std::string& name,
                                              instant now);

/// Adds up what is under way at a target.
/// \param board the board.
/// \param target the target's key.
/// \param now the steady clock.
target_load load_of(const load_board& board, std::uint64_t target, instant now);

/// Adds up what is under way at all targets, in one pass over the reports.
load_table all_loads(const load_board& board, instant now);

/// Joins what other members hold against all targets, in one pass.
doubt_table all_doubts(const load_board& board, instant now);

/// Tells which share of its data centre's daemons this one hears, itself
/// included. The others may use targets unseen.
/// \return 1 when all are heard.
double heard_share(const load_board& board, instant now);

/// \return whether the loads of a data centre are known: its own, or one whose
///     last summary still counts.
bool knows_loads(const load_board& board, const std::string& data_centre,
                 instant now);

/// \return the age of the oldest report that counts towards loads.
instant oldest_report(const load_board& board, instant now);

/// Names the members that are alive.
/// \param board the board.
/// \param data_centre only members of this data centre; empty for all.
/// \param now the steady clock.
std::vector<std::string> live_members(const load_board& board,
                                      const std::string& data_centre,
                                      instant now);

/// Forgets members that were silent for ten times the expiry.
void drop_silent_members(load_board& board, instant now);

/// Tells how many batch requests this daemon should stop at a target so that
/// online requests find their slots. Of several daemons with batch requests
/// there, the one with the most gives way, the lowest name on a tie.
/// \param board the board.
/// \param self this daemon's name.
/// \param target the target's key.
/// \param slots the target's slots.
/// \param now the steady clock.
/// \return the number to stop.
std::uint32_t batch_to_yield(const load_board& board, const std::string& self,
                             std::uint64_t target, std::uint32_t slots,
                             instant now);

}  // namespace fulmar::serving
