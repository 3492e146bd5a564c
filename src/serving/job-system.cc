// Runs the items of the jobs that this daemon owns.

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <utility>

#include "attempt.h"
#include "crash-system.h"
#include "front.h"
#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/event-splitter.h"
#include "fulmarpitch/serving/item-starts.h"
#include "fulmarpitch/serving/job-takeover.h"
#include "job-store.h"
#include "job-writes.h"
#include "load-probe.h"
#include "platform/names.h"
#include "reports.h"

namespace fulmar::serving {
namespace {

constexpr int status_unprocessable = 422;

/// Items started per tick. The limit lets the next tick take into account the
/// items that other daemons have started.
constexpr int starts_per_tick = 2;

/// Batch items leave one in this many slots of a target free. Without reserved
/// slots each online request at a full target preempts an item: five times the
/// preemptions and twice the connections for the same output.
constexpr std::uint32_t slots_per_reserved = 8;

/// In other data centres a third of the slots stays free, because load reports
/// from there arrive half a second later.
constexpr std::uint32_t slots_per_reserved_away = 3;

/// Failures of an item allowed per configured attempt of its route. More than
/// one, because targets that fail every request are more common than items that
/// fail on every target; less than three, because a new owner restarts the
/// count.
constexpr std::uint32_t failures_per_attempt = 2;

/// Delay before taking over or loading a job is retried.
constexpr auto adoption_retry_delay = std::chrono::milliseconds(200);

/// Delay before the rows of a job are removed again after a failure.
constexpr auto removal_retry_delay = std::chrono::seconds(10);

/// Interval of the check for lost owners. They count as lost after 1.6 s of
/// silence, and the check goes through the jobs of all daemons.
constexpr auto takeover_check_interval = std::chrono::milliseconds(200);

/// Maximum body size of an error response.
constexpr std::size_t max_error_body_bytes = std::size_t{1024} * 1024;

/// One attempt at an item. Holds copies, because the run may end first.
struct item_attempt {
  std::string job;
  std::uint64_t serial = 0;
  std::uint32_t item = 0;
  std::string host;
  /// Name of the job's team; empty if it has none.
  std::string team;
  submitted_item request;
  std::uint64_t last_event = 0;
  /// Earlier failures of the item.
  std::uint32_t failures = 0;
  /// Runs that were cut off since its last event.
  std::uint32_t cut_count = 0;
  bool progressed = false;
};

/// Appends an event to the item's output; skips events it already has.
/// \param origin the software that sent the event.
/// \return false when earlier events are missing or the run has ended.
bool append_event(front& in, item_attempt& it, const stream_event& event,
                  const stream_origin& origin) {
  if (!event.id) return true;
  if (*event.id <= it.last_event) return true;
  if (*event.id != it.last_event + 1) return false;
  auto* run = find_run(in, it.job, it.serial);
  if (run == nullptr) return false;
  auto& progress = run->items[it.item].progress;
  if (it.last_event > 0) progress.output += '\n';
  if (it.last_event == 0) progress.origin = origin;
  ensure(progress.origin == origin, invariant::one_version,
         "an item goes on at another version of its service");
  progress.output += event.data;
  progress.last_event = *event.id;
  it.last_event = *event.id;
  it.progressed = true;
  return true;
}

/// \return whether the output would be longer than a result may be.
bool is_too_long(front& in, const item_attempt& it, const stream_event& event) {
  auto* run = find_run(in, it.job, it.serial);
  if (run == nullptr) return false;
  const auto& output = run->items[it.item].progress.output;
  return output.size() + event.data.size() >= max_output_bytes;
}

/// The outcome of an attempt whose connection failed or was closed here.
attempt_end end_of_broken(const live_attempt& it) {
  if (it.withdrawn) return attempt_end::queued;
  if (it.stopped) return attempt_end::preempted;
  if (it.closed_silent) return attempt_end::silent;
  return it.closed_stalled ? attempt_end::stalled : attempt_end::broken;
}

task<attempt_end> read_events(front& in, item_attempt& it, http_link& link,
                              const answer_head& head, live_attempt& entry,
                              stream_origin origin) {
  const auto& to = entry.target;
  auto events = event_splitter();
  for (;;) {
    auto piece = co_await link.read_piece();
    if (!piece.ok()) co_return end_of_broken(entry);
    if (piece->empty()) break;
    entry.note_output();
    events.feed(*piece);
    while (auto event = events.next()) {
      auto before = it.last_event;
      if (is_too_long(in, it, *event)) {
        link.close();
        co_return attempt_end::too_long;
      }
      if (!append_event(in, it, *event, origin)) {
        link.close();
        co_return attempt_end::broken;
      }
      if (it.last_event == before) continue;
      entry.last_event = entry.last_received;
      events.note_news();
    }
    if (!events.is_endless()) continue;
    link.close();
    record_target_failure(in, to, target_fault::broke_off);
    co_return attempt_end::broken;
  }
  auto end = end_of_stream(head, events);
  if (end == stream_end::whole && it.last_event > 0)
    co_return attempt_end::complete;
  log_broken_stream(in, it.request.id, to, end, it.last_event);
  co_return attempt_end::broken;
}

task<attempt_end> attempt_item(front& in, item_attempt& it, target to) {
  auto claim = load_guard(in, stable_hash(to.id), work_kind::batch);
  auto entry = attempt_entry(in, {.target = to.id,
                                  .kind = work_kind::batch,
                                  .job = it.job,
                                  .repeatable = true,
                                  .cut_count = it.cut_count});
  auto identity = in.configuration->teams.requires_keys || !it.team.empty()
                      ? identity_headers::dropped
                      : identity_headers::forwarded;
  auto fields = forwarded_header_lines(it.request.headers, identity);
  fields += team_header_line(it.team);
  fields += concat(platform::header::request_id, ": ", it.request.id, "\r\n");
  auto outgoing = target_request{.method = "POST",
                                 .path = it.request.path,
                                 .host = it.host,
                                 .id = it.request.id,
                                 .fields = fields,
                                 .body = it.request.body,
                                 .last_event = it.last_event};
  auto attempt = co_await begin_attempt(in, to, outgoing, entry.row());
  if (entry.row().stopped && attempt.outcome != attempt_outcome::answered)
    co_return end_of_broken(entry.row());
  if (attempt.outcome == attempt_outcome::not_run)
    co_return attempt_end::not_run;
  if (attempt.outcome == attempt_outcome::broken)
    co_return end_of_broken(entry.row());
  auto link = entry.row().link;
  const auto& head = attempt.head;
  auto signature =
      find_header(head.headers, platform::header::target_signature);
  auto end = attempt_end::broken;
  if (head.status < min_redirect_status) {
    if (signature.empty()) {
      link->close();
      co_return attempt_end::broken;
    }
    if (head.status != status_ok || !may_be_stream(head)) {
      link->close();
      log_broken_stream(in, it.request.id, to.id, stream_end::other_type,
                        it.last_event);
      co_return attempt_end::broken;
    }
    end = co_await read_events(in, it, *link, head, entry.row(), origin_of(to));
  } else {
    auto rest = co_await link->read_rest(max_error_body_bytes);
    if (!rest.ok()) co_return end_of_broken(entry.row());
    if (head.status == status_unprocessable) end = attempt_end::impossible;
    if (head.status >= min_server_error_status) end = attempt_end::failed;
    // Other refusals say nothing of the item.
    if (end == attempt_end::broken) {
      in.log.add("item_refused", {{"request_id", it.request.id},
                                  {"target", to.id},
                                  {"status", std::int64_t{head.status}}});
      record_target_failure(in, to.id, target_fault::failed);
    }
  }
  auto whole = end == attempt_end::complete || end == attempt_end::impossible ||
               end == attempt_end::failed;
  auto answered = whole && !entry.row().stopped;
  if (end == attempt_end::complete)
    note_parts_answered(in, part_keys_of(it.request.headers));
  if (answered) {
    in.target_links.give_back(link);
    // When the item also failed elsewhere, the item is the likelier cause.
    if (end != attempt_end::failed) {
      record_target_success(in, to.id);
    } else if (it.failures == 0) {
      record_target_failure(in, to.id, target_fault::failed);
    }
  }
  co_return end;
}

/// Number of failures after which an item is dead.
std::uint32_t max_failures(const front& in, const job_row& job) {
  const auto* path = find_route(*in.configuration, job.route);
  return failures_per_attempt * (path != nullptr ? path->attempts : 1);
}

task<void> run_item(front& in, item_attempt it, target to) {
  auto began = event_loop::steady();
  auto from = it.last_event;
  auto end = co_await attempt_item(in, it, to);
  auto now = event_loop::steady();
  in.log.add("item_attempt",
             {{"request_id", it.request.id},
              {"job", it.job},
              {"target", to.id},
              {"end", name_in(attempt_end_names, end)},
              {"from_event", from},
              {"to_event", it.last_event},
              {"took_us", std::int64_t{(now - began).count()}}});
  if (end == attempt_end::preempted)
    in.metrics_registry.add(counter::preemptions);
  auto* run = find_run(in, it.job, it.serial);
  if (run == nullptr) co_return;
  end_attempt(run->items[it.item], end, it.progressed,
              max_failures(in, run->row), now);
}

/// Selects the services that run items, according to the traffic splits of
/// their jobs' routes in the current configuration. Remembers the last route,
/// as most look-ups in a row are for one job.
class service_finder {
 public:
  explicit service_finder(const front& in) : configuration_(in.configuration) {}

  /// \return the service's name; empty if no route leads to one.
  std::string_view find(const job_run& run, const submitted_item& item) {
    if (std::exchange(run_, &run) != &run)
      route_ = find_route(*configuration_, run.row.route);
    const auto* path = route_;
    if (path == nullptr)
      path = match_route(*configuration_, run.row.host, item.path);
    if (path == nullptr) return {};
    return pick_service(*path, stable_hash(item.id));
  }

 private:
  std::shared_ptr<const served_configuration> configuration_;
  const job_run* run_ = nullptr;
  const route* route_ = nullptr;
};

/// Restarts an item from its first event, unless it has no output.
void restart_item(front& in, job_item& item, std::string_view why) {
  in.log.add("item_restarted", {{"request_id", item.request.id},
                                {"service", item.progress.origin.service},
                                {"version", item.progress.origin.version},
                                {"lost_events", item.progress.last_event},
                                {"why", why}});
  begin_anew(item);
}

/// Prepares an item with output to go on: it begins anew if no target of the
/// version that began it is left.
void check_origin(front& in, job_item& item, const std::string& service) {
  if (item.progress.last_event == 0 || service.empty()) return;
  const auto& origin = item.progress.origin;
  if (origin.service == service && has_target_for(in.targets, origin)) return;
  restart_item(in, item, "no target of its version is left");
}

/// Removes the targets on which an item with output cannot go on. An item that
/// its version does not continue while others have room begins anew.
/// \return whether the item has to wait, as only others have room.
bool keep_origin(front& in, job_item& item, service_targets& found,
                 const batch_reserve& reserve) {
  if (item.progress.last_event == 0) return false;
  auto any = found;
  keep_version(found, item.progress.origin.version);
  if (found.rows.size() == any.rows.size()) return false;
  constexpr auto options = item_retry_options();
  auto breaks = item.consecutive_breaks >= options.max_version_breaks ||
                item.cut_count >= options.max_version_cuts;
  if (!breaks && place_batch(found.candidates, reserve)) return false;
  if (!place_batch(any.candidates, reserve)) return false;
  auto now = event_loop::steady();
  if (breaks || is_stalled(item, now, options)) {
    restart_item(in, item, "its version does not continue it");
    found = std::move(any);
    return false;
  }
  if (!item.stalled_since) item.stalled_since = now;
  item.not_before = now + options.refusal_delay;
  return true;
}

/// Starts an item on a target that has room for it.
item_start start_item(front& in, service_finder& services, const item_ref& ref,
                      const batch_reserve& reserve) {
  auto& run = in.runs.at(ref.job);
  auto& item = run.items[ref.item];
  auto farthest = reserve.slots_per_reserved_away > 0 ? distance::other_region
                                                      : distance::data_centre;
  auto service = std::string(services.find(run, item.request));
  check_origin(in, item, service);
  auto found = targets_of(in, service, farthest);
  auto used = reserve;
  if (found.rows.empty()) {
    // Without a target here, waiting for one gains nothing.
    used.slots_per_reserved_away = slots_per_reserved_away;
    found = targets_of(in, service);
  }
  if (keep_origin(in, item, found, used)) return item_start::postponed;
  auto at = place_batch(found.candidates, used);
  if (!at) {
    if (used.slots_per_reserved_away > 0) want_probes(in, event_loop::steady());
    return item_start::no_room;
  }
  item.state = item_state::running;
  auto it = item_attempt{.job = ref.job,
                         .serial = run.serial,
                         .item = ref.item,
                         .host = run.row.host,
                         .team = run.row.team,
                         .request = item.request,
                         .last_event = item.progress.last_event,
                         .failures = item.progress.failures,
                         .cut_count = item.cut_count};
  asio::co_spawn(in.io, run_item(in, std::move(it), found.rows[*at]->listed),
                 report_failure);
  return item_start::started;
}

/// Starts items in this data centre, and in others only those that would be
/// late otherwise, because traffic between data centres is billed.
void start_items(front& in, instant now) {
  auto here = batch_reserve{.slots_per_reserved = slots_per_reserved,
                            .heard_share = heard_share(in.board, now)};
  auto anywhere = here;
  anywhere.slots_per_reserved_away = slots_per_reserved_away;
  auto services = service_finder(in);
  auto starter = item_starter{
      .service_of =
          [&](const job_run& run, const job_item& item) {
            return services.find(run, item.request);
          },
      .start =
          [&](const item_ref& ref, item_reach reach) {
            auto away = reach == item_reach::anywhere;
            return start_item(in, services, ref, away ? anywhere : here);
          }};
  // Late requests are online requests: batch does not start before them.
  start_items(in.runs, now, store_time(in).value_or(instant{}), starts_per_tick,
              services_waited_for(in.late_requests), starter);
}

/// Applies newer rows from the book to the jobs that run here.
void apply_job_updates(front& in) {
  auto left = std::vector<std::string>();
  for (auto& [id, run] : in.runs) {
    const auto* known = find_job(in.book, id);
    if (known == nullptr || known->version <= run.row.version) continue;
    auto stops =
        must_stop(run, *known) || (!run.listing && !apply_row(run, *known));
    if (stops) left.push_back(id);
  }
  for (const auto& id : left)
    drop_run(in, id, "another owner, or ended");
}

void log_not_adopted(front& in, const job_row& job, const absl::Status& fault) {
  auto why = std::string(fault.message());
  in.log.add("job_not_adopted", {{"job", job.id}, {"why", why}});
}

task<void> take_over(front& in, job_row job) {
  auto before = job.owner.name;
  auto next = job;
  next.owner = in.self;
  auto result = co_await in.store.commit(job_change(job, next));
  if (!result.ok()) {
    log_not_adopted(in, job, result.status());
    co_return;
  }
  if (!result->committed) {
    for (const auto& it : result->current)
      take_job_row(in.book, it);
    co_return;
  }
  next.version = result->version;
  update_known_job(in, next);
  in.log.add("job_taken_over", {{"job", job.id},
                                {"from", before},
                                {"listed", std::uint64_t{job.listed.size()}},
                                {"version", next.version}});
}

/// Loads the items and the saved progress of a job that this daemon owns.
task<void> load_run(front& in, job_row job) {
  auto items = co_await read_items(in, job);
  if (!items.ok()) {
    log_not_adopted(in, job, items.status());
    co_return;
  }
  auto progress = co_await read_progress(in, job);
  if (!progress.ok()) {
    log_not_adopted(in, job, progress.status());
    co_return;
  }
  const auto* known = find_job(in.book, job.id);
  if (known == nullptr || known->owner != in.self || !known->open()) co_return;
  if (items->size() != known->items || in.runs.contains(job.id)) co_return;
  add_run(in, *known, std::move(*items), *progress);
}

void adopt_jobs(front& in, instant now) {
  if (in.leaving) return;
  auto self = takeover_candidate{.name = in.settings.name,
                                 .data_centre = in.settings.data_centre,
                                 .age = now - in.began,
                                 .store_lost = store_lost(in)};
  auto checks_others = now >= in.next_takeover;
  if (checks_others) in.next_takeover = now + takeover_check_interval;
  for (const auto& [id, job] : in.book.jobs) {
    if (!job.open()) continue;
    auto mine = job.owner == in.self;
    if (!mine && !checks_others) continue;
    if (in.runs.contains(id) || in.loading_jobs.contains(id)) continue;
    if (!mine && !should_take_over(in.board, self, job, now)) continue;
    in.loading_jobs.insert(id);
    asio::co_spawn(
        in.io,
        [](front& at, job_row row, bool own) -> task<void> {
          auto name = row.id;
          if (own) {
            co_await load_run(at, std::move(row));
          } else {
            co_await take_over(at, std::move(row));
          }
          if (!at.runs.contains(name)) co_await pause_for(adoption_retry_delay);
          at.loading_jobs.erase(name);
        }(in, job, mine),
        report_failure);
  }
}

task<void> remove_outdated(front& in, std::string id) {
  const auto* job = find_job(in.book, id);
  auto removed = false;
  if (job != nullptr) removed = co_await remove_job(in, *job);
  if (removed) {
    in.book.jobs.erase(id);
    in.log.add("job_removed", {{"job", id}});
  } else {
    in.log.add("job_not_removed", {{"job", id}});
    co_await pause_for(removal_retry_delay);
  }
  in.loading_jobs.erase(id);
}

/// Marks waiting items as dead once they exceed their route's maximum wait.
void fail_overdue_items(front& in) {
  auto now = store_time(in);
  if (!now) return;
  for (auto& [id, run] : in.runs) {
    const auto* path = find_route(*in.configuration, run.row.route);
    if (path == nullptr || path->max_wait.count() == 0) continue;
    if (*now > run.row.accepted + path->max_wait) fail_waiting_items(run);
  }
}

}  // namespace

void remove_outdated_jobs(front& in) {
  auto now = store_time(in);
  auto members = live_members(in.board, "", event_loop::steady());
  members.push_back(in.settings.name);
  if (!now || in.leaving) return;
  for (const auto& [id, job] : in.book.jobs) {
    if (!is_expired(job, *now, in.settings.result_lifetime)) continue;
    if (in.loading_jobs.contains(id)) continue;
    if (rendezvous_owner(id, members) != in.settings.name) continue;
    in.loading_jobs.insert(id);
    asio::co_spawn(in.io, remove_outdated(in, id), report_failure);
  }
}

void observe_loads(front& in, instant now) {
  constexpr auto interval = std::chrono::milliseconds(200);
  auto elapsed = now - in.mean_loads_updated;
  if (elapsed < interval) return;
  in.mean_loads_updated = now;
  auto current = data_centre_loads();
  auto loads = all_loads(in.board, now);
  for (const auto& [id, row] : in.targets.rows) {
    if (is_leaving(row) || row.seen.replaced) continue;
    auto& sum = current[row.listed.data_centre];
    sum.slots += row.listed.slots;
    if (auto it = loads.find(row.key); it != loads.end())
      sum.online += it->second.online;
  }
  update_mean_loads(in.mean_loads, current, elapsed);
}

void run_jobs(front& in) {
  auto now = event_loop::steady();
  observe_loads(in, now);
  apply_job_updates(in);
  for (const auto& it : trim_outputs(in.runs, answer_budget(in.settings)))
    in.log.add("output_dropped", {{"request_id", it}, {"why", "memory"}});
  fail_overdue_items(in);
  adopt_jobs(in, now);
  start_listings(in, now);
  start_saves(in, now);
  if (!in.leaving) start_items(in, now);
  probe_targets(in, now);
}

}  // namespace fulmar::serving
