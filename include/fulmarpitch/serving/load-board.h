#pragma once

/// \file
/// Load of each target: the requests of this daemon and those that other
/// daemons last reported. Members of a data centre exchange reports; between
/// data centres only summaries are sent, so that the state and traffic of a
/// daemon do not grow with the total number of daemons.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/doubt.h"
#include "fulmarpitch/teams/rate-ledger.h"

namespace fulmar::serving {

/// Requests in flight at one target.
struct target_load {
  std::uint32_t online = 0;
  std::uint32_t batch = 0;

  std::uint32_t total() const { return online + batch; }
};

/// Loads by the target's key.
using load_table = absl::flat_hash_map<std::uint64_t, target_load>;

/// A member daemon as listed in a summary.
struct summary_member {
  std::string name;
  std::uint64_t incarnation = 0;
  std::string address;
  /// The daemon cannot reach the platform's store.
  bool store_lost = false;
};

/// Loads of all targets as seen from one data centre, aggregated by one of its
/// members.
struct load_summary {
  std::string data_centre;
  /// Incarnation of the member that aggregated the loads.
  std::uint64_t gatherer = 0;
  /// Increases with each summary of a gatherer.
  std::uint64_t sequence = 0;
  load_table loads;
  /// False in most summaries, which omit the members as these change rarely.
  bool names_members = true;
  std::vector<summary_member> members;
  /// Version of the configuration that the sender has in force; 0 if it serves
  /// none to other daemons. A summary that is passed on keeps that of its
  /// gatherer.
  std::uint64_t configuration = 0;
};

/// State that a daemon reports about itself.
struct load_report {
  std::string name;
  std::string data_centre;
  /// IP address that receives reports.
  std::string address;
  /// Random identifier of this run of the daemon process.
  std::uint64_t incarnation = 0;
  /// Increases with each report of an incarnation.
  std::uint64_t sequence = 0;
  /// Time since the daemon started, by its steady clock.
  instant age{};
  /// The daemon is shutting down and takes over no jobs.
  bool leaving = false;
  /// The daemon cannot reach the platform's store.
  bool store_lost = false;
  load_table loads;
  /// The sender's failure states of targets, by key; times are relative to the
  /// report.
  target_health_table doubts;
  /// Addresses of other daemons, in a reply to a daemon that discovers peers.
  std::vector<std::string> known;
  /// The sender is discovering peers and requests a report in reply.
  bool wants_reply = false;
  /// Version of the configuration that the sender has in force; 0 if it serves
  /// none to other daemons.
  std::uint64_t configuration = 0;
  /// Requests of teams that changed, or of all teams that have a rate.
  std::vector<teams::team_count> team_counts;
  /// Incarnations of members that the sender does not hear; empty if no team
  /// has a rate.
  std::vector<std::uint64_t> unheard;
  /// The sender knows all members, or heard of them from one that does.
  bool informed = false;
};

/// What a target answered when it was asked for its load.
struct target_answer {
  /// Requests there that no report covers; empty if the target does not state
  /// its load.
  std::optional<std::uint32_t> unreported;
  /// Arrival time on the steady clock.
  instant heard{};
};

/// What is known of the requests that a data centre's daemons have at targets.
enum class load_knowledge {
  /// Current reports cover them.
  reported,
  /// Reports have stopped or not begun: they may be anything.
  unreported,
  /// There have been no reports for so long that the daemons count as lost,
  /// though they may only be cut off from this one.
  abandoned,
};

/// The last report of another daemon.
struct member_row {
  load_report report;
  /// Estimated start of this incarnation on the local steady clock; late by
  /// the smallest network delay of its reports.
  instant started{};
  /// Arrival time on the steady clock.
  instant heard{};
};

/// The last summary of another data centre.
struct summary_row {
  load_summary summary;
  /// Highest sequence received from each gatherer.
  absl::flat_hash_map<std::uint64_t, std::uint64_t> sequences;
  /// Arrival time on the steady clock.
  instant heard{};
};

/// Ages up to which reports count and members are alive.
struct board_options {
  /// Age after which a report's loads are ignored: four missed reports.
  instant load_expiry = std::chrono::milliseconds(1000);
  /// A member silent for less than this may be partitioned or paused and still
  /// have requests at targets: partitions and batch items both last seconds.
  instant max_remembered_silence = std::chrono::milliseconds(8000);
  /// A member silent for longer than this is considered lost, and its batch
  /// jobs are taken over.
  instant member_expiry = std::chrono::milliseconds(1600);
  /// Age after which a summary's loads are ignored: three missed summaries.
  instant summary_expiry = std::chrono::milliseconds(1700);
  /// A data centre without a summary for longer than this is considered lost.
  /// Exceeds the time for another member to take over as the gatherer.
  instant data_centre_expiry = std::chrono::milliseconds(5000);
  /// Age after which a target's own answer is ignored.
  instant answer_expiry = std::chrono::milliseconds(2500);
};

/// This daemon's loads and those of the others.
struct load_board {
  std::string data_centre;
  load_table own;
  /// Members that sent a report, by name.
  absl::flat_hash_map<std::string, member_row> members;
  /// Other data centres by name.
  absl::flat_hash_map<std::string, summary_row> summaries;
  /// Answers of targets that were asked for their load, by key.
  absl::flat_hash_map<std::uint64_t, target_answer> answers;
  /// When this daemon began to listen, on the steady clock.
  instant began{};
  board_options options;
};

/// Stores another daemon's report, unless a newer one is known. Of two
/// incarnations of a daemon the one that started later wins; the wall clock is
/// not used.
/// \param now current time on the steady clock.
/// \return whether the report was new.
bool take_report(load_board& board, load_report it, instant now);

/// Stores a summary of another data centre, unless a newer one of the same
/// gatherer is known.
/// \param it the summary; the known members are kept when it omits them.
/// \param now current time on the steady clock.
/// \return whether the summary was new.
bool take_summary(load_board& board, load_summary it, instant now);

/// \return the failure state of a target, merged from other members' reports.
target_health doubt_of(const load_board& board, std::uint64_t target,
                       instant now);

/// Finds another daemon that reaches the platform's store, preferably in the
/// own data centre.
/// \param key any number; successive keys spread calls over the daemons.
/// \param now current time on the steady clock.
/// \return its IP address; nothing when no daemon is known to reach the store.
std::optional<std::string> find_store_helper(const load_board& board,
                                             std::uint64_t key, instant now);

/// A live daemon that reaches the platform's store.
struct store_member {
  std::string name;
  std::uint64_t incarnation = 0;
  std::string data_centre;
};

/// Lists the other live daemons that reach the store, in all data centres.
/// \param now current time on the steady clock.
std::vector<store_member> live_store_members(const load_board& board,
                                             instant now);

/// Aggregates the loads of the own data centre into a summary.
/// \param now current time on the steady clock.
load_summary summarise(const load_board& board, const summary_member& self,
                       instant now);

/// Returns whether this daemon sends the summaries of its data centre: the live
/// member with the lowest name does. If two members both consider themselves
/// the gatherer, they send equivalent summaries and the newest one counts.
bool gathers(const load_board& board, const std::string& self, instant now);

/// Returns whether this daemon polls the store for changes on behalf of its
/// data centre: the live member with the lowest name that reaches the store
/// does.
/// \param self this daemon's name.
/// \param store_lost this daemon cannot reach the store.
/// \param now current time on the steady clock.
bool reads_for_others(const load_board& board, const std::string& self,
                      bool store_lost, instant now);

/// Finds the incarnation of a live member in any data centre.
/// \return nothing for a member that is lost or leaving.
std::optional<std::uint64_t> live_incarnation(const load_board& board,
                                              const std::string& name,
                                              instant now);

/// Sums the requests in flight at a target.
/// \param target the target's key.
/// \param now current time on the steady clock.
target_load load_of(const load_board& board, std::uint64_t target, instant now);

/// Sums the requests in flight at each target, in one pass over the reports.
load_table all_loads(const load_board& board, instant now);

/// Merges the failure states of all targets from other members' reports, in one
/// pass.
target_health_table all_doubts(const load_board& board, instant now);

/// Returns the fraction of the data centre's daemons, including this one, with
/// a current report. The others may use targets without being accounted for.
/// \return 1 when the reports of all daemons are current.
double heard_share(const load_board& board, instant now);

/// Tells whether reports cover what a data centre's daemons have at targets.
/// A data centre that never sent a summary counts as silent since this daemon
/// began to listen.
/// \param now current time on the steady clock.
load_knowledge load_knowledge_of(const load_board& board,
                                 const std::string& data_centre, instant now);

/// \return a target's own answer, unless it is too old; null if there is none.
const target_answer* answer_of(const load_board& board, std::uint64_t target,
                               instant now);

/// Adds to the load of a target in an abandoned data centre what the target
/// answered, as online requests. Until it answers, its load is unknown.
/// \param now current time on the steady clock.
/// \return what is known of the load then.
load_knowledge apply_answer(const load_board& board, std::uint64_t target,
                            target_load& load, instant now);

/// \return the age of the oldest report that counts towards loads.
instant oldest_report(const load_board& board, instant now);

/// Lists the names of live members.
/// \param data_centre only members of this data centre; empty for all.
/// \param now current time on the steady clock.
std::vector<std::string> live_members(const load_board& board,
                                      const std::string& data_centre,
                                      instant now);

/// Removes members and data centres that were silent for ten times the member
/// expiry, and outdated answers of targets.
void drop_silent_members(load_board& board, instant now);

/// Returns how many batch requests this daemon should preempt at a target to
/// free slots for online requests. Of several daemons with batch requests there
/// only the one with the most preempts, the lowest name on a tie.
/// \param self this daemon's name.
/// \param target the target's key.
/// \param slots the target's slots.
/// \param now current time on the steady clock.
/// \return the number to preempt.
std::uint32_t batch_to_yield(const load_board& board, const std::string& self,
                             std::uint64_t target, std::uint32_t slots,
                             instant now);

}  // namespace fulmar::serving
