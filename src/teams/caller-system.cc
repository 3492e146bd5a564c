#include "caller-system.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/teams/key-changes.h"
#include "peer-system.h"
#include "platform/names.h"
#include "rate-system.h"
#include "src/serving/table-follower.h"

namespace fulmar::teams {
namespace {

using serving::front;
using serving::request_source;
using serving::served_configuration;

constexpr int status_unauthorized = 401;
constexpr int status_too_many = 429;

/// Time that the store has to answer before another daemon is asked as well;
/// it answers in 4 to 10 ms.
constexpr auto store_answer_time = std::chrono::milliseconds(80);

/// Most log lines about keys for one configuration; the log's bound is 900
/// lines at a time.
constexpr std::size_t max_key_lines = 200;

caller_claim claim_of(const http_request& request, request_source from) {
  if (from == request_source::daemon)
    return {.checked = read_checked_caller(request)};
  return {.key = find_header(request.headers, platform::header::team_key)};
}

/// \return a hash of what names the caller; differs between processes.
std::uint64_t hash_of(const front& in, const caller_claim& claim) {
  if (!claim.checked) return mix_hash(stable_hash(claim.key), in.incarnation);
  return mix_hash(stable_hash(claim.checked->team),
                  in.incarnation + claim.checked->configuration);
}

/// What the store is asked, and its answer.
struct store_question {
  explicit store_question(asio::io_context& io) : ended(io) {}

  std::optional<bool> is_current;
  change_signal ended;
};

task<void> ask_store(front& in, std::shared_ptr<store_question> it) {
  auto table = std::string(platform::table::operations);
  auto current = co_await serving::refresh(in, std::move(table));
  it->is_current = current;
  it->ended.notify();
}

task<void> look_up(front& in) {
  auto before = in.configuration->version;
  auto confirmed = co_await confirm_by_store(in);
  auto how = confirmed ? lookup_end::current : lookup_end::unconfirmed;
  if (!confirmed) how = co_await ask_peers(in);
  if (in.configuration->version > before) how = lookup_end::newer;
  end_lookup(in.lookups, how);
  if (how == lookup_end::unconfirmed)
    in.log.add("configuration_not_confirmed", {{"version", before}});
  in.configuration_checked.notify();
}

/// Counts a request among those that wait.
class waiting_entry {
 public:
  explicit waiting_entry(key_lookups& in) : in_(in) { ++in_.waiting; }
  ~waiting_entry() { --in_.waiting; }
  waiting_entry(const waiting_entry&) = delete;
  waiting_entry& operator=(const waiting_entry&) = delete;

 private:
  key_lookups& in_;
};

/// Logs a refusal, together with those before it that were not logged.
void log_refusal(front& in, const http_exchange& client, refusal_reason why,
                 std::string_view team) {
  auto due = count_refusal(in.refusals, why, event_loop::steady());
  if (!due) return;
  const auto& headers = client.request().headers;
  in.log.add(
      "caller_refused",
      {{"request_id", find_header(headers, platform::header::request_id)},
       {"why", name_in(refusal_reason_names, why)},
       {"team", team},
       {"configuration", in.configuration->version},
       {"refusals", *due}});
}

void log_key_changes(front& in, const team_directory& before) {
  auto changes = changes_of_keys(before, in.configuration->teams);
  auto lines = std::size_t{0};
  for (const auto& it : changes) {
    if (lines++ == max_key_lines) break;
    in.log.add("team_key", {{"change", name_in(key_event_names, it.event)},
                            {"team", it.team},
                            {"key_digest", it.key_digest},
                            {"version", in.configuration->version}});
  }
  if (changes.size() > max_key_lines)
    in.log.add("team_keys_not_logged",
               {{"keys", std::uint64_t{changes.size() - max_key_lines}}});
}

}  // namespace

found_caller identify(const served_configuration& configuration,
                      const http_request& request, request_source from,
                      bool is_public) {
  return find_caller(configuration.teams, configuration.version,
                     claim_of(request, from), is_public);
}

task<bool> confirm_by_store(front& in) {
  if (serving::store_lost(in)) co_return false;
  auto it = std::make_shared<store_question>(in.io);
  asio::co_spawn(in.io, ask_store(in, it), report_failure);
  if (!it->is_current) co_await it->ended.wait(store_answer_time);
  co_return it->is_current.value_or(false);
}

task<caller_verdict> check_unknown_caller(front& in,
                                          std::shared_ptr<http_exchange> client,
                                          caller_question it) {
  auto out = caller_verdict();
  auto version = in.configuration->version;
  auto claim = claim_of(client->request(), it.from);
  // Another daemon has a configuration that the store did not bring here.
  auto is_newer = claim.checked && claim.checked->configuration > version;
  auto question = key_question{
      .key = hash_of(in, claim), .version = version, .arrived = it.arrived};
  if (in.lookups.waiting >= in.lookups.options.max_waiting) {
    out.retry_after = in.lookups.options.mean_interval;
    co_return out;
  }
  auto entry = waiting_entry(in.lookups);
  for (;;) {
    out.is_outdated = in.configuration->version > version;
    if (out.is_outdated) co_return out;
    auto now = event_loop::steady();
    question.confirmed = in.feeds.configuration.confirmed;
    auto plan = plan_lookup(in.lookups, question, now);
    if (plan.step == lookup_step::refuse && !is_newer) {
      remember_unknown(in.lookups, question);
      out.is_confirmed = true;
      co_return out;
    }
    if (plan.step == lookup_step::refuse || plan.step == lookup_step::give_up) {
      out.retry_after =
          std::max(plan.retry_after, in.lookups.options.min_retry_after);
      co_return out;
    }
    if (plan.step == lookup_step::begin) {
      begin_lookup(in.lookups, now);
      asio::co_spawn(in.io, look_up(in), report_failure);
      if (!in.lookups.under_way) continue;
    }
    co_await in.configuration_checked.wait(plan.until - now);
  }
}

void refuse_caller(front& in, http_exchange& client,
                   const caller_verdict& why) {
  if (why.is_confirmed) {
    log_refusal(in, client, refusal_reason::unknown_key, "");
    serving::refuse(client, status_unauthorized, "the key is not known");
    return;
  }
  log_refusal(in, client, refusal_reason::unconfirmed_key, "");
  serving::refuse(client, serving::status_not_run,
                  "the key could not be checked", why.retry_after);
}

bool admit(front& in, http_exchange& client, const team& by) {
  auto retry_after = admit_request(in, by);
  if (!retry_after) return true;
  log_refusal(in, client, refusal_reason::over_rate, by.name);
  serving::refuse(client, status_too_many, "the team is over its rate",
                  retry_after);
  return false;
}

void note_team_changes(front& in, const served_configuration& before) {
  const auto& teams = in.configuration->teams;
  // Without a configuration before, all keys are new.
  if (before.version > 0) log_key_changes(in, before.teams);
  if (teams.requires_keys || before.teams.requires_keys)
    in.log.add("teams_in_force",
               {{"version", in.configuration->version},
                {"teams", std::uint64_t{teams.teams.size()}},
                {"keys", std::uint64_t{teams.by_key.size()}}});
  update_peer_server(in);
}

std::string metrics_text(const front& in) {
  const auto& teams = in.configuration->teams;
  if (!teams.requires_keys) return {};
  auto out = concat(
      "# TYPE fulmar_teams gauge\nfulmar_teams ", teams.teams.size(),
      "\n# TYPE fulmar_team_keys gauge\nfulmar_team_keys ", teams.by_key.size(),
      "\n# TYPE fulmar_fetched_configurations counter\n"
      "fulmar_fetched_configurations ",
      in.news.fetched, "\n# TYPE fulmar_callers_refused_total counter\n");
  for (const auto& [why, name] : refusal_reason_names) {
    auto n = in.refusals[static_cast<std::size_t>(why)].all;
    out += concat("fulmar_callers_refused_total{why=\"", name, "\"} ", n, "\n");
  }
  out += "# TYPE fulmar_key_lookups_total counter\n";
  for (const auto& [end, name] : lookup_end_names) {
    auto n = in.lookups.ends[static_cast<std::size_t>(end)];
    out += concat("fulmar_key_lookups_total{end=\"", name, "\"} ", n, "\n");
  }
  return out;
}

}  // namespace fulmar::teams
