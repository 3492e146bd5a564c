#include "fulmarpitch/teams/rate-ledger.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "fulmarpitch/core/rendezvous.h"

namespace fulmar::teams {
namespace {

/// Members that a daemon assumes until it knows them.
constexpr double assumed_members = 16;

/// A daemon that has found no members for this long has none.
constexpr auto lonely_start = std::chrono::seconds(2);

/// A member's part of a share follows its demand, plus a fraction of the mean
/// demand of all members and some requests a second.
constexpr double equal_demand = 0.3;
constexpr double min_demand = 0.02;

/// Reports that carry each change of the admitted.
constexpr int copies = 2;

/// Refusals this far apart belong to different periods.
constexpr auto refusal_period = std::chrono::seconds(5);

double seconds(instant it) {
  return std::chrono::duration<double>(it).count();
}

double value_of(const demand_meter& it, instant period, instant now) {
  return it.per_second * std::exp(-seconds(now - it.at) / seconds(period));
}

void note_events(demand_meter& it, double events, instant period, instant now) {
  it.per_second = value_of(it, period, now) + events / seconds(period);
  it.at = now;
}

/// \return a number in (0, 1], evenly distributed.
double draw(std::uint64_t seed, std::uint64_t key, std::uint64_t number) {
  constexpr int unused_bits = 11;
  constexpr double steps = 9007199254740992.0;  // 2^53
  auto bits = mix_hash(mix_hash(seed, key), number) >> unused_bits;
  return (static_cast<double>(bits) + 1) / steps;
}

void draw_threshold(const rate_ledger& in, rated_team& it) {
  it.threshold = draw(in.incarnation, it.key, ++it.thresholds_drawn);
}

bool is_heard(const rate_member& it) {
  return !it.free && !it.silent;
}

std::size_t count_heard(const rate_ledger& in) {
  auto n = std::count_if(in.members.begin(), in.members.end(), is_heard);
  return static_cast<std::size_t>(n);
}

/// Demand of this daemon and the members that are heard.
struct heard_demand {
  double sum = 0;
  std::size_t members = 1;
};

heard_demand demand_of_heard(const rate_ledger& in, const rated_team& it,
                             instant now) {
  auto period = in.timing.demand_period;
  auto out = heard_demand{.sum = value_of(it.demand, period, now)};
  for (auto n = std::size_t{0}; n < in.members.size(); ++n) {
    if (!is_heard(in.members[n])) continue;
    out.sum += value_of(it.members[n].demand, period, now);
    ++out.members;
  }
  return out;
}

/// \return which fraction of what belongs to this daemon and the members that
///     are heard is the part of one of them.
double portion_of(const heard_demand& all, double demand) {
  auto n = static_cast<double>(all.members);
  auto weight = demand + equal_demand * all.sum / n + min_demand;
  return weight / ((1 + equal_demand) * all.sum + n * min_demand);
}

double own_portion(const rate_ledger& in, const rated_team& it, instant now) {
  return portion_of(demand_of_heard(in, it, now),
                    value_of(it.demand, in.timing.demand_period, now));
}

/// \return the fraction of the share that belongs to this daemon and the
///     members that are heard, as far as this daemon knows the members. Those
///     that were never heard have equal parts, as their demand is unknown.
double known_part(const rate_ledger& in, const rated_team& it) {
  auto out = 1.0;
  auto present = 1.0;
  auto expected = 0.0;
  for (auto n = std::size_t{0}; n < in.members.size(); ++n) {
    const auto& member = in.members[n];
    if (member.free) continue;
    if (is_heard(member)) {
      ++present;
    } else if (member.incarnation) {
      out -= it.members[n].part;
    } else {
      ++expected;
    }
  }
  return std::max(out, 0.0) * present / (present + expected);
}

/// \return the fraction of the share that belongs to this daemon and the
///     members that are heard.
double heard_part(const rate_ledger& in, const rated_team& it) {
  return std::max(known_part(in, it) - it.unknown_part, 0.0);
}

double usable_part(const rate_ledger& in, const rated_team& it) {
  auto out = in.alone ? it.alone_part : heard_part(in, it);
  return in.knows_members ? out : out / assumed_members;
}

void update_part(const rate_ledger& in, rated_team& it, instant now,
                 std::optional<double> joined_level = std::nullopt) {
  drain(it.bucket, now);
  change_part(it.bucket, usable_part(in, it), joined_level);
}

void update_parts(rate_ledger& in, instant now) {
  for (auto& it : in.teams)
    update_part(in, it, now);
}

double part_of_member(const rate_ledger& in, const rated_team& it,
                      std::size_t member, instant now) {
  auto demand =
      value_of(it.members[member].demand, in.timing.demand_period, now);
  return heard_part(in, it) * portion_of(demand_of_heard(in, it, now), demand);
}

/// Sets the parts of a member aside, which it may use unheard. If this daemon
/// is alone, they were fixed when it noticed.
void mark_silent(rate_ledger& in, std::size_t member, instant now) {
  for (auto& it : in.teams) {
    if (!in.alone)
      it.members[member].part = part_of_member(in, it, member, now);
  }
  in.members[member].silent = true;
  update_parts(in, now);
}

/// Fixes the parts of all members, as the daemon's own demand is not heard by
/// them any more.
void mark_alone(rate_ledger& in, instant now) {
  for (auto& it : in.teams) {
    it.alone_part = heard_part(in, it) * own_portion(in, it, now);
    for (auto n = std::size_t{0}; n < in.members.size(); ++n) {
      if (is_heard(in.members[n]))
        it.members[n].part = part_of_member(in, it, n, now);
    }
  }
  in.alone = true;
  update_parts(in, now);
}

/// Joins the parts of a member that is heard again.
/// \param restarted it is unknown what the member admitted in its silence.
void mark_heard(rate_ledger& in, std::size_t member, bool restarted,
                instant now) {
  in.members[member].silent = false;
  in.joining_until = now + in.timing.silence;
  auto level = restarted ? std::optional(1.0) : std::nullopt;
  for (auto& it : in.teams) {
    update_part(in, it, now, level);
    add_heard(it.bucket, std::exchange(it.members[member].pending, 0));
  }
}

void forget(rate_ledger& in, std::size_t member, instant now) {
  auto& row = in.members[member];
  in.by_name.erase(row.name);
  row = {.free = true};
  for (auto& it : in.teams)
    it.members[member] = {};
  update_parts(in, now);
}

std::size_t add_member(rate_ledger& in, const std::string& name, instant now) {
  auto unused = std::find_if(in.members.begin(), in.members.end(),
                             [](const auto& it) { return it.free; });
  auto index = static_cast<std::size_t>(unused - in.members.begin());
  if (unused == in.members.end()) {
    in.members.emplace_back();
    for (auto& it : in.teams)
      it.members.emplace_back();
  }
  in.members[index] = {.name = name, .heard = now};
  in.by_name.emplace(name, index);
  return index;
}

void learn_members(rate_ledger& in, instant now) {
  if (in.knows_members) return;
  in.knows_members = true;
  update_parts(in, now);
}

/// \return after which time without a report a daemon is alone that hears some
///     members.
instant alone_delay(const rate_timing& timing, std::size_t heard) {
  constexpr std::int64_t missed_reports = 3;
  auto n = static_cast<std::int64_t>(heard);
  return std::clamp(missed_reports * timing.idle_interval / n,
                    timing.min_alone_silence, timing.silence);
}

void watch_contact(rate_ledger& in, instant now) {
  if (in.alone || now - in.last_heard <= in.timing.min_alone_silence) return;
  auto heard = count_heard(in);
  if (heard == 0 || now - in.last_heard <= alone_delay(in.timing, heard))
    return;
  mark_alone(in, now);
}

bool hears_most(const rate_ledger& in) {
  auto [heard, known] = count_members(in);
  return 2 * heard > known;
}

void update_stopped(rate_ledger& in, instant now) {
  in.stopped = !hears_most(in) && now - in.last_contact >= in.timing.stop_delay;
}

bool is_lost(const rate_ledger& in, const rate_member& it, bool decides,
             instant now) {
  if (it.free || !it.silent) return false;
  return decides && now - it.heard >= in.timing.forget_delay;
}

bool is_old(const rate_ledger& in, instant now) {
  return now - in.began >= in.timing.forget_delay;
}

/// Forgets members that were never heard.
void forget_expected(rate_ledger& in, instant now) {
  for (auto n = std::size_t{0}; n < in.members.size(); ++n) {
    const auto& it = in.members[n];
    if (!it.free && !it.incarnation) forget(in, n, now);
  }
}

/// Learns from a member how much belongs to members that this daemon does not
/// know yet, as they fell silent before it started.
void learn_parts(rate_ledger& in, const member_report& it, instant now) {
  if (!it.informed || is_old(in, now)) return;
  if (!std::exchange(in.informed, true)) forget_expected(in, now);
  for (const auto& count : it.counts) {
    auto found = in.by_key.find(count.team);
    if (found == in.by_key.end()) continue;
    auto& team = in.teams[found->second];
    team.unknown_part = std::max(known_part(in, team) - count.part, 0.0);
    update_part(in, team, now);
  }
}

/// Notes that all members are known that this daemon may have missed at its
/// start.
void note_old(rate_ledger& in, instant now) {
  if (!std::exchange(in.informed, true)) forget_expected(in, now);
  for (auto& it : in.teams) {
    if (std::exchange(it.unknown_part, 0) > 0) update_part(in, it, now);
  }
}

/// Advances a count that wraps around, unless the new one is older.
/// \return by how much.
template <typename Count>
Count advance(Count& count, Count to) {
  constexpr auto most = std::numeric_limits<Count>::max() / 2;
  auto difference = static_cast<Count>(to - count);
  if (difference > most) return 0;
  count = to;
  return difference;
}

/// Takes one count of a member.
void take_count(rate_ledger& in, std::size_t member, const team_count& it,
                instant now) {
  auto found = in.by_key.find(it.team);
  if (found == in.by_key.end()) return;
  auto& team = in.teams[found->second];
  auto& use = team.members[member];
  // The first count says nothing about the demand of late.
  if (!std::exchange(use.known, true)) use.asked = it.asked;
  auto admitted = advance(use.admitted, it.admitted);
  auto asked = advance(use.asked, it.asked);
  if (asked > 0) note_events(use.demand, asked, in.timing.demand_period, now);
  if (admitted == 0) return;
  if (in.members[member].silent) {
    use.pending += admitted;
    return;
  }
  drain(team.bucket, now);
  add_heard(team.bucket, admitted);
  if (!in.joining_until) limit_level(team.bucket);
}

/// Finds the row of a member that reports, and notes a new start of it.
/// \return the row, and whether the member started anew since it was heard.
std::pair<std::size_t, bool> find_reporting(rate_ledger& in,
                                            const member_report& it,
                                            instant now) {
  auto found = in.by_name.find(it.name);
  auto index =
      found == in.by_name.end() ? add_member(in, it.name, now) : found->second;
  auto& row = in.members[index];
  if (row.incarnation == it.incarnation) return {index, false};
  row.incarnation = it.incarnation;
  // Of a member that is heard for the first time all admissions count, as it is
  // unknown when they were.
  for (auto& team : in.teams)
    team.members[index] = {.demand = team.members[index].demand,
                           .part = team.members[index].part};
  return {index, true};
}

/// Notes that a member was heard that may have been silent.
void note_heard(rate_ledger& in, std::size_t member, bool restarted,
                instant now) {
  auto& row = in.members[member];
  in.last_heard = now;
  if (row.silent) mark_heard(in, member, restarted, now);
  if (!std::exchange(in.alone, false)) return;
  update_parts(in, now);
}

rated_team new_team(const rate_ledger& in, const team& from) {
  auto weight = 1.0 / static_cast<double>(in.data_centres);
  auto out = rated_team{.key = team_key(from.name),
                        .name = from.name,
                        .limit = from.rate,
                        .weight = weight,
                        .members = std::vector<member_use>(in.members.size())};
  out.bucket.size =
      share_of(size_for(from.rate, in.bounds), weight, in.data_centres);
  draw_threshold(in, out);
  auto known = static_cast<double>(count_members(in).second);
  for (auto& it : out.members)
    it.part = 1 / known;
  return out;
}

/// \return the time after which a refused client may return: when there is room
///     again, behind those who were told before.
instant promise_return(const rate_ledger& in, rated_team& it, instant now) {
  const auto& timing = in.timing;
  auto drains = it.bucket.size.drain_per_second * it.bucket.part;
  if (!in.alone) drains *= own_portion(in, it, now);
  auto most = now + timing.max_return;
  auto room = time_until_room(it.bucket, it.threshold);
  if (room < timing.max_return && drains * seconds(timing.max_return) > 1) {
    auto interval = std::chrono::duration_cast<instant>(
        std::chrono::duration<double>(1 / drains));
    auto at = std::max(now + room, it.last_return + interval);
    if (at <= most) {
      it.last_return = at;
      return std::max(at - now, timing.min_return);
    }
  }
  auto spread = draw(in.incarnation, it.key, it.asked);
  return timing.max_return -
         std::chrono::duration_cast<instant>(spread * timing.max_return / 2);
}

}  // namespace

std::uint64_t team_key(std::string_view name) {
  return stable_hash(name);
}

bool has_rates(const rate_ledger& in) {
  return !in.teams.empty();
}

void apply_limits(rate_ledger& in, const std::vector<team>& teams,
                  instant now) {
  auto late = in.configured && in.knows_members && !in.alone;
  auto next = std::vector<rated_team>();
  auto by_key = absl::flat_hash_map<std::uint64_t, std::size_t>();
  for (const auto& from : teams) {
    auto key = team_key(from.name);
    if (!from.rate.is_limited() || !by_key.try_emplace(key, next.size()).second)
      continue;
    if (auto it = in.by_key.find(key); it != in.by_key.end()) {
      next.push_back(std::move(in.teams[it->second]));
    } else {
      next.push_back(new_team(in, from));
      next.back().bucket.at = now;
      next.back().bucket.part = usable_part(in, next.back());
      if (late) next.back().bucket.level = 0;
    }
    auto& row = next.back();
    if (row.limit == from.rate) continue;
    row.limit = from.rate;
    drain(row.bucket, now);
    change_limit(row.bucket, share_of(size_for(from.rate, in.bounds),
                                      row.weight, in.data_centres));
  }
  in.teams = std::move(next);
  in.by_key = std::move(by_key);
  in.configured = true;
  if (has_rates(in)) return;
  in.members.clear();
  in.by_name.clear();
}

rate_decision admit(rate_ledger& in, std::uint64_t team, instant now) {
  auto found = in.by_key.find(team);
  if (found == in.by_key.end()) return {};
  watch_contact(in, now);
  auto& it = in.teams[found->second];
  ++it.asked;
  it.has_news = true;
  drain(it.bucket, now);
  if (!in.stopped && has_room(it.bucket, it.threshold)) {
    add_own(it.bucket);
    ++it.admitted;
    it.copies_left = copies;
    draw_threshold(in, it);
    return {};
  }
  ++it.refused;
  auto first = !it.last_refusal;
  it.last_refusal = now;
  return {.admitted = false,
          .retry_after = promise_return(in, it, now),
          .first_refusal = first};
}

void expect_member(rate_ledger& in, const std::string& name, instant now) {
  if (in.informed || in.by_name.contains(name)) return;
  add_member(in, name, now);
  update_parts(in, now);
}

void note_members_listed(rate_ledger& in, instant now) {
  learn_members(in, now);
}

void hear_member(rate_ledger& in, const member_report& it, instant now) {
  auto [index, restarted] = find_reporting(in, it, now);
  auto& row = in.members[index];
  row.unheard = false;
  row.heard = now;
  // What this daemon admits does not reach a member that does not hear it.
  auto hears_this = std::find(it.unheard.begin(), it.unheard.end(),
                              in.incarnation) == it.unheard.end();
  if (!hears_this) {
    if (!row.silent) mark_silent(in, index, now);
  } else if (now >= in.settled) {
    if (restarted || row.silent) in.next_list = now;
    note_heard(in, index, restarted, now);
  }
  learn_members(in, now);
  learn_parts(in, it, now);
  for (const auto& count : it.counts)
    take_count(in, index, count, now);
}

void hear_late_counts(rate_ledger& in, const std::string& name,
                      const std::vector<team_count>& counts, instant now) {
  auto member = in.by_name.find(name);
  if (member == in.by_name.end()) return;
  for (const auto& it : counts)
    take_count(in, member->second, it, now);
}

void note_pause(rate_ledger& in, instant paused, instant now) {
  in.settled = now + in.timing.settling;
  in.alone = false;
  for (auto n = std::size_t{0}; n < in.members.size(); ++n) {
    if (is_heard(in.members[n])) mark_silent(in, n, now);
    in.members[n].heard = now;
    in.members[n].unheard = true;
  }
  in.last_contact -= paused;
  update_stopped(in, now);
}

void observe_members(rate_ledger& in, bool store_reached, instant now) {
  if (now - in.began >= lonely_start) learn_members(in, now);
  watch_contact(in, now);
  for (auto n = std::size_t{0}; n < in.members.size(); ++n) {
    const auto& it = in.members[n];
    if (it.free || it.unheard || now - it.heard <= in.timing.silence) continue;
    in.members[n].unheard = true;
    if (!it.silent) mark_silent(in, n, now);
  }
  if (in.alone && count_heard(in) == 0) {
    in.alone = false;
    update_parts(in, now);
  }
  if (is_old(in, now)) note_old(in, now);
  if (in.joining_until && now >= *in.joining_until) {
    in.joining_until.reset();
    for (auto& it : in.teams)
      limit_level(it.bucket);
  }
  auto decides = hears_most(in) || store_reached;
  if (decides) in.last_contact = now;
  update_stopped(in, now);
  for (auto n = std::size_t{0}; n < in.members.size(); ++n) {
    if (is_lost(in, in.members[n], decides, now)) forget(in, n, now);
  }
}

bool must_report(const rate_ledger& in, instant now) {
  if (in.teams.empty()) return false;
  if (now >= in.next_list) return true;
  auto repeats = now - in.last_sent >= in.timing.repeat_delay;
  auto news = now >= in.next_news;
  return std::any_of(in.teams.begin(), in.teams.end(), [&](const auto& it) {
    return (news && it.has_news) || (repeats && it.copies_left > 0);
  });
}

std::vector<team_count> take_counts(rate_ledger& in, instant now) {
  auto out = std::vector<team_count>();
  if (in.teams.empty()) return out;
  auto all = now >= in.next_list;
  auto news = all || now >= in.next_news;
  for (auto& it : in.teams) {
    auto wanted =
        it.copies_left > 0 || (news && it.has_news) || (all && it.asked > 0);
    if (!wanted) continue;
    // The members compute this daemon's part from what they are told.
    auto asked = advance(it.asked_reported, it.asked);
    note_events(it.demand, asked, in.timing.demand_period, now);
    it.copies_left = std::max(it.copies_left - 1, 0);
    if (news) it.has_news = false;
    out.push_back({.team = it.key,
                   .admitted = it.admitted,
                   .asked = it.asked,
                   .part = heard_part(in, it)});
  }
  if (news) in.next_news = now + in.timing.news_interval;
  if (all) in.next_list = now + in.timing.list_interval;
  in.last_sent = now;
  return out;
}

std::vector<std::size_t> end_refusals(rate_ledger& in, instant now) {
  auto out = std::vector<std::size_t>();
  for (auto n = std::size_t{0}; n < in.teams.size(); ++n) {
    auto& last = in.teams[n].last_refusal;
    if (!last || now - *last <= refusal_period) continue;
    last.reset();
    out.push_back(n);
  }
  return out;
}

double demand_of(const rated_team& it, const rate_timing& timing, instant now) {
  auto out = value_of(it.demand, timing.demand_period, now);
  for (const auto& use : it.members)
    out += value_of(use.demand, timing.demand_period, now);
  return out;
}

std::vector<std::uint64_t> unheard_members(const rate_ledger& in) {
  auto out = std::vector<std::uint64_t>();
  if (in.teams.empty()) return out;
  for (const auto& it : in.members) {
    if (!it.free && it.unheard && it.incarnation)
      out.push_back(*it.incarnation);
  }
  return out;
}

std::pair<std::size_t, std::size_t> count_members(const rate_ledger& in) {
  auto known = std::count_if(in.members.begin(), in.members.end(),
                             [](const auto& it) { return !it.free; });
  return {count_heard(in) + 1, static_cast<std::size_t>(known) + 1};
}

}  // namespace fulmar::teams
