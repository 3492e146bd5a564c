#include "fulmarpitch/serving/daemon.h"

#include <absl/strings/numbers.h>

#include <utility>

#include "crash-system.h"
#include "front.h"
#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "load-probe.h"
#include "platform/names.h"
#include "reports.h"
#include "src/teams/caller-system.h"
#include "src/teams/peer-system.h"
#include "src/teams/rate-system.h"
#include "version-system.h"

namespace fulmar::serving {
namespace {

/// Interval of the main periodic work; short compared with the latency goal of
/// 300 ms.
constexpr auto tick_period = std::chrono::milliseconds(20);

/// Interval of cleanup work, such as closing idle links and dropping members
/// that stopped reporting.
constexpr auto cleanup_period = std::chrono::milliseconds(250);

/// The load balancer removes this VM after two failed readiness probes, sent
/// once a second; clients may open new connections for a moment longer.
constexpr auto rotation_delay = std::chrono::milliseconds(3000);

/// How long before the end of the grace period draining stops, so that the
/// process can exit in time.
constexpr auto shutdown_margin = std::chrono::milliseconds(400);

absl::StatusOr<http_server_options> parse_address(const std::string& text) {
  auto mark = text.rfind(':');
  auto port = std::uint32_t{0};
  if (mark == std::string::npos ||
      !absl::SimpleAtoi(text.substr(mark + 1), &port)) {
    return make_error(error_code::bad_request,
                      concat("invalid address, expected HOST:PORT: ", text));
  }
  return http_server_options{.host = text.substr(0, mark),
                             .port = static_cast<std::uint16_t>(port)};
}

void answer_readiness(const front& in, http_exchange& client) {
  if (!client.request().target.starts_with(platform::path::readiness)) {
    refuse(client, 404, "there is only readiness here");
    return;
  }
  if (is_ready(in)) {
    client.respond({});
  } else {
    refuse(client, status_not_run,
           in.leaving ? "shutting down" : "nothing to serve with yet");
  }
}

/// Counts the end of a client's connection, and logs it if a request got no
/// complete answer.
void note_connection_end(front& in, const ended_connection& it) {
  ++in.connection_ends[static_cast<std::size_t>(it.why)];
  if (it.crossed) ++in.requests_crossed;
  if (it.unanswered == nullptr && !it.crossed) return;
  auto id = std::string_view();
  if (it.unanswered != nullptr)
    id = find_header(it.unanswered->headers, platform::header::request_id);
  in.log.add("connection_ended",
             {{"request_id", id},
              {"why", name_in(connection_end_names, it.why)},
              {"crossed", it.crossed},
              {"since_us", std::int64_t{it.elapsed.count()}}});
}

std::string connection_ends_text(const front& in) {
  auto out = std::string("# TYPE fulmar_connections_ended_total counter\n");
  for (const auto& [end, name] : connection_end_names) {
    auto n = in.connection_ends[static_cast<std::size_t>(end)];
    out +=
        concat("fulmar_connections_ended_total{why=\"", name, "\"} ", n, "\n");
  }
  return out;
}

std::string metrics_text(front& in) {
  auto count = [](std::string_view name, std::uint64_t value) {
    return concat("# TYPE fulmar_", name, " gauge\nfulmar_", name, " ", value,
                  "\n");
  };
  return concat(
      in.metrics_registry.text(), connection_ends_text(in),
      teams::rate_metrics(in), count("requests_crossed", in.requests_crossed),
      count("store_calls", in.store_counts.calls),
      count("store_call_failures", in.store_counts.failures),
      count("store_calls_unanswered", in.store_links.links().silences()),
      count("configuration_version", in.configuration->version),
      count("targets", in.targets.rows.size()),
      count("members", in.board.members.size()),
      count("attempts", in.attempts.size()), count("jobs_run", in.runs.size()),
      count("jobs_known", in.book.jobs.size()),
      count("crash_records", in.crashes.records.size()),
      count("answer_bytes_kept", in.target_links.links().kept_bytes()),
      count("answer_bytes_unsent", in.clients->unsent_bytes()),
      count("log_lines_dropped", in.log.dropped()), teams::metrics_text(in));
}

absl::Status start_servers(front& in) {
  auto clients = parse_address(in.settings.client_address);
  if (!clients.ok()) return clients.status();
  clients->max_connections = max_clients(in.settings);
  clients->max_all_unsent_bytes = answer_budget(in.settings);
  in.clients = std::make_unique<http_server>(
      in.loop, *clients,
      [&in](const auto& client) { handle_request(in, client); });
  in.clients->on_connection_end(
      [&in](const auto& it) { note_connection_end(in, it); });
  auto ready = parse_address(in.settings.ready_address);
  if (!ready.ok()) return ready.status();
  in.readiness_server = std::make_unique<http_server>(
      in.loop, *ready, [&in](auto client) { answer_readiness(in, *client); });
  in.metrics_server = std::make_unique<http_server>(
      in.loop,
      http_server_options{.host = in.settings.address,
                          .port = in.settings.metrics_port},
      [&in](auto client) {
        client->respond({.headers = {{"Content-Type", "text/plain"}},
                         .body = metrics_text(in)});
      });
  for (auto* it :
       {in.clients.get(), in.readiness_server.get(), in.metrics_server.get()}) {
    if (auto status = it->start(); !status.ok()) return status;
  }
  return in.reports->start();
}

void start_periodic_work(front& in) {
  auto start = [&](task<void> work) {
    asio::co_spawn(in.io, std::move(work), report_failure);
  };
  start(follow_configuration(in));
  start(follow_targets(in));
  start(follow_jobs(in));
  start(follow_crashes(in));
  start(discover_members(in));
  start(read_versions(in));
  in.loop.every(tick_period, [&in] {
    check_for_pause(in);
    auto now = event_loop::steady();
    // An answer that was read before this tick may have noted the pause.
    auto paused = in.resumed_at > in.handled_pause;
    in.handled_pause = in.resumed_at;
    in.last_tick = now;
    in.last_tick_since_boot = event_loop::since_boot();
    in.target_links.links().close_expired(now);
    in.probe_links.links().close_expired(now);
    in.store_links.links().close_expired(now);
    in.daemon_links.links().close_expired(now);
    in.peer_links.links().close_expired(now);
    detect_silent_targets(in, now, paused);
    close_stalled_streams(in, now);
    preempt_for_waiting_requests(in, now);
    run_jobs(in);
    teams::observe_rates(in, now);
    write_crash_rows(in, now);
    write_begun_streams(in, now);
    in.log.flush();
  });
  in.loop.every(cleanup_period, [&in] {
    auto now = event_loop::steady();
    in.target_links.close_idle(now);
    in.probe_links.close_idle(now);
    in.store_links.close_idle(now);
    in.daemon_links.close_idle(now);
    in.peer_links.close_idle(now);
    drop_silent_members(in.board, now);
    log_abandoned(in, now);
    teams::fetch_reported_configuration(in, now);
    remove_expired_targets(in);
    remove_outdated_jobs(in);
    note_ends_of_silent_targets(in, now);
    forget_crashes(in, now);
    observe_versions(in, now);
    write_versions(in, now);
    remove_begun_rows(in, now);
  });
}

/// \return requests that are not answered yet, of clients and of daemons that
///     passed them on.
std::size_t open_exchanges(const front& in) {
  auto passed_on =
      in.peer_server != nullptr ? in.peer_server->open_exchanges() : 0;
  return in.clients->open_exchanges() + passed_on;
}

/// Shuts down gracefully: first waits until the load balancer sends no new
/// requests, then until the open ones have finished.
task<void> shut_down_gracefully(front& in, std::function<void()> done) {
  auto began = event_loop::steady();
  in.leaving = true;
  in.rotation_end = began + rotation_delay;
  in.shutdown_end = began + in.settings.grace - shutdown_margin;
  in.log.add("stopping", {{"open", std::uint64_t{in.clients->open_exchanges()}},
                          {"jobs", std::uint64_t{in.runs.size()}}});
  in.reports->send_to_all();
  in.book_changed.notify();
  while (event_loop::steady() < in.rotation_end) {
    release_jobs(in);
    co_await pause_for(tick_period);
  }
  in.clients->stop_accepting();
  in.clients->close_idle();
  while (event_loop::steady() < in.shutdown_end &&
         (open_exchanges(in) > 0 || !in.runs.empty())) {
    in.clients->close_idle();
    release_jobs(in);
    co_await pause_for(tick_period);
  }
  in.log.add("stopped", {{"jobs", std::uint64_t{in.runs.size()}},
                         {"open", std::uint64_t{open_exchanges(in)}}});
  in.log.flush();
  done();
}

}  // namespace

serving_daemon::serving_daemon(event_loop& loop, vm_settings settings)
    : front_(std::make_unique<front>(loop, std::move(settings))) {
  front_->reports = std::make_unique<report_exchange>(*front_);
}

serving_daemon::~serving_daemon() = default;

absl::Status serving_daemon::start() {
  auto& in = *front_;
  if (auto status = start_servers(in); !status.ok()) return status;
  in.log.add("started", {{"vm", in.settings.name},
                         {"data_centre", in.settings.data_centre},
                         {"incarnation", in.incarnation},
                         {"store", in.settings.store_address},
                         {"version", FULMAR_VERSION}});
  start_periodic_work(in);
  return absl::OkStatus();
}

void serving_daemon::shut_down(std::function<void()> done) {
  if (front_->leaving) return;
  asio::co_spawn(front_->io, shut_down_gracefully(*front_, std::move(done)),
                 report_failure);
}

}  // namespace fulmar::serving
