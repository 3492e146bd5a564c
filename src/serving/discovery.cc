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
#include "table-follower.h"

namespace fulmar::serving {
namespace {

/// Long-poll time for configuration changes. A call lost in an outage is
/// noticed one call timeout later, well within the 3 s in which a new
/// configuration must take effect.
constexpr auto configuration_wait = std::chrono::seconds(1);

/// Long-poll time and batching delay for target changes. Their sum is less than
/// half of the 3 s after which a draining target must get no new work.
constexpr auto target_wait = std::chrono::milliseconds(300);
constexpr auto target_gather = std::chrono::milliseconds(700);

/// Entries that expired during a store outage are listed again within this time
/// after its end, unless their targets are gone.
constexpr auto lapse_time = std::chrono::milliseconds(2200);

/// Long-poll time and batching delay for job changes. Each reply of the store
/// is billed, so changes are batched; other daemons see a result up to 0.3 s
/// later.
constexpr auto job_wait = std::chrono::milliseconds(700);
constexpr auto job_gather = std::chrono::milliseconds(300);

/// Long-poll time and batching delay for crash events. A request that ended
/// three targets may still reach a few more within 4 s.
constexpr auto crash_wait = std::chrono::milliseconds(900);
constexpr auto crash_gather = std::chrono::milliseconds(100);

/// Table in which daemons register.
constexpr const char* member_table = "members";

/// Interval of reading the members, to find daemons that no seed knows.
constexpr auto member_period = std::chrono::seconds(15);

void apply_limits(front& in) {
  const auto& limits = in.configuration->limits;
  in.clients->set_limits({.max_body_bytes = limits.max_body_bytes,
                          .max_header_bytes = limits.max_header_bytes,
                          .header_timeout = limits.header_timeout,
                          .idle_timeout = limits.idle_timeout});
}

void take_configuration(front& in, const stored_row& row) {
  if (row.name.key != platform::configuration_key || row.removed) return;
  auto next = platform::decode_configuration(row.value);
  if (!next.ok()) {
    auto message = std::string(next.status().message());
    in.log.add("configuration_refused", {{"why", message}});
    return;
  }
  if (next->version <= in.configuration->version) return;
  auto before = in.configuration->version;
  in.configuration =
      std::make_shared<const served_configuration>(std::move(*next));
  ensure(in.configuration->version > before, invariant::config_never_reverts,
         "an older configuration came into force");
  apply_limits(in);
  in.log.add("configuration_in_force",
             {{"version", in.configuration->version}, {"before", before}});
}

/// Removes a target that is no longer listed. Entries that expired in a store
/// outage are listed again within two seconds of its end if their targets are
/// alive, so their removal is delayed.
void unlist(front& in, const std::string& id, std::string_view why,
            bool removed) {
  auto until = in.store_regained.value_or(instant{}) + lapse_time;
  auto lapses = removed && in.store_regained && event_loop::steady() < until;
  in.log.add("target_gone",
             {{"target", id}, {"why", why}, {"perhaps_lapsed", lapses}});
  if (lapses) {
    let_lapse(in.targets, id, until);
  } else {
    drop_target(in.targets, id);
  }
}

void take_target(front& in, const stored_row& row) {
  const auto& id = row.name.key;
  const auto* known = find_target(in.targets, id);
  auto target = row.removed ? absl::StatusOr<serving::target>(
                                  make_error(error_code::not_found, "removed"))
                            : platform::decode_target(id, row.value);
  if (!target.ok()) {
    if (known == nullptr) return;
    auto message = std::string(target.status().message());
    unlist(in, id, message, row.removed);
    return;
  }
  auto changed = known == nullptr || known->listed.leaving != target->leaving ||
                 known->listed.address != target->address;
  if (changed) {
    in.log.add("target_listed", {{"target", id},
                                 {"address", target->address},
                                 {"data_centre", target->data_centre},
                                 {"leaving", target->leaving},
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

void take_target_list(front& in, const std::vector<stored_row>& rows) {
  auto listed = absl::flat_hash_set<std::string>();
  for (const auto& it : rows) {
    listed.insert(it.name.key);
    take_target(in, it);
  }
  auto gone = std::vector<std::string>();
  for (const auto& [id, row] : in.targets.rows) {
    if (!listed.contains(id) && !row.lapses_at) gone.push_back(id);
  }
  for (const auto& id : gone)
    unlist(in, id, "not in the full listing", true);
  in.targets_known = true;
}

/// \return the rows to forward: without renewals of unchanged entries.
std::vector<stored_row> news_of_targets(front& in,
                                        const std::vector<stored_row>& rows) {
  auto now = event_loop::steady();
  auto out = std::vector<stored_row>();
  for (const auto& it : rows) {
    const auto& id = it.name.key;
    if (!it.removed) {
      auto target = platform::decode_target(id, it.value);
      if (target.ok() && !is_news(in.targets, *target, now)) continue;
    }
    note_told(in.targets, id, now);
    out.push_back(it);
  }
  return out;
}

void take_targets(front& in, const std::vector<stored_row>& rows, bool whole) {
  if (whole) return take_target_list(in, rows);
  for (const auto& it : rows)
    take_target(in, it);
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

void take_jobs(front& in, const std::vector<stored_row>& rows) {
  for (const auto& it : rows)
    take_job_row(in.book, it);
  in.book_changed.notify();
}

/// Registers this daemon in the store.
task<bool> announce(front& in) {
  auto text = boost::json::serialize(
      boost::json::object{{"address", in.settings.address},
                          {"data_centre", in.settings.data_centre}});
  auto change = row_transaction();
  change.writes.push_back(
      {.name = {.table = member_table, .key = in.settings.name},
       .value = std::move(text)});
  auto result = co_await in.store.commit(std::move(change));
  co_return result.ok() && result->committed;
}

void take_member(front& in, const stored_row& row) {
  auto fields = platform::parse_object(row.value);
  if (!fields.ok()) return;
  auto address = platform::text_field(*fields, "address");
  auto data_centre = platform::text_field(*fields, "data_centre");
  if (address.empty() || data_centre.empty()) return;
  in.reports->add_address(address, data_centre);
}

}  // namespace

task<void> follow_configuration(front& in) {
  auto table = std::string(platform::table::operations);
  return follow(
      in, {.what = "configuration",
           .read_whole = [&in, table] { return read_part(in, table, ""); },
           .table = table,
           .wait = configuration_wait,
           .take =
               [&in](const std::vector<stored_row>& rows, bool /*whole*/) {
                 for (const auto& it : rows)
                   take_configuration(in, it);
               },
           .state = &in.feeds.configuration});
}

task<void> follow_targets(front& in) {
  auto table = std::string(platform::table::targets);
  return follow(
      in, {.what = "targets",
           .read_whole = [&in, table] { return read_part(in, table, ""); },
           .table = table,
           .wait = target_wait,
           .gather = target_gather,
           .take = [&in](const std::vector<stored_row>& rows,
                         bool whole) { take_targets(in, rows, whole); },
           .news =
               [&in](const std::vector<stored_row>& rows) {
                 return news_of_targets(in, rows);
               },
           .state = &in.feeds.targets,
           .shared = true});
}

void drop_lapsed_targets(front& in) {
  for (const auto& id : drop_lapsed(in.targets, event_loop::steady()))
    in.log.add(
        "target_gone",
        {{"target", id}, {"why", "not listed again after a store outage"}});
}

task<void> follow_jobs(front& in) {
  return follow(in, {.what = "jobs",
                     .read_whole = [&in] { return read_jobs(in); },
                     .table = job_table::jobs,
                     .wait = job_wait,
                     .gather = job_gather,
                     .take = [&in](const std::vector<stored_row>& rows,
                                   bool /*whole*/) { take_jobs(in, rows); },
                     .state = &in.feeds.jobs,
                     .shared = true});
}

task<void> follow_crashes(front& in) {
  return follow(in,
                {.what = "crashes",
                 .read_whole = [&in] { return read_part(in, crash_table, ""); },
                 .table = crash_table,
                 .wait = crash_wait,
                 .gather = crash_gather,
                 .take = [&in](const std::vector<stored_row>& rows,
                               bool /*whole*/) { take_crash_rows(in, rows); },
                 .state = &in.feeds.crashes,
                 .shared = true});
}

task<void> find_members(front& in) {
  auto announced = false;
  for (;;) {
    if (!announced) announced = co_await announce(in);
    auto page = co_await read_part(in, member_table, "");
    if (page.ok()) {
      for (const auto& it : page->rows)
        take_member(in, it);
    }
    co_await pause_for(announced && page.ok() ? instant(member_period)
                                              : instant(retry_pause));
  }
}

}  // namespace fulmar::serving
