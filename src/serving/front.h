#pragma once

/// \file
/// The state of one serving daemon, and the systems that run over it.
/// Everything runs on one thread.

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
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
#include "fulmarpitch/serving/crash-book.h"
#include "fulmarpitch/serving/event-log.h"
#include "fulmarpitch/serving/feed.h"
#include "fulmarpitch/serving/job-run.h"
#include "fulmarpitch/serving/load-board.h"
#include "fulmarpitch/serving/placement.h"
#include "fulmarpitch/serving/quota.h"
#include "fulmarpitch/serving/returns.h"
#include "fulmarpitch/serving/routes.h"
#include "fulmarpitch/serving/settings.h"
#include "fulmarpitch/serving/store.h"
#include "fulmarpitch/serving/targets.h"
#include "platform/store-client.h"

namespace fulmar::serving {

/// A target that decodes sends an event each 20 to 40 ms, and a request may
/// wait in its queue for as long as its goal, 300 to 500 ms.
constexpr auto least_patience = std::chrono::milliseconds(700);

/// One request under way at a target.
struct live_attempt {
  std::string target;
  link_ptr link;
  work_kind kind = work_kind::online;
  /// Batch: the job.
  std::string job;
  /// The request may run again elsewhere.
  bool repeatable = false;
  /// A target that sends nothing for this long has fallen silent.
  instant patience = least_patience;
  instant started{};
  /// When the target last sent a byte of it; when it was sent, before that.
  instant heard{};
  /// Batch: when the last whole event arrived; when it was sent, before that.
  instant last_event{};
  /// The target has sent output: the request holds a slot.
  bool begun = false;
  /// Online: a batch item was stopped, so that this finds a slot.
  bool relieved = false;
  /// The target sent nothing to anybody here for its patience.
  bool fell_silent = false;
  /// This daemon closed the link: the client went, or batch gave way.
  bool stopped = false;
  /// Batch: queues that the item was taken out of since its last event.
  std::uint32_t times_queued = 0;
  /// Batch: stopped because it waited in the target's queue.
  bool taken_back = false;

  /// Notes that the target sent output.
  void note_output() {
    begun = true;
    heard = event_loop::steady();
  }

  /// Closes the link; the target is not to blame.
  void stop() {
    stopped = true;
    if (link) link->close();
  }
};

/// Sends reports to other daemons and receives theirs.
class report_exchange;

/// How a table of the store is followed.
struct table_follower;

/// A row about crashes that the store should hold or lose.
struct crash_row_change {
  std::string key;
  std::string value;
  bool removed = false;
};

/// Rows about crashes on their way to the store.
struct crash_row_queue {
  std::deque<crash_row_change> waiting;
  bool writing = false;
  /// After a failed write, the next one starts no earlier.
  instant retry_after{};
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
  /// Names this life of the daemon; random, as the time of day may jump.
  std::uint64_t incarnation = 0;
  job_owner self;

  std::shared_ptr<const served_configuration> configuration =
      std::make_shared<served_configuration>();
  target_table targets;
  /// The list of targets was read at least once.
  bool targets_known = false;
  /// How far the store's tables are known.
  struct {
    feed_state configuration;
    feed_state targets;
    feed_state jobs;
    feed_state crashes;
  } feeds;
  /// The tables that are followed; each lives as long as the process.
  std::vector<const table_follower*> followed;
  /// When the store's last outage ended, as seen here or by the daemon that
  /// reads for this one; nothing before the first.
  std::optional<instant> store_regained;
  load_board board;
  std::list<live_attempt> attempts;
  /// Mean time of an online request in a slot.
  instant slot_time;
  /// Clients who were refused and come back.
  return_book returns;

  /// Requests under which targets ended.
  crash_book crashes;
  crash_row_queue crash_rows;

  link_pool target_links;
  link_pool store_links;
  /// To other daemons, for calls that are passed on.
  link_pool daemon_links;
  platform::store_call_counts store_counts;
  row_store store;
  /// The store's clock less the steady clock.
  std::optional<instant> store_clock_offset;

  job_book book;
  unordered_jobs unordered;
  change_signal book_changed;
  job_runs runs;
  /// Owners of other daemons' jobs are looked at next, on the steady clock.
  instant next_takeover{};
  /// Jobs that are being taken over or loaded.
  absl::flat_hash_set<std::string> adopting;

  event_log log;
  metrics figures;
  std::unique_ptr<report_exchange> reports;
  std::unique_ptr<http_server> clients;
  std::unique_ptr<http_server> ready;
  std::unique_ptr<http_server> figures_server;
  /// SIGTERM has arrived.
  bool leaving = false;
  /// Counts requests, to break ties differently each time.
  std::uint64_t request_count = 0;
  /// When this process began, on the steady clock.
  instant began = event_loop::steady();
  /// When the systems last ran, on the steady clock.
  instant last_tick = event_loop::steady();
};

/// Counts a request at a target for as long as it lives.
class load_claim {
 public:
  load_claim(front& of, std::uint64_t target, work_kind kind);
  ~load_claim();
  load_claim(const load_claim&) = delete;
  load_claim& operator=(const load_claim&) = delete;

 private:
  std::uint32_t& count();

  front& front_;
  std::uint64_t target_;
  work_kind kind_;
};

/// Lists an attempt in the front's table for as long as it lives.
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

/// Targets as a placement sees them, each with its row.
struct service_targets {
  std::vector<candidate> candidates;
  std::vector<const target_row*> rows;
};

/// Gathers the targets of a service that take work.
/// \param in the daemon.
/// \param service the service's name.
/// \param farthest targets further away are left out.
service_targets targets_of(front& in, std::string_view service,
                           distance farthest = distance::other_region);

/// Finds the targets that let this daemon's own requests wait.
/// \return their keys.
absl::flat_hash_set<std::uint64_t> targets_found_full(front& in, instant now);

/// \return whether the platform's store does not answer this daemon.
bool store_lost(const front& in);

/// Time on the store's clock; nothing before its first answer.
std::optional<instant> store_time(const front& in);

/// Builds the lines of headers that are passed on with a request.
/// \param headers the client's headers.
std::string forwarded_fields(const std::vector<http_header>& headers);

/// \return the headers of an answer that are passed on.
std::vector<http_header> forwarded_headers(const answer_head& head);

/// \return how long a client is ready to wait for a result; nothing when it
///     does not say.
std::optional<instant> wait_asked(const http_request& request);

/// \return whether a header goes from one end to the other; `connection` is
///     the value of the Connection header beside it.
bool is_end_to_end(std::string_view name, std::string_view connection);

/// \return the host that a client names, without a port.
std::string host_of(const http_exchange& client);

/// \return whether the daemon knows where to send requests.
bool has_started(const front& in);

/// \return whether the daemon can serve requests, and goes on to.
bool is_ready(const front& in);

// Systems.

/// Keeps the configuration in force up to date.
task<void> follow_configuration(front& in);
/// Keeps the table of targets up to date.
task<void> follow_targets(front& in);
/// Drops targets whose entries lapsed and did not come back.
void drop_lapsed_targets(front& in);
/// Keeps the book of jobs up to date.
task<void> follow_jobs(front& in);
/// Keeps the book of crashes up to date.
task<void> follow_crashes(front& in);
/// Takes changes that another daemon read from the store.
void take_feed(front& in, feed_page page);
/// Makes this daemon known to others and learns of them.
task<void> find_members(front& in);

/// Serves one request of a client.
void take_request(front& in, const std::shared_ptr<http_exchange>& client);
/// Serves a request for an online answer.
task<void> serve_online(
    front& in, std::shared_ptr<http_exchange> client,
    std::shared_ptr<const served_configuration> configuration,
    const route& route);
/// Serves a submitted job.
task<void> submit_job(front& in, std::shared_ptr<http_exchange> client,
                      std::shared_ptr<const served_configuration> configuration,
                      const route& route);
/// Serves a read of results.
task<void> read_results(front& in, std::shared_ptr<http_exchange> client,
                        std::string job, std::uint32_t position);
/// Serves a read of an item's body.
task<void> read_item(front& in, std::shared_ptr<http_exchange> client,
                     std::string job, std::string item);
/// Ends a job.
task<void> end_job(front& in, std::shared_ptr<http_exchange> client,
                   std::string job);

/// Starts, stops and lists items of the jobs that run here, and takes over
/// jobs whose owner is lost.
void run_jobs(front& in);
/// Removes the rows of jobs whose results nobody may read any more.
void remove_outdated_jobs(front& in);
/// Stops batch items where online requests need their slots.
void yield_batch(front& in);
/// Stops batch items where this daemon's own requests wait, whatever the
/// reports of others say.
void relieve_slots(front& in, instant now);
/// Gives this daemon's jobs to others, each in its own time; does nothing for
/// those that are being given away.
void release_jobs(front& in);

/// Ends the batch items whose streams bring bytes but no events.
void end_stalled_items(front& in, instant now);

/// Notes that a request failed because of a target.
void doubt_target(front& in, const std::string& id, target_fault fault);

/// Notes that a target said that it leaves, and gives it nothing more.
void leave_alone(front& in, const target& it);

/// Notes that a target answered a request as it should.
void trust_target(front& in, const std::string& id);

/// Finds targets that fell silent.
/// \param in the daemon.
/// \param now the steady clock.
/// \param paused the daemon itself stood still: silence proves nothing.
void watch_targets(front& in, instant now, bool paused);

/// Answers without a body of a target.
/// \param retry_after when the client may come back; nothing for no header.
void refuse(http_exchange& client, int status, std::string_view reason,
            std::optional<instant> retry_after = std::nullopt);

/// A refusal that says when to come back, because nothing has run.
inline constexpr int status_not_run = 503;
inline constexpr int status_not_found = 404;

/// Nobody knows whether the request took effect.
inline constexpr int status_unknown = 504;

/// Clients who met an absent store may return then: its outages last seconds.
inline constexpr auto store_pause = std::chrono::milliseconds(1000);

/// Statuses below are successes.
inline constexpr int first_redirect = 300;

/// Statuses from here on are failures of the one who answers.
inline constexpr int first_server_error = 500;

}  // namespace fulmar::serving
