#include "src/teams/rate-system.h"

#include <algorithm>

#include "fulmarpitch/core/text.h"
#include "src/serving/reports.h"

namespace fulmar::teams {
namespace {

void log_first_refusal(serving::front& in, std::uint64_t key, instant now) {
  const auto& it = in.rates.teams[in.rates.by_key.at(key)];
  auto [heard, known] = count_members(in.rates);
  in.log.add("team_refused", {{"team", it.name},
                              {"rate", it.limit.requests_per_second},
                              {"share", it.weight},
                              {"part", it.bucket.part},
                              {"demand", demand_of(it, in.rates.timing, now)},
                              {"members_heard", std::uint64_t{heard}},
                              {"members_known", std::uint64_t{known}},
                              {"stopped", in.rates.stopped},
                              {"configuration", in.configuration->version}});
}

void log_ended_refusals(serving::front& in, instant now) {
  for (auto n : end_refusals(in.rates, now)) {
    const auto& it = in.rates.teams[n];
    in.log.add("team_refused_no_more",
               {{"team", it.name}, {"refused_so_far", it.refused}});
  }
}

/// Notes the members that were heard before any team had a rate.
void hear_known_members(serving::front& in) {
  for (const auto& [name, it] : in.board.members) {
    auto silent = event_loop::steady() - it.heard > in.rates.timing.silence;
    if (!silent) hear_report(in, it.report);
  }
}

/// Writes one metric of each team.
template <typename Value>
std::string team_values(const rate_ledger& in, std::string_view name,
                        std::string_view kind, Value value) {
  auto out = concat("# TYPE fulmar_", name, " ", kind, "\n");
  for (const auto& it : in.teams)
    out += concat("fulmar_", name, "{team=\"", escaped_label(it.name), "\"} ",
                  value(it), "\n");
  return out;
}

}  // namespace

std::optional<instant> admit_request(serving::front& in, const team& by) {
  if (!by.rate.is_limited()) return std::nullopt;
  // A VM that was suspended wakes with the levels of before.
  check_for_pause(in);
  auto now = event_loop::steady();
  auto key = team_key(by.name);
  auto decision = admit(in.rates, key, now);
  if (decision.admitted) {
    in.reports->changed();
    return std::nullopt;
  }
  if (decision.first_refusal) log_first_refusal(in, key, now);
  return decision.retry_after;
}

rate_ledger make_ledger(const serving::vm_settings& settings,
                        std::uint64_t incarnation, instant began) {
  return {.bounds = {.window = settings.rate_window,
                     .slack = settings.quota_slack,
                     .excess = settings.rate_excess},
          .data_centres = std::max<std::size_t>(settings.regions.size(), 1),
          .incarnation = incarnation,
          .began = began,
          .last_heard = began,
          .last_contact = began};
}

void apply_rates(serving::front& in) {
  auto had = has_rates(in.rates);
  apply_limits(in.rates, in.configuration->teams.teams, event_loop::steady());
  if (!had && has_rates(in.rates)) hear_known_members(in);
}

void expect_daemon(serving::front& in, const std::string& name) {
  auto needed = has_rates(in.rates) || !in.rates.configured;
  if (!needed || name == in.settings.name) return;
  expect_member(in.rates, name, event_loop::steady());
}

void note_daemons_listed(serving::front& in) {
  note_members_listed(in.rates, event_loop::steady());
}

void hear_report(serving::front& in, const serving::load_report& it) {
  if (!has_rates(in.rates)) return;
  hear_member(in.rates,
              {.name = it.name,
               .incarnation = it.incarnation,
               .informed = it.informed,
               .counts = it.team_counts,
               .unheard = it.unheard},
              event_loop::steady());
}

void observe_rates(serving::front& in, instant now) {
  if (!has_rates(in.rates)) return;
  observe_members(in.rates, !store_lost(in), now);
  log_ended_refusals(in, now);
  if (must_report(in.rates, now)) in.reports->changed();
}

std::string rate_metrics(const serving::front& in) {
  const auto& rates = in.rates;
  if (!has_rates(rates)) return {};
  auto now = event_loop::steady();
  auto [heard, known] = count_members(rates);
  return concat(
      team_values(rates, "team_requests_admitted_total", "counter",
                  [](const auto& it) { return it.admitted; }),
      team_values(rates, "team_requests_refused_total", "counter",
                  [](const auto& it) { return it.refused; }),
      team_values(rates, "team_share", "gauge",
                  [](const auto& it) { return it.weight * it.bucket.part; }),
      team_values(
          rates, "team_demand_per_second", "gauge",
          [&](const auto& it) { return demand_of(it, rates.timing, now); }),
      "# TYPE fulmar_rate_members gauge\nfulmar_rate_members{state=\"heard\"} ",
      heard, "\nfulmar_rate_members{state=\"known\"} ", known, "\n");
}

}  // namespace fulmar::teams
