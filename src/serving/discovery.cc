// Replicates the configuration, targets, jobs and crash events from the
// platform's store, and discovers the other daemons there.

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <boost/json.hpp>
#include <functional>
#include <utility>

#include "crash-system.h"
#include "front.h"
#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/text.h"
#include "platform/decoding.h"
#include "platform/json-fields.h"
#include "platform/names.h"
#include "reports.h"
#include "src/teams/caller-system.h"
#include "src/teams/rate-system.h"
#include "table-follower.h"
#include "version-system.h"

namespace fulmar::serving {
namespace {

/// Long-poll time for configuration changes. A call lost in an outage is
/// noticed one call timeout later, well within the 3 s in which a new
/// configuration must take effect.
constexpr auto configuration_poll_timeout = std::chrono::seconds(1);

/// Long-poll time and batching delay for target changes. Their sum is less than
/// half of the 3 s after which a draining target must get no new work.
constexpr auto target_poll_timeout = std::chrono::milliseconds(300);
constexpr auto target_batch_delay = std::chrono::milliseconds(700);

/// Entries that expired during a store outage are listed again within this time
/// after its end, unless their targets are gone.
constexpr auto relist_timeout = std::chrono::milliseconds(2200);

/// Long-poll time and batching delay for job changes. Each reply of the store
/// is billed, so changes are batched; other daemons see a result up to 0.3 s
/// later.
constexpr auto job_poll_timeout = std::chrono::milliseconds(700);
constexpr auto job_batch_delay = std::chrono::milliseconds(300);

/// Long-poll time and batching delay for crash events. A request that ended
/// three targets may still reach a few more within 4 s.
constexpr auto crash_poll_timeout = std::chrono::milliseconds(900);
constexpr auto crash_batch_delay = std::chrono::milliseconds(100);

/// Table in which daemons register.
constexpr const char* member_table = "members";

/// Interval of reading the members, to find daemons that no seed knows.
constexpr auto member_interval = std::chrono::seconds(15);

void apply_limits(front& in) {
  const auto& limits = in.configuration->limits;
  in.clients->set_limits({.max_body_bytes = limits.max_body_bytes,
                          .max_header_bytes = limits.max_header_bytes,
                          .max_connections = max_clients(in.settings),
                          .header_timeout = limits.header_timeout,
                          .idle_timeout = limits.idle_timeout,
                          .max_all_unsent_bytes = answer_budget(in.settings)});
}

void apply_configuration_row(front& in, const stored_row& row) {
  if (row.name.key != platform::configuration_key || row.removed) return;
  apply_configuration(in, row.value);
}

/// Removes a target that is no longer listed. Entries that expired in a store
/// outage are listed again within two seconds of its end if their targets are
/// alive, so their removal is delayed.
void handle_unlisted(front& in, const std::string& id, std::string_view why,
                     bool removed) {
  auto until = in.store_recovered_at.value_or(instant{}) + relist_timeout;
  auto lapses =
      removed && in.store_recovered_at && event_loop::steady() < until;
  in.log.add("target_gone",
             {{"target", id}, {"why", why}, {"perhaps_lapsed", lapses}});
  if (lapses) {
    schedule_removal(in.targets, id, until);
  } else {
    drop_target(in.targets, id);
  }
}

/// Records the removal of an entry that was never read: its target may have
/// begun streams through other daemons.
void note_unlisted_removal(front& in, const std::string& id) {
  note_unknown_left(in.versions.history, event_loop::steady());
  in.log.add("target_gone", {{"target", id}, {"why", "it was never listed"}});
}

void apply_target(front& in, const stored_row& row) {
  const auto& id = row.name.key;
  const auto* known = find_target(in.targets, id);
  auto target = row.removed ? absl::StatusOr<serving::target>(
                                  make_error(error_code::not_found, "removed"))
                            : platform::decode_target(id, row.value);
  if (!target.ok()) {
    if (known == nullptr) {
      if (row.removed) note_unlisted_removal(in, id);
      return;
    }
    auto message = std::string(target.status().message());
    handle_unlisted(in, id, message, row.removed);
    return;
  }
  auto changed = known == nullptr || known->listed.leaving != target->leaving ||
                 known->listed.address != target->address ||
                 known->listed.version != target->version;
  if (changed) {
    in.log.add("target_listed", {{"target", id},
                                 {"address", target->address},
                                 {"data_centre", target->data_centre},
                                 {"leaving", target->leaving},
                                 {"software", target->version},
                                 {"version", row.version}});
  }
  list_target(in.targets, std::move(*target));
}

/// Reads all pages of one part of a table.
task<absl::StatusOr<row_page>> read_part(front& in, std::string table,
                                         std::string part) {
  auto range = row_range{.table = std::move(table), .part = std::move(part)};
  auto out = row_page();
  for (;;) {
    auto page = co_await in.store.read(range);
    if (!page.ok()) co_return page.status();
    if (out.version == 0) out.version = page->version;
    out.now = page->now;
    for (auto& it : page->rows)
      out.rows.push_back(std::move(it));
    if (!page->truncated || out.rows.empty()) co_return out;
    // The smallest key greater than the last one.
    range.from = out.rows.back().name.key + '\0';
  }
}

void apply_target_list(front& in, const std::vector<stored_row>& rows) {
  auto listed = absl::flat_hash_set<std::string>();
  for (const auto& it : rows) {
    listed.insert(it.name.key);
    apply_target(in, it);
  }
  auto gone = std::vector<std::string>();
  for (const auto& [id, row] : in.targets.rows) {
    if (!listed.contains(id) && !row.remove_at) gone.push_back(id);
  }
  for (const auto& id : gone)
    handle_unlisted(in, id, "not in the full listing", true);
  in.targets_known = true;
}

/// \return the rows to forward: without renewals of unchanged entries.
std::vector<stored_row> rows_to_forward(front& in,
                                        const std::vector<stored_row>& rows) {
  auto now = event_loop::steady();
  auto out = std::vector<stored_row>();
  for (const auto& it : rows) {
    const auto& id = it.name.key;
    auto target = platform::decode_target(id, it.value);
    auto valid = !it.removed && target.ok();
    if (valid && !must_forward(in.targets, *target, now)) continue;
    note_forwarded(in.targets, id, now);
    out.push_back(it);
    // An entry that names no target may be longer than a datagram, and the
    // changes behind it would be lost with it.
    if (!valid) out.back().value.clear();
  }
  return out;
}

void apply_targets(front& in, const std::vector<stored_row>& rows, bool whole) {
  if (whole) {
    apply_target_list(in, rows);
  } else {
    for (const auto& it : rows)
      apply_target(in, it);
  }
  observe_versions(in, event_loop::steady());
}

/// Reads every part of the table of jobs.
task<absl::StatusOr<row_page>> read_jobs(front& in) {
  auto parts = co_await in.store.parts(job_table::jobs);
  if (!parts.ok()) co_return parts.status();
  // An empty table still yields the version from which changes are read.
  if (parts->empty()) parts->emplace_back();
  auto out = row_page();
  for (const auto& part : *parts) {
    auto page = co_await read_part(in, job_table::jobs, part);
    if (!page.ok()) co_return page.status();
    // The first version counts, so that changes made to parts already read are
    // delivered again.
    if (out.version == 0) out.version = page->version;
    out.now = page->now;
    for (auto& it : page->rows)
      out.rows.push_back(std::move(it));
  }
  co_return out;
}

void apply_jobs(front& in, const std::vector<stored_row>& rows) {
  for (const auto& it : rows)
    take_job_row(in.book, it);
  in.book_changed.notify();
}

/// Registers this daemon in the store.
/// \return whether the store has answered for good.
task<bool> register_member(front& in) {
  auto text = boost::json::serialize(
      boost::json::object{{"address", in.settings.address},
                          {"data_centre", in.settings.data_centre}});
  auto change = row_transaction();
  change.writes.push_back(
      {.name = {.table = member_table, .key = in.settings.name},
       .value = std::move(text)});
  auto result = co_await in.store.commit(std::move(change));
  auto refused = !result.ok() && is_refusal(result.status());
  if (refused) {
    auto why = std::string(result.status().message());
    in.log.add("member_not_registered", {{"why", why}});
  }
  // What the store refuses is not sent again; reports reach the others.
  co_return refused || (result.ok() && result->committed);
}

void apply_member(front& in, const stored_row& row) {
  auto fields = platform::parse_object(row.value);
  if (!fields.ok()) return;
  auto address = platform::text_field(*fields, "address");
  auto data_centre = platform::text_field(*fields, "data_centre");
  if (address.empty() || data_centre.empty()) return;
  in.reports->add_address(address, data_centre);
  if (data_centre == in.settings.data_centre)
    teams::expect_daemon(in, row.name.key);
}

}  // namespace

void apply_configuration(front& in, const std::string& text) {
  auto next = platform::decode_configuration(text);
  if (!next.ok()) {
    auto message = std::string(next.status().message());
    in.log.add("configuration_refused", {{"why", message}});
    return;
  }
  if (next->version <= in.configuration->version) return;
  if (moves_resumable_routes(*in.configuration, *next))
    in.versions.routes_moved = event_loop::steady();
  auto before = std::exchange(
      in.configuration,
      std::make_shared<const served_configuration>(std::move(*next)));
  ensure(in.configuration->version > before->version,
         invariant::config_never_reverts,
         "an older configuration came into force");
  apply_limits(in);
  teams::apply_rates(in);
  in.log.add("configuration_in_force",
             {{"version", in.configuration->version},
              {"before", before->version},
              {"idle_us",
               std::int64_t{in.configuration->limits.idle_timeout.count()}}});
  teams::note_team_changes(in, *before);
  in.configuration_text = in.peer_server != nullptr
                              ? std::make_shared<const std::string>(text)
                              : nullptr;
  if (in.peer_server != nullptr) in.reports->changed();
  in.configuration_checked.notify();
}

task<void> follow_configuration(front& in) {
  auto table = std::string(platform::table::operations);
  return follow(
      in, {.what = "configuration",
           .read_whole = [&in, table] { return read_part(in, table, ""); },
           .table = table,
           .poll_timeout = configuration_poll_timeout,
           .apply =
               [&in](const std::vector<stored_row>& rows, bool /*whole*/) {
                 for (const auto& it : rows)
                   apply_configuration_row(in, it);
               },
           .state = &in.feeds.configuration});
}

task<void> follow_targets(front& in) {
  auto table = std::string(platform::table::targets);
  return follow(
      in, {.what = "targets",
           .read_whole = [&in, table] { return read_part(in, table, ""); },
           .table = table,
           .poll_timeout = target_poll_timeout,
           .batch_delay = target_batch_delay,
           .apply = [&in](const std::vector<stored_row>& rows,
                          bool whole) { apply_targets(in, rows, whole); },
           .select_forwarded =
               [&in](const std::vector<stored_row>& rows) {
                 return rows_to_forward(in, rows);
               },
           .state = &in.feeds.targets,
           .shared = true});
}

void remove_expired_targets(front& in) {
  for (const auto& id : expire_targets(in.targets, event_loop::steady()))
    in.log.add(
        "target_gone",
        {{"target", id}, {"why", "not listed again after a store outage"}});
}

task<void> follow_jobs(front& in) {
  return follow(in, {.what = "jobs",
                     .read_whole = [&in] { return read_jobs(in); },
                     .table = job_table::jobs,
                     .poll_timeout = job_poll_timeout,
                     .batch_delay = job_batch_delay,
                     .apply = [&in](const std::vector<stored_row>& rows,
                                    bool /*whole*/) { apply_jobs(in, rows); },
                     .state = &in.feeds.jobs,
                     .shared = true});
}

task<void> follow_crashes(front& in) {
  return follow(in,
                {.what = "crashes",
                 .read_whole = [&in] { return read_part(in, crash_table, ""); },
                 .table = crash_table,
                 .poll_timeout = crash_poll_timeout,
                 .batch_delay = crash_batch_delay,
                 .apply = [&in](const std::vector<stored_row>& rows,
                                bool /*whole*/) { apply_crash_rows(in, rows); },
                 .state = &in.feeds.crashes,
                 .shared = true});
}

task<void> discover_members(front& in) {
  auto announced = false;
  for (;;) {
    if (!announced) announced = co_await register_member(in);
    auto page = co_await read_part(in, member_table, "");
    if (page.ok()) {
      for (const auto& it : page->rows)
        apply_member(in, it);
      teams::note_daemons_listed(in);
    }
    co_await pause_for(announced && page.ok() ? instant(member_interval)
                                              : instant(retry_delay));
  }
}

}  // namespace fulmar::serving
