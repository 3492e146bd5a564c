#pragma once

/// \file
/// The state of one serving daemon and the functions that operate on it.
/// Everything runs on one thread.

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <deque>
#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "fulmarpitch/daemon/metrics.h"
#include "fulmarpitch/net/change-signal.h"
#include "fulmarpitch/net/coroutine.h"
#include "fulmarpitch/net/http.h"
#include "fulmarpitch/net/link-pool.h"
#include "fulmarpitch/serving/begun-streams.h"
#include "fulmarpitch/serving/crash-book.h"
#include "fulmarpitch/serving/event-log.h"
#include "fulmarpitch/serving/feed.h"
#include "fulmarpitch/serving/job-owner.h"
#include "fulmarpitch/serving/job-run.h"
#include "fulmarpitch/serving/late-queue.h"
#include "fulmarpitch/serving/load-board.h"
#include "fulmarpitch/serving/placement.h"
#include "fulmarpitch/serving/quota.h"
#include "fulmarpitch/serving/returns.h"
#include "fulmarpitch/serving/routes.h"
#include "fulmarpitch/serving/settings.h"
#include "fulmarpitch/serving/silent-ends.h"
#include "fulmarpitch/serving/slot-waits.h"
#include "fulmarpitch/serving/store.h"
#include "fulmarpitch/serving/targets.h"
#include "fulmarpitch/serving/versions.h"
#include "fulmarpitch/teams/caller.h"
#include "fulmarpitch/teams/configuration-news.h"
#include "fulmarpitch/teams/key-lookups.h"
#include "fulmarpitch/teams/rate-ledger.h"
#include "fulmarpitch/teams/refusals.h"
#include "platform/store-client.h"

namespace fulmar::serving {

/// One request in flight at a target.
struct live_attempt {
  std::string target;
  link_ptr link;
  work_kind kind = work_kind::online;
  /// Batch: the job's id.
  std::string job;
  /// The request may be retried at another target.
  bool repeatable = false;
  /// The target's software.
  stream_origin origin;
  /// Online: the request has used up the attempts that its route allows.
  bool is_last = false;
  /// Online: an earlier attempt may have run.
  bool is_retry = false;
  /// Online: the client has received the head of the answer.
  bool head_sent = false;
  /// A target that sends nothing for this long counts as silent.
  instant silence_timeout = min_silence_timeout;
  instant started{};
  /// When the last byte of the response arrived, or when the request was sent
  /// if none has.
  instant last_received{};
  /// Batch: when the last complete event arrived, or when the request was sent
  /// if none has.
  instant last_event{};
  /// The target has sent output, so the request holds a slot.
  bool has_output = false;
  /// Online: a batch item was already preempted for this request.
  bool has_preempted = false;
  /// The target sent nothing to any request of this daemon for
  /// `silence_timeout`.
  bool target_silent = false;
  /// This daemon closed the link because the target was silent.
  bool closed_silent = false;
  /// Batch: this daemon closed the link because no event arrived.
  bool closed_stalled = false;
  /// This daemon closed the link: the client disconnected, or the batch item
  /// was preempted or withdrawn.
  bool stopped = false;
  /// Batch: runs of the item that were cut off since its last event.
  std::uint32_t cut_count = 0;
  /// Batch: withdrawn because it waited too long in the target's queue.
  bool withdrawn = false;

  /// Records that the target sent output.
  void note_output() {
    has_output = true;
    last_received = event_loop::steady();
  }

  /// Closes the link without counting a failure of the target.
  void stop() {
    stopped = true;
    if (link) link->close();
  }
};

/// Exchanges load reports with other daemons.
class report_exchange;

/// Keeps a local copy of a store table up to date.
struct table_follower;

/// A crash record to write to the store or to remove from it.
struct crash_row_change {
  std::string key;
  std::string value;
  bool removed = false;
};

/// Crash record changes that are waiting to be written to the store.
struct crash_row_queue {
  std::deque<crash_row_change> pending;
  bool writing = false;
  /// Most changes in one transaction; lowered while the store refuses them.
  std::size_t max_changes = std::numeric_limits<std::size_t>::max();
  /// Earliest time of the next write after a failed one.
  instant retry_after{};
};

/// What is known of the versions of the targets' software.
struct version_state {
  version_history history;
  /// The rows in the store as far as this daemon knows: when the last target of
  /// a version left, or nothing while it is listed.
  absl::flat_hash_map<stream_origin, std::optional<instant>> recorded;
  /// The rows were read after the start.
  bool read = false;
  /// When a configuration last sent requests that may be resumed to another
  /// service.
  std::optional<instant> routes_moved;
  /// Longest time seen between a client's first attempt and its last.
  instant resume_time{};
  bool writing = false;
  bool writing_streams = false;
  /// Most streams in one transaction; lowered while the store refuses them.
  std::size_t max_stream_rows = std::numeric_limits<std::size_t>::max();
  /// Earliest times of the next calls, on the steady clock.
  instant next_read{};
  instant next_write{};
  instant next_stream_write{};
  instant next_removal{};
};

/// Questions to targets for their load.
struct load_probes {
  /// When a target was last asked, on the steady clock, by its key.
  absl::flat_hash_map<std::uint64_t, instant> asked;
  /// Items found no room until then, on the steady clock.
  instant wanted_until{};
  /// Earliest time of the next question, on the steady clock.
  instant next{};
  /// Data centres that were logged as abandoned.
  absl::flat_hash_set<std::string> abandoned;
};

/// The state of a daemon.
struct front {
  front(event_loop& event_loop, vm_settings vm);
  ~front();
  front(const front&) = delete;
  front& operator=(const front&) = delete;

  event_loop& loop;
  asio::io_context& io;
  vm_settings settings;
  /// Identifies this run of the daemon; random, as the time of day may jump.
  std::uint64_t incarnation = 0;
  job_owner self;

  std::shared_ptr<const served_configuration> configuration =
      std::make_shared<served_configuration>();
  /// The text of the configuration, for other daemons; null without teams.
  std::shared_ptr<const std::string> configuration_text;
  /// Look-ups of newer configurations for unknown keys.
  teams::key_lookups lookups;
  /// A look-up ended, or a newer configuration came into force.
  change_signal configuration_checked;
  /// Daemons that have a newer configuration.
  teams::configuration_news news;
  /// Requests that were refused for their caller.
  teams::refusal_counts refusals{};
  target_table targets;
  /// The target list was read at least once.
  bool targets_known = false;
  /// How far each store table has been read.
  struct {
    feed_state configuration;
    feed_state targets;
    feed_state jobs;
    feed_state crashes;
  } feeds;
  /// Followers of the store's tables; each lives as long as the process.
  std::vector<const table_follower*> followed;
  /// When the store's last outage ended, as seen by this daemon or by the
  /// daemon that reads the store for it; empty if there was none.
  std::optional<instant> store_recovered_at;
  load_board board;
  /// Requests of teams that have a rate.
  teams::rate_ledger rates;
  std::list<live_attempt> attempts;
  /// Moving average of the time that an online request holds a slot.
  instant slot_time;
  /// Expected retries of clients that were refused.
  return_book returns;
  /// Late requests that are held for a free slot.
  late_queue late_requests;
  /// Recent arrivals of requests that are in time.
  arrival_window arrivals;
  /// Time limits of new requests, by route.
  absl::flat_hash_map<std::string, observed_time_limit> time_limits;

  /// Requests during which targets crashed.
  crash_registry crashes;
  crash_row_queue crash_rows;
  silent_ends silences;

  version_state versions;
  /// Resumable streams that targets began for this daemon.
  begun_streams begun;

  link_pool target_links;
  /// Connections on which targets are asked for their load only: a late answer
  /// there is never taken for that of a request.
  link_pool probe_links;
  load_probes probes;
  link_pool store_links;
  /// Connections to other daemons, for forwarded calls.
  link_pool daemon_links;
  /// Connections to the ports of other daemons that clients do not reach.
  link_pool peer_links;
  platform::store_call_counts store_counts;
  row_store store;
  /// The store's clock minus the steady clock; empty before its first answer.
  std::optional<instant> store_clock_offset;

  job_book book;
  uncounted_jobs unordered;
  data_centre_loads mean_loads;
  /// When the mean loads were last updated, on the steady clock.
  instant mean_loads_updated{};
  change_signal book_changed;
  job_runs runs;
  /// When the owners of other daemons' jobs are checked next, on the steady
  /// clock.
  instant next_takeover{};
  /// Jobs that are being taken over or loaded.
  absl::flat_hash_set<std::string> loading_jobs;

  event_log log;
  metrics metrics_registry;
  std::unique_ptr<report_exchange> reports;
  std::unique_ptr<http_server> clients;
  /// Connections of clients that ended, by the reason.
  std::array<std::uint64_t, connection_end_names.size()> connection_ends{};
  /// Requests that arrived behind the close of an idle connection.
  std::uint64_t requests_crossed = 0;
  std::unique_ptr<http_server> readiness_server;
  /// Serves other daemons; null until there are teams.
  std::unique_ptr<http_server> peer_server;
  std::unique_ptr<http_server> metrics_server;
  /// The daemon is shutting down.
  bool leaving = false;
  /// When shutting down: until when the load balancer may send requests, and
  /// when this process ends, on the steady clock.
  instant rotation_end{};
  instant shutdown_end{};
  /// Counts placements; salts the tie-breaking between equal targets.
  std::uint64_t request_count = 0;
  /// When this process started, on the steady clock.
  instant began = event_loop::steady();
  /// When the main periodic work last ran, on the steady clock and on the one
  /// that counts while the VM is suspended.
  instant last_tick = event_loop::steady();
  instant last_tick_since_boot = event_loop::since_boot();
  /// When the process last went on after it had stood still, on the steady
  /// clock.
  instant resumed_at{};
  /// The value of `resumed_at` that the main periodic work has handled.
  instant handled_pause{};
};

/// Scope guard that counts a request in this daemon's load at a target.
class load_guard {
 public:
  load_guard(front& of, std::uint64_t target, work_kind kind);
  ~load_guard();
  load_guard(const load_guard&) = delete;
  load_guard& operator=(const load_guard&) = delete;

 private:
  std::uint32_t& count();

  front& front_;
  std::uint64_t target_;
  work_kind kind_;
};

/// Scope guard that keeps an attempt in the daemon's list of attempts.
class attempt_entry {
 public:
  attempt_entry(front& of, live_attempt it);
  ~attempt_entry();
  attempt_entry(const attempt_entry&) = delete;
  attempt_entry& operator=(const attempt_entry&) = delete;

  live_attempt& row() { return *row_; }

 private:
  front& front_;
  std::list<live_attempt>::iterator row_;
};

/// Candidate targets for a placement, each with its row at the same index.
struct service_targets {
  std::vector<candidate> candidates;
  std::vector<const target_row*> rows;
};

/// Collects the targets of a service that accept work.
/// \param farthest the greatest distance of a target to include.
service_targets targets_of(front& in, std::string_view service,
                           distance farthest = distance::other_region);

/// Removes the targets whose software is of another version.
void keep_version(service_targets& found, std::string_view version);

/// Finds the targets that are full, judging by how long this daemon's own
/// requests have waited there.
/// \return the keys of the targets.
absl::flat_hash_set<std::uint64_t> find_full_targets(front& in, instant now);

/// \return whether the platform's store is unreachable from this daemon.
bool store_lost(const front& in);

/// \return the time on the store's clock; empty before the store's first
/// answer.
std::optional<instant> store_time(const front& in);

/// What becomes of the headers that name a client's team.
enum class identity_headers {
  /// There are no teams: they are headers like others.
  forwarded,
  dropped,
};

/// \return whether a header holds a key or names a team.
bool is_identity_header(std::string_view name);

/// Builds the header lines that are forwarded with a request.
/// \param headers the client's headers.
std::string forwarded_header_lines(const std::vector<http_header>& headers,
                                   identity_headers identity);

/// Builds the header line that tells a target which team sent a request.
/// \param team the team's name; empty for no line.
std::string team_header_line(std::string_view team);

/// \return the response headers that are forwarded to the client.
std::vector<http_header> forwarded_headers(const answer_head& head);

/// \return how long the client asked to wait for a result; empty if it did not
///     ask.
std::optional<instant> requested_wait(const http_request& request);

/// \param connection the value of the message's Connection header.
/// \return whether a header is end-to-end rather than hop-by-hop.
bool is_end_to_end(std::string_view name, std::string_view connection);

/// \return the host in the client's Host header, without the port.
std::string host_of(const http_exchange& client);

/// \return the most bytes that answers of one kind may take: those that targets
///     have not sent whole, those that clients have not taken, or the outputs
///     of items that wait.
std::size_t answer_budget(const vm_settings& settings);

/// \return the most connections of clients; the other descriptors are left to
///     targets, the store and other daemons.
std::size_t max_clients(const vm_settings& settings);

/// Notes a pause of the process since the main periodic work last ran: it was
/// stopped, or its VM was suspended. What arrived meanwhile may be as old as
/// the pause, so the copies of the store's tables are unconfirmed.
/// \return whether there was a pause.
bool check_for_pause(front& in);

/// \param asked when a call began, on the steady clock.
/// \return whether the process has run without a pause since then.
bool is_current(front& in, instant asked);

/// Takes the store's time from an answer, unless the answer waited while the
/// process stood still.
/// \param store_now the store's clock in the answer; 0 if it has none.
/// \param asked when the call began, on the steady clock.
void take_store_time(front& in, instant store_now, instant asked);

/// \return whether the configuration and the targets have been loaded.
bool has_started(const front& in);

/// \return whether the daemon can serve requests and is not shutting down.
bool is_ready(const front& in);

/// \param deadline when the request is answered at the latest.
/// \return whether this process may end before a request that arrives now is
///     answered. What arrives while the load balancer still sends requests is
///     served, as most answers take far less time than they may.
bool may_outlast_daemon(const front& in, instant deadline);

// Periodic and long-running work.

/// Keeps the active configuration up to date.
task<void> follow_configuration(front& in);
/// Keeps the table of targets up to date.
task<void> follow_targets(front& in);
/// Drops targets whose entries expired and were not renewed.
void remove_expired_targets(front& in);
/// Keeps the table of jobs up to date.
task<void> follow_jobs(front& in);
/// Keeps the crash records up to date.
task<void> follow_crashes(front& in);
/// Applies changes that another daemon read from the store.
void apply_feed_page(front& in, feed_page page);
/// Registers this daemon and discovers the others.
task<void> discover_members(front& in);
/// Brings a configuration into force if it is newer than the one in force.
/// \param text the configuration as the operator wrote it.
void apply_configuration(front& in, const std::string& text);

/// From where a request came.
enum class request_source {
  client,
  /// Another daemon passes it on and has found its caller.
  daemon,
};

/// Handles one request.
void handle_request(front& in, const std::shared_ptr<http_exchange>& client,
                    request_source from = request_source::client);
/// Serves an online request.
/// \param caller the team that sent it; null if the route needs none.
task<void> serve_online(
    front& in, std::shared_ptr<http_exchange> client,
    std::shared_ptr<const served_configuration> configuration,
    const route& route, const teams::team* caller);
/// Accepts a batch job.
task<void> submit_job(front& in, std::shared_ptr<http_exchange> client,
                      std::shared_ptr<const served_configuration> configuration,
                      const route& route, teams::job_caller caller);
/// Serves the results of a job.
task<void> read_results(front& in, std::shared_ptr<http_exchange> client,
                        std::string job, std::uint32_t position,
                        teams::job_caller caller);
/// Serves the body of a job's item.
task<void> read_item(front& in, std::shared_ptr<http_exchange> client,
                     std::string job, std::string item,
                     teams::job_caller caller);
/// Cancels a job.
task<void> end_job(front& in, std::shared_ptr<http_exchange> client,
                   std::string job, teams::job_caller caller);

/// Starts, stops and records items of the jobs that run here, and takes over
/// jobs whose owner has failed.
void run_jobs(front& in);
/// Removes the rows of jobs whose results have expired.
void remove_outdated_jobs(front& in);
/// Preempts batch items where online requests need their slots, as judged by
/// the load reports.
void preempt_batch_items(front& in);
/// Preempts the newest batch items at a target, which lose the least output.
/// \param target the target's id.
/// \param count the items to preempt; those that are ending already count.
void preempt_newest_items(front& in, const std::string& target,
                          std::uint32_t count);
/// Preempts or withdraws batch items where this daemon's own requests wait,
/// regardless of the load reports of other daemons.
void preempt_for_waiting_requests(front& in, instant now);
/// Updates the mean loads of the data centres.
void observe_loads(front& in, instant now);
/// Hands this daemon's jobs over to other daemons, each independently; skips
/// jobs whose handover is already in progress.
void release_jobs(front& in);

/// Closes the streams of batch items that deliver no complete events.
void close_stalled_streams(front& in, instant now);

/// Records that a request failed because of a target.
void record_target_failure(front& in, const std::string& id,
                           target_fault fault);

/// Records that a target announced its shutdown, so that it gets no more work.
void mark_target_leaving(front& in, const target& it);

/// Records that a target answered a request correctly.
void record_target_success(front& in, const std::string& id);

/// Detects targets that have gone silent and interrupts repeatable requests
/// there.
/// \param now current time on the steady clock.
/// \param paused this process was suspended, so the silence so far is ignored.
void detect_silent_targets(front& in, instant now, bool paused);

/// Responds with an error of this daemon's own.
/// \param retry_after sent as the Retry-After header; empty for no header.
void refuse(http_exchange& client, int status, std::string_view reason,
            std::optional<instant> retry_after = std::nullopt);

/// The request did not run, so the client may retry it.
inline constexpr int status_not_run = 503;
/// The only status of a stream of events.
inline constexpr int status_ok = 200;
inline constexpr int status_not_found = 404;

/// It is unknown whether the request took effect.
inline constexpr int status_outcome_unknown = 504;

/// When a client may retry after the store was unreachable; its outages last
/// seconds.
inline constexpr auto store_retry_delay = std::chrono::milliseconds(1000);

/// Status codes below this are successes.
inline constexpr int min_redirect_status = 300;

/// Status codes from here on are server errors.
inline constexpr int min_server_error_status = 500;

}  // namespace fulmar::serving
