#pragma once

/// \file
/// Decides whether requests of teams may run, so that all daemons together keep
/// the teams' rates. The members of a data centre report to each other what
/// they admitted. The parts of members that are not heard stay unused, as they
/// may use them. See docs/design/team-rates.md.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/teams/rate-bucket.h"
#include "fulmarpitch/teams/team.h"

namespace fulmar::teams {

/// Requests of a team that a daemon counted since it started. The numbers wrap
/// around.
struct team_count {
  /// Key of the team.
  std::uint64_t team = 0;
  std::uint32_t admitted = 0;
  /// Also counts those that were refused.
  std::uint16_t asked = 0;
  /// Fraction of the data centre's share that belongs to the daemon and the
  /// members that it hears; rounded on the wire.
  double part = 0;

  bool operator==(const team_count&) const = default;
};

/// \return the key of a team.
std::uint64_t team_key(std::string_view name);

/// Periods and timeouts.
struct rate_timing {
  /// Interval of reports of members that have nothing to report.
  instant idle_interval = std::chrono::milliseconds(250);
  /// A member that sent no report for this long is silent.
  instant silence = std::chrono::milliseconds(350);
  /// A daemon is alone that heard no member for this long at the least.
  instant min_alone_silence = std::chrono::milliseconds(120);
  /// Reports that arrive this soon after a pause may be as old as the pause.
  instant settling = std::chrono::milliseconds(100);
  /// Members that hear few others and not the store admit nothing after this
  /// time, and silent ones are forgotten after the longer one.
  instant stop_delay = std::chrono::seconds(20);
  instant forget_delay = std::chrono::seconds(25);
  /// Averaging period of the demand.
  instant demand_period = std::chrono::seconds(5);
  /// Interval of reporting changed counts again, and all counts.
  instant news_interval = std::chrono::seconds(1);
  instant list_interval = std::chrono::seconds(10);
  /// After this time without another report a change is reported once more.
  instant repeat_delay = std::chrono::milliseconds(100);
  /// Earliest and latest return of a refused client.
  instant min_return = std::chrono::milliseconds(100);
  instant max_return = std::chrono::seconds(2);
};

/// Mean rate of events over the last seconds.
struct demand_meter {
  double per_second = 0;
  instant at{};
};

/// What a member counted for a team, as far as it was heard.
struct member_use {
  std::uint32_t admitted = 0;
  std::uint16_t asked = 0;
  /// A count was heard.
  bool known = false;
  demand_meter demand;
  /// The member's part of the share while it is silent, or this daemon alone.
  double part = 0;
  /// Admissions that were heard while the member still counted as silent.
  std::uint32_t pending = 0;
};

/// A team with a rate.
struct rated_team {
  std::uint64_t key = 0;
  std::string name;
  rate_limit limit;
  /// Fraction of the limit that the data centre holds.
  double weight = 0;
  rate_bucket bucket;
  /// Fraction of the share that this daemon may use while it is alone.
  double alone_part = 0;
  /// Fraction that belongs to members that this daemon, which started a short
  /// time ago, does not know.
  double unknown_part = 0;
  std::uint32_t admitted = 0;
  std::uint16_t asked = 0;
  std::uint16_t asked_reported = 0;
  std::uint64_t refused = 0;
  /// Demand that was reported.
  demand_meter demand;
  /// How much of a request has to fit if the bucket holds less than one.
  double threshold = 1;
  std::uint64_t thresholds_drawn = 0;
  /// Reports that have still to carry the last change of the admitted.
  int copies_left = 0;
  /// Counts changed since they were last reported with all news.
  bool has_news = false;
  /// When the last refused client was told to return.
  instant last_return{};
  /// When a request was last refused; empty if none was for some seconds.
  std::optional<instant> last_refusal;
  /// By index of the member.
  std::vector<member_use> members;
};

/// Another daemon of the data centre.
struct rate_member {
  std::string name;
  /// Empty if the member was never heard.
  std::optional<std::uint64_t> incarnation;
  instant heard{};
  /// No report of it came for some time.
  bool unheard = false;
  /// It is not heard, or does not hear this daemon.
  bool silent = true;
  /// The row is not in use.
  bool free = false;
};

/// The state of one daemon.
struct rate_ledger {
  rate_bounds bounds;
  rate_timing timing;
  std::size_t data_centres = 1;
  /// This daemon's incarnation, which salts random draws, too.
  std::uint64_t incarnation = 0;
  std::vector<rated_team> teams;
  /// Index in `teams` by key.
  absl::flat_hash_map<std::uint64_t, std::size_t> by_key;
  /// Limits were applied at least once.
  bool configured = false;
  std::vector<rate_member> members;
  /// Index in `members` by name.
  absl::flat_hash_map<std::string, std::size_t> by_name;
  /// When this daemon started to listen, on the steady clock.
  instant began{};
  /// The members are known: some were heard, the store's list was read, or
  /// enough time has passed.
  bool knows_members = false;
  /// It would know members that are silent, or heard of them from one that
  /// does.
  bool informed = false;
  /// No member was heard for a short time.
  bool alone = false;
  /// Admits nothing, as the others may have forgotten this daemon.
  bool stopped = false;
  /// When a member was last heard.
  instant last_heard{};
  /// When most members were heard or the store was reached.
  instant last_contact{};
  /// Reports until then may be as old as the last pause.
  instant settled{};
  /// Until then, members that were silent may be heard again one by one, and
  /// levels hold what they admitted.
  std::optional<instant> joining_until;
  instant last_sent{};
  instant next_news{};
  instant next_list{};
};

/// What a member's report says.
struct member_report {
  std::string name;
  std::uint64_t incarnation = 0;
  /// It knows all members, or heard of them from one that does.
  bool informed = false;
  const std::vector<team_count>& counts;
  /// Incarnations of members that it does not hear.
  const std::vector<std::uint64_t>& unheard;
};

/// Whether a request may run.
struct rate_decision {
  bool admitted = true;
  /// If not: after which time its client may return.
  instant retry_after{};
  /// It is the team's first refusal for some seconds.
  bool first_refusal = false;
};

/// \return whether some team has a rate.
bool has_rates(const rate_ledger& in);

/// Takes over the limits of a configuration.
/// \param now current time on the steady clock.
void apply_limits(rate_ledger& in, const std::vector<team>& teams, instant now);

/// Counts a request of a team and decides whether it may run.
/// \param team key of the team; a team without a rate is always admitted.
/// \param now current time on the steady clock.
rate_decision admit(rate_ledger& in, std::uint64_t team, instant now);

/// Notes that a daemon is registered for this data centre.
void expect_member(rate_ledger& in, const std::string& name, instant now);

/// Notes that all registered daemons are expected.
void note_members_listed(rate_ledger& in, instant now);

/// Takes what a member reported.
/// \param now current time on the steady clock.
void hear_member(rate_ledger& in, const member_report& it, instant now);

/// Takes counts of a member that arrived behind later ones.
/// \param name the member's name; the counts are of its current incarnation.
/// \param now current time on the steady clock.
void hear_late_counts(rate_ledger& in, const std::string& name,
                      const std::vector<team_count>& counts, instant now);

/// Notes that the process stood still.
/// \param paused for how long.
/// \param now current time on the steady clock.
void note_pause(rate_ledger& in, instant paused, instant now);

/// Notices members that fell silent, and forgets those that are lost.
/// \param store_reached whether this daemon reaches the platform's store.
/// \param now current time on the steady clock.
void observe_members(rate_ledger& in, bool store_reached, instant now);

/// \return whether counts have to be reported now although nothing else has.
bool must_report(const rate_ledger& in, instant now);

/// Takes the counts that the next report to all members carries.
/// \param now current time on the steady clock.
std::vector<team_count> take_counts(rate_ledger& in, instant now);

/// Lists the teams whose requests are not refused any more.
/// \return indices in `teams`; each is listed once.
std::vector<std::size_t> end_refusals(rate_ledger& in, instant now);

/// Lists the incarnations of known members that are not heard.
std::vector<std::uint64_t> unheard_members(const rate_ledger& in);

/// \return the requests of a team per second in this data centre, refused ones
///     included.
double demand_of(const rated_team& it, const rate_timing& timing, instant now);

/// \return the members that are heard, and those that are known; with this
///     daemon.
std::pair<std::size_t, std::size_t> count_members(const rate_ledger& in);

}  // namespace fulmar::teams
