#include "fulmarpitch/soak/soak-run.h"

#include <absl/strings/escaping.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <csignal>
#include <deque>
#include <fstream>
#include <memory>
#include <random>

#include "fulmarpitch/core/text.h"
#include "fulmarpitch/fakes/platform-store.h"
#include "fulmarpitch/net/link-pool.h"
#include "fulmarpitch/serving/jobs.h"
#include "fulmarpitch/soak/child.h"
#include "fulmarpitch/soak/fault-proxy.h"
#include "fulmarpitch/soak/soak-target.h"
#include "platform/job-bodies.h"
#include "platform/names.h"

namespace fulmar::soak {
namespace {

namespace json = boost::json;

constexpr std::uint32_t events_per_request = 12;
constexpr std::uint32_t items_per_job = 4;

/// One in so many jobs has as many items as a job may have, and one in so many
/// items an output that is longer than a row of the store.
constexpr std::uint64_t jobs_per_large_job = 10;
constexpr std::uint64_t items_per_long_output = 6;

/// Limit on large jobs in a run. The targets run their items in half of the
/// time in which all jobs must complete.
constexpr std::uint32_t max_large_jobs = 4;

constexpr auto call_timeout = std::chrono::seconds(5);

/// A daemon that has had no fault for this long is held to its promises, as the
/// users' bound for machines in touch says.
constexpr auto touch_time = std::chrono::seconds(4);

/// A configuration must be in force after this time.
constexpr auto apply_time = std::chrono::seconds(3);

/// A leaving target gets nothing new after this time.
constexpr auto drain_time = std::chrono::seconds(3);

/// A target may say in its answers that it leaves this long before its entry
/// does.
constexpr auto longest_notice_ms = std::uint64_t{2000};

/// Paths of requests that crash each target which runs them.
constexpr auto crashing_paths = std::array{"/again/crash-1", "/once/crash-2"};

/// Key in the ledger of the requests that share a part which crashes each
/// target; their paths are all different and contain it.
constexpr auto crashing_part = "/part-";

/// The first part of all prompts, and the one that crashes targets.
constexpr auto first_part = "f1:20";
constexpr auto bad_part = "bad:30";

/// In the answer to a request that is held back.
constexpr auto held_reason = std::string_view("targets ended");

/// The path of a sound request that many callers send.
constexpr auto popular_path = "/again/popular";

/// How long a crashed target is away.
constexpr std::int64_t shortest_crash_ms = 200;
constexpr std::int64_t longest_crash_ms = 800;

/// The daemons' time from SIGTERM to their end.
constexpr auto grace = std::chrono::seconds(8);

/// One daemon and what stands between it and the store.
struct daemon_row {
  std::string name;
  std::string address;
  std::string data_centre;
  std::unique_ptr<fault_proxy> store;
  std::unique_ptr<child> process;
  /// When it last started, was disturbed or had its path to the store harmed.
  instant disturbed{};
  bool stopping = false;
  bool frozen = false;
  /// The newest configuration that it was seen to serve.
  std::uint64_t configuration = 0;
};

/// Versions of the targets' software; targets have them in turn.
constexpr auto versions = std::array{"v1", "v2"};

/// One target behind its proxy.
struct target_row {
  std::string id;
  std::string version;
  std::unique_ptr<soak_target> server;
  std::unique_ptr<fault_proxy> proxy;
  std::string data_centre;
  /// Tells its starts apart, as a time of day would.
  std::uint64_t started_ms = 1;
  /// When it said that it leaves; zero while it stays.
  instant leaving{};
};

struct run_state {
  explicit run_state(soak_options run_options)
      : options(std::move(run_options)),
        random(options.seed),
        links(io_of(loop), {}),
        store(loop, "127.0.0.1") {}

  soak_options options;
  std::mt19937_64 random;
  event_loop loop;
  link_pool links;
  platform_store_fake store;
  std::deque<daemon_row> daemons;
  std::deque<target_row> targets;
  std::uint64_t configuration = 1;
  instant configured{};
  instant store_harmed{};
  /// Faults of the store that last; several may overlap.
  int store_faults = 0;
  instant began{};
  bool callers_stop = false;
  bool faults_stop = false;
  std::uint32_t busy = 0;
  std::uint32_t large_jobs = 0;
  soak_report report;

  std::uint64_t draw(std::uint64_t below) { return random() % below; }
  instant draw_time(std::int64_t least_ms, std::int64_t most_ms) {
    auto span = static_cast<std::uint64_t>(most_ms - least_ms + 1);
    return std::chrono::milliseconds(least_ms +
                                     static_cast<std::int64_t>(draw(span)));
  }
  std::string draw_id() { return hex(random()); }
};

std::string configuration_text(std::uint64_t version) {
  auto route = [](const std::string& name, const std::string& kind) {
    return json::object{{"name", name},
                        {"host", "h"},
                        {"pathPrefix", concat("/", name, "/")},
                        {"kind", kind},
                        {"timeoutMs", 4000},
                        {"goalMs", 300},
                        {"attempts", 3},
                        {"service", "s"}};
  };
  auto again = route("again", "stream");
  again["resumable"] = true;
  auto jobs = route("jobs", "batch");
  jobs["dueMs"] = 18'000;
  auto routes =
      json::array{route("once", "stream"), std::move(again), std::move(jobs),
                  route(concat("v", version), "stream")};
  return json::serialize(
      json::object{{"version", version},
                   {"routes", std::move(routes)},
                   {"services", json::array{json::object{{"name", "s"}}}}});
}

void put_target(run_state& it, const target_row& target) {
  it.store.put(
      "servers", target.id,
      json::serialize(json::object{
          {"service", "s"},
          {"addr", target.proxy->address()},
          {"zone", target.data_centre},
          {"slots", 4},
          {"version", target.version},
          {"born", target.started_ms},
          {"state", target.leaving.count() > 0 ? "draining" : "ready"}}));
}

bool in_touch(const run_state& it, const daemon_row& daemon) {
  auto since = std::max(daemon.disturbed, it.store_harmed);
  return daemon.process && !daemon.stopping && !daemon.frozen &&
         it.store_faults == 0 && event_loop::steady() - since > touch_time;
}

/// A target ends, with all that it runs, and starts again.
task<void> crash_target(run_state& it, target_row& row) {
  row.proxy->set(link_fault::reset);
  co_await pause_for(it.draw_time(shortest_crash_ms, longest_crash_ms));
  row.proxy->set(link_fault::none);
  ++row.started_ms;
  put_target(it, row);
}

/// \return the key in the ledger of a request that crashes targets; empty for a
///     sound one.
std::string crashing_key(const std::string& path) {
  if (path.find(crashing_part) != std::string::npos) return crashing_part;
  auto found = std::find(crashing_paths.begin(), crashing_paths.end(), path);
  return found == crashing_paths.end() ? std::string() : path;
}

void add_target(run_state& it) {
  auto& row = it.targets.emplace_back();
  row.id = concat("t", it.targets.size());
  row.data_centre = it.targets.size() % 2 == 0 ? "dc-a" : "dc-b";
  // Each data centre has targets of both.
  row.version = versions[it.targets.size() / 2 % versions.size()];
  auto* at = &row;
  row.server = std::make_unique<soak_target>(
      it.loop,
      soak_target_options{
          .id = row.id, .version = row.version, .events = events_per_request},
      [&it, at](const std::string& request, const std::string& path) {
        auto now = event_loop::steady();
        auto calm = std::all_of(it.daemons.begin(), it.daemons.end(),
                                [&](const auto& d) { return in_touch(it, d); });
        note_run(it.report.seen, request, now, calm);
        if (calm && at->leaving.count() > 0 && now > at->leaving + drain_time) {
          note(it.report.seen, promise::leaving_gets_nothing,
               concat(at->id, " got request ", request));
        }
        auto key = crashing_key(path);
        if (key.empty()) return;
        ++it.report.seen.crashes[key];
        asio::co_spawn(io_of(it.loop), crash_target(it, *at), asio::detached);
      });
  row.proxy = std::make_unique<fault_proxy>(it.loop, row.server->address());
  put_target(it, row);
}

/// Addresses differ from run to run, so that several may run at once.
std::string daemon_address(std::uint32_t n) {
  auto id = static_cast<std::uint32_t>(::getpid());
  return concat("127.", 64 + id % 128, ".", (id / 128) % 256, ".", n + 1);
}

void start_daemon(run_state& it, daemon_row& row) {
  auto path = concat(it.options.directory, "/", row.name, ".json");
  std::ofstream(path) << json::serialize(json::object{
      {"nodeName", row.name},
      {"ip", row.address},
      {"zone", row.data_centre},
      {"region", "r"},
      {"zones", {{"dc-a", "r"}, {"dc-b", "r"}}},
      {"listen",
       {{"front", concat(row.address, ":8161")},
        {"ready", concat(row.address, ":8162")},
        {"control", concat(row.address, ":8163")}}},
      {"portRange", json::array{8170, 8175}},
      {"seeds", json::array{concat(it.daemons.front().address, ":8163")}},
      {"provider", {{"addr", row.store->address()}}},
      {"contractParams", {{"graceS", 8}, {"drainMs", 3000}}}});
  row.process = std::make_unique<child>(
      std::vector{it.options.program},
      std::vector{concat(platform::settings_variable, "=", path)},
      concat(it.options.directory, "/", row.name, ".log"));
  row.disturbed = event_loop::steady();
  row.stopping = false;
  row.frozen = false;
  row.configuration = 0;
}

// What callers do.

struct call_result {
  bool connected = false;
  bool complete = false;
  int status = 0;
  std::string body;
};

struct outgoing_call {
  std::string method = "POST";
  std::string path;
  std::string id;
  std::string body;
  /// Parts of the prompt; none for a call without a prompt.
  std::string parts;
};

/// \return the parts of a sound request's prompt.
std::string sound_parts(run_state& it, const std::string& id) {
  return concat(first_part, ",", hex(it.draw(100)), ":30,", id, ":5");
}

task<call_result> call(run_state& it, const daemon_row& to,
                       outgoing_call request) {
  auto out = call_result();
  auto link = it.links.take(concat(to.address, ":8161"));
  link->expire_at(event_loop::steady() + call_timeout);
  if (!link->is_open()) {
    auto status = co_await link->connect();
    if (!status.ok()) co_return out;
  }
  out.connected = true;
  auto head =
      concat(request.method, " ", request.path, " HTTP/1.1\r\nHost: h\r\n",
             platform::header::request_id, ": ", request.id, "\r\n",
             platform::header::prompt_parts, ": ", request.parts, "\r\n",
             platform::header::time_left,
             ": 4000\r\nContent-Length: ", request.body.size(), "\r\n\r\n");
  auto sent = co_await link->send(head, request.body);
  if (!sent.ok()) co_return out;
  auto answer = co_await link->read_head();
  if (!answer.ok()) co_return out;
  out.status = answer->status;
  constexpr auto most_bytes = std::size_t{1024} * 1024;
  auto body = co_await link->read_rest(most_bytes);
  if (!body.ok()) co_return out;
  out.complete = true;
  out.body = std::move(*body);
  it.links.give_back(link);
  co_return out;
}

daemon_row& any_daemon(run_state& it) {
  return it.daemons[it.draw(it.daemons.size())];
}

/// \return whether a stream is whole and of one version.
bool is_whole_stream(const std::string& text, const std::string& id) {
  return std::any_of(versions.begin(), versions.end(), [&](const auto* it) {
    return text == whole_stream(id, events_per_request, it);
  });
}

/// \return whether an item's output is whole and of one version.
bool is_whole_output(std::string_view text, const std::string& id) {
  return std::any_of(versions.begin(), versions.end(), [&](const auto* it) {
    return text == whole_output(id, events_per_request, it);
  });
}

bool is_refusal(const call_result& it) {
  return it.complete && (it.status == 503 || it.status == 429);
}

/// \return whether the call may have been carried out.
bool is_outcome_unknown(const call_result& it) {
  return it.connected && (!it.complete || it.status == 504);
}

/// Counts callers that are under way.
class busy_mark {
 public:
  explicit busy_mark(run_state& it) : it_(it) { ++it_.busy; }
  ~busy_mark() { --it_.busy; }
  busy_mark(const busy_mark&) = delete;
  busy_mark& operator=(const busy_mark&) = delete;

 private:
  run_state& it_;
};

task<void> call_online(run_state& it) {
  auto mark = busy_mark(it);
  while (!it.callers_stop) {
    auto& to = any_daemon(it);
    auto once = it.draw(2) == 0;
    auto id = it.draw_id();
    if (once) it.report.seen.once.insert(id);
    auto before = std::max({to.disturbed, it.store_harmed});
    auto stopping = to.stopping;
    auto path = concat(once ? "/once/" : "/again/", id);
    if (!once && it.draw(4) == 0) path = popular_path;
    auto request = outgoing_call{.path = std::move(path),
                                 .id = id,
                                 .body = "p",
                                 .parts = sound_parts(it, id)};
    auto got = co_await call(it, to, std::move(request));
    auto& seen = it.report.seen;
    if (got.complete && got.status == 200) {
      ++seen.answered;
      if (!is_whole_stream(got.body, id))
        note(seen, promise::whole_answer, concat("request ", id));
    } else if (is_refusal(got)) {
      ++seen.refused;
      note_not_run(seen, id);
    } else {
      ++seen.failed;
      // Only a stop that nothing else disturbs is held to this promise.
      auto planned_only = to.stopping && !stopping && it.options.calm &&
                          before == std::max(to.disturbed, it.store_harmed);
      if (planned_only && got.connected)
        note(seen, promise::shutdown_cuts_nothing, concat("request ", id));
    }
    co_await pause_for(it.draw_time(5, 60));
  }
}

/// Sends a request that crashes targets.
/// \param key its key in the ledger.
/// \return whether the daemon held the request back.
task<bool> send_crashing(run_state& it, const char* key, daemon_row& to) {
  auto id = it.draw_id();
  auto request = outgoing_call{.path = key, .id = id, .body = "p"};
  if (key == std::string_view(crashing_part)) {
    auto route = it.draw(2) == 0 ? "/once" : "/again";
    request.path = concat(route, crashing_part, id);
    request.parts = concat(first_part, ",", bad_part, ",", id, ":5");
  }
  auto got = co_await call(it, to, std::move(request));
  if (is_refusal(got)) note_not_run(it.report.seen, id);
  co_return is_refusal(got) && got.body.find(held_reason) != std::string::npos;
}

/// Sends requests that crash targets, again and again.
task<void> call_crashing(run_state& it) {
  auto mark = busy_mark(it);
  while (!it.callers_stop) {
    auto n = it.draw(crashing_paths.size() + 1);
    const auto* key =
        n < crashing_paths.size() ? crashing_paths[n] : crashing_part;
    co_await send_crashing(it, key, any_daemon(it));
    co_await pause_for(it.draw_time(50, 600));
  }
}

/// Sends a request that crashes targets until the daemons must know it, and
/// checks that they hold it back. They may do so earlier, as connections that
/// are reset count, too.
task<void> check_held(run_state& it, const char* path) {
  constexpr auto sends_by_daemon = 4;
  constexpr auto pause = std::chrono::milliseconds(50);
  auto& crashes = it.report.seen.crashes[path];
  auto until = event_loop::steady() + it.options.recovery;
  auto known_there = false;
  while (!known_there && event_loop::steady() < until) {
    auto held = co_await send_crashing(it, path, any_daemon(it));
    known_there = held || crashes >= crashes_until_held;
    co_await pause_for(pause);
  }
  co_await pause_for(crash_news_time);
  auto known = crashes;
  for (auto n = 0; n < sends_by_daemon; ++n) {
    for (auto& to : it.daemons) {
      co_await send_crashing(it, path, to);
      co_await pause_for(pause);
    }
  }
  if (known_there && crashes <= known + most_retries) co_return;
  note(it.report.seen, promise::retries_bounded,
       concat(path, " crashed ", known, " targets, then ", crashes - known));
}

/// Waits until no daemon has an excuse any more.
task<void> wait_for_touch(run_state& it) {
  auto all = [&] {
    return std::all_of(it.daemons.begin(), it.daemons.end(),
                       [&](const auto& row) { return in_touch(it, row); });
  };
  auto until = event_loop::steady() + it.options.recovery;
  while (!all() && event_loop::steady() < until)
    co_await pause_for(std::chrono::milliseconds(50));
}

/// Sends a sound request that targets crashed under until it is served.
task<void> check_popular(run_state& it) {
  auto until = event_loop::steady() + it.options.recovery;
  while (event_loop::steady() < until) {
    auto id = it.draw_id();
    auto request = outgoing_call{.path = popular_path,
                                 .id = id,
                                 .body = "p",
                                 .parts = sound_parts(it, id)};
    auto got = co_await call(it, any_daemon(it), std::move(request));
    if (got.complete && is_whole_stream(got.body, id)) co_return;
    co_await pause_for(std::chrono::milliseconds(200));
  }
  note(it.report.seen, promise::sound_request_served, popular_path);
}

std::string draw_item(run_state& it) {
  auto is_long = it.draw(items_per_long_output) == 0;
  return concat(is_long ? long_output_prefix : std::string_view(),
                it.draw_id());
}

std::string job_text(const std::set<std::string>& items) {
  auto list = json::array();
  for (const auto& it : items) {
    list.push_back(json::object{{"id", it},
                                {"path", concat("/jobs/", it)},
                                {"headers", json::object()},
                                {"body", absl::Base64Escape("p")},
                                {"tokens", 10}});
  }
  return json::serialize(json::object{{"requests", std::move(list)}});
}

/// Submits a job until it is accepted or no daemon takes it.
task<bool> submit(run_state& it, std::string job, std::string text) {
  constexpr auto tries = 12;
  for (auto n = 0; n < tries && !it.callers_stop; ++n) {
    auto request =
        outgoing_call{.path = concat("/jobs/", job), .id = job, .body = text};
    auto got = co_await call(it, any_daemon(it), std::move(request));
    auto& view = it.report.seen.jobs[job];
    if (got.complete && got.status == 202) {
      view.accepted = true;
      co_return true;
    }
    if (got.connected && !is_refusal(got)) view.refused_always = false;
    co_await pause_for(it.draw_time(50, 400));
  }
  co_return false;
}

/// Reads results from a position and checks them.
task<void> read_results(run_state& it, std::string job, std::size_t from) {
  auto& to = any_daemon(it);
  auto touched = in_touch(it, to);
  auto request = outgoing_call{
      .method = "GET",
      .path = concat(platform::path::job_results, job, "?after=", from)};
  auto got = co_await call(it, to, std::move(request));
  if (got.complete && got.status == 404 && touched && in_touch(it, to)) {
    note(it.report.seen, promise::one_result,
         concat("job ", job, " is unknown at ", to.name));
  }
  if (!got.complete || got.status != 200) co_return;
  auto ids = std::vector<std::string>();
  auto parsed = json::parse(got.body);
  for (const auto& row : parsed.at("results").as_array()) {
    ids.emplace_back(row.at("id").as_string().c_str());
    const auto& output = row.at("output").as_string();
    if (row.at("state") != "done" ||
        !is_whole_output({output.data(), output.size()}, ids.back())) {
      note(it.report.seen, promise::whole_answer, concat("item ", ids.back()));
    }
  }
  note_results(it.report.seen, job, from, ids);
}

/// Reads the new results of a job, page after page.
/// \param until no page is asked for after this time.
task<void> read_new_results(run_state& it, std::string job, instant until) {
  const auto& known = it.report.seen.jobs[job].positions;
  auto before = std::size_t{0};
  do {
    before = known.size();
    co_await read_results(it, job, before);
  } while (known.size() > before && event_loop::steady() < until);
}

std::size_t draw_item_count(run_state& it) {
  if (it.draw(jobs_per_large_job) != 0) return items_per_job;
  if (it.large_jobs == max_large_jobs) return items_per_job;
  ++it.large_jobs;
  return platform::max_job_items;
}

task<void> call_batch(run_state& it) {
  auto mark = busy_mark(it);
  while (!it.callers_stop) {
    auto job = it.draw_id();
    auto& view = it.report.seen.jobs[job];
    auto count = draw_item_count(it);
    while (view.items.size() < count)
      view.items.insert(draw_item(it));
    for (const auto& item : view.items)
      it.report.seen.job_of[item] = job;
    auto accepted = co_await submit(it, job, job_text(view.items));
    if (accepted && it.draw(6) == 0) {
      auto request = outgoing_call{
          .method = "DELETE", .path = concat(platform::path::job_results, job)};
      auto got = co_await call(it, any_daemon(it), std::move(request));
      if (got.complete && got.status == 200)
        it.report.seen.jobs[job].ended = event_loop::steady();
      if (is_outcome_unknown(got))
        it.report.seen.jobs[job].may_have_ended = true;
    }
    for (auto n = 0; accepted && n < 3 && !it.callers_stop; ++n) {
      co_await pause_for(it.draw_time(100, 600));
      auto known = it.report.seen.jobs[job].positions.size();
      co_await read_results(it, job, it.draw(2) == 0 ? 0 : known);
    }
  }
}

/// Asks a daemon for the routes that the configurations added.
task<void> watch_configuration(run_state& it, daemon_row& to) {
  auto mark = busy_mark(it);
  while (!it.callers_stop) {
    auto version = it.configuration;
    auto due = it.configured + apply_time;
    auto started = to.disturbed;
    auto late = in_touch(it, to) && event_loop::steady() > due;
    auto request = outgoing_call{
        .path = concat("/v", version, "/x"), .id = it.draw_id(), .body = "p"};
    auto got = co_await call(it, to, std::move(request));
    if (started == to.disturbed && got.complete) {
      if (got.status != 404) to.configuration = version;
      if (got.status == 404 && late && version == it.configuration) {
        note(it.report.seen, promise::configuration_in_force,
             concat(to.name, " does not serve version ", version));
      }
      if (got.status == 404 && to.configuration == version) {
        note(it.report.seen, promise::configuration_never_reverts,
             concat(to.name, " left version ", version));
      }
    }
    co_await pause_for(std::chrono::milliseconds(300));
  }
}

// What strikes.

void tell(run_state& it, std::string_view fault) {
  auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
      event_loop::steady() - it.began);
  it.report.faults.push_back(concat(at.count(), " ms ", fault));
}

task<void> kill_and_restart(run_state& it, daemon_row& row) {
  tell(it, concat("SIGKILL ", row.name));
  row.process.reset();
  co_await pause_for(it.draw_time(100, 2500));
  start_daemon(it, row);
}

task<void> stop_and_restart(run_state& it, daemon_row& row) {
  tell(it, concat("SIGTERM ", row.name));
  row.stopping = true;
  row.process->send(SIGTERM);
  auto until = event_loop::steady() + grace;
  while (row.process && !row.process->ended() && event_loop::steady() < until)
    co_await pause_for(std::chrono::milliseconds(20));
  if (!row.process) co_return;
  if (auto code = row.process->ended(); code && *code != 0) {
    note(it.report.seen, promise::daemon_lives,
         concat(row.name, " ended with ", *code, " after SIGTERM"));
  }
  row.process.reset();
  start_daemon(it, row);
}

task<void> freeze(run_state& it, daemon_row& row) {
  tell(it, concat("SIGSTOP ", row.name));
  row.frozen = true;
  row.process->send(SIGSTOP);
  co_await pause_for(it.draw_time(200, 3000));
  if (!row.process) co_return;
  row.process->send(SIGCONT);
  row.frozen = false;
  row.disturbed = event_loop::steady();
}

task<void> harm_link(run_state& it, fault_proxy& proxy, std::string name,
                     daemon_row* daemon) {
  constexpr auto faults = link_fault_names.size() - 1;
  auto fault = link_fault_names[1 + it.draw(faults)].first;
  tell(it, concat(name_in(link_fault_names, fault), " ", name));
  proxy.set(fault);
  co_await pause_for(it.draw_time(300, 3000));
  proxy.set(link_fault::none);
  if (daemon != nullptr) daemon->disturbed = event_loop::steady();
}

task<void> harm_store(run_state& it) {
  constexpr auto faults = store_fault_names.size() - 1;
  auto fault = store_fault_names[1 + it.draw(faults)].first;
  tell(it, concat("store ", name_in(store_fault_names, fault)));
  it.store.set_fault(fault);
  ++it.store_faults;
  auto is_long = it.draw(4) == 0;
  co_await pause_for(is_long ? it.draw_time(5000, 8000)
                             : it.draw_time(300, 3000));
  --it.store_faults;
  if (it.store_faults == 0) it.store.set_fault(store_fault::none);
  it.store_harmed = event_loop::steady();
}

void change_configuration(run_state& it) {
  it.configuration += 1 + it.draw(5);
  it.configured = event_loop::steady();
  tell(it, concat("configuration ", it.configuration));
  it.store.put("op", "config", configuration_text(it.configuration));
}

task<void> replace_target(run_state& it) {
  auto& leaving = it.targets[it.draw(it.targets.size())];
  if (leaving.leaving.count() > 0) co_return;
  add_target(it);
  tell(it, concat("target ", leaving.id, " says that it leaves"));
  leaving.server->leave();
  co_await pause_for(std::chrono::milliseconds(it.draw(longest_notice_ms)));
  if (leaving.leaving.count() > 0) co_return;
  leaving.leaving = event_loop::steady();
  tell(it, concat("target ", leaving.id, " leaves"));
  put_target(it, leaving);
}

/// Several targets end at the same moment.
task<void> crash_targets(run_state& it) {
  for (auto& row : it.targets) {
    if (it.draw(3) != 0) continue;
    tell(it, concat("crash of ", row.id));
    asio::co_spawn(io_of(it.loop), crash_target(it, row), asio::detached);
  }
  co_await pause_for(it.draw_time(shortest_crash_ms, longest_crash_ms));
}

task<void> answer_without_end(run_state& it) {
  auto& row = it.targets[it.draw(it.targets.size())];
  tell(it, concat("answers without end of ", row.id));
  row.server->set_endless(true);
  co_await pause_for(it.draw_time(300, 2000));
  row.server->set_endless(false);
}

task<void> strike(run_state& it) {
  auto& row = any_daemon(it);
  auto usable = row.process && !row.stopping && !row.frozen;
  switch (it.draw(11)) {
    case 0:
      if (usable) co_await kill_and_restart(it, row);
      break;
    case 1:
      if (usable) co_await stop_and_restart(it, row);
      break;
    case 2:
    case 3:
      if (usable) co_await freeze(it, row);
      break;
    case 4:
      row.disturbed = event_loop::steady();
      co_await harm_link(it, *row.store, concat("store of ", row.name), &row);
      break;
    case 5: {
      auto& target = it.targets[it.draw(it.targets.size())];
      co_await harm_link(it, *target.proxy, target.id, nullptr);
      break;
    }
    case 6:
      it.store_harmed = event_loop::steady();
      co_await harm_store(it);
      break;
    case 7:
      change_configuration(it);
      break;
    case 8:
      co_await crash_targets(it);
      break;
    case 9:
      co_await answer_without_end(it);
      break;
    default:
      if (it.draw(2) == 0) {
        co_await replace_target(it);
      } else {
        tell(it, "store drops its history");
        it.store.drop_history();
      }
  }
}

/// Strikes again and again; several of these overlap.
task<void> strike_on(run_state& it) {
  auto mark = busy_mark(it);
  while (!it.faults_stop) {
    co_await pause_for(it.draw_time(200, 1500));
    if (it.options.calm) {
      change_configuration(it);
      co_await stop_and_restart(it, any_daemon(it));
      continue;
    }
    co_await strike(it);
  }
}

/// Looks for daemons that ended by themselves.
void watch_daemons(run_state& it) {
  for (auto& row : it.daemons) {
    if (!row.process || row.stopping) continue;
    if (auto code = row.process->ended()) {
      note(it.report.seen, promise::daemon_lives,
           concat(row.name, " ended with ", *code));
      start_daemon(it, row);
    }
  }
}

/// \return whether the store holds a job as ended.
bool is_stored_as_ended(const run_state& it, const std::string& job) {
  auto name = serving::job_row_name({.id = job, .host = "h"});
  auto row = serving::decode_job(
      {.name = name, .value = it.store.value(name.table, name.part, name.key)});
  return row.ok() && row->ended;
}

bool all_jobs_complete(run_state& it) {
  resolve_unknown_ends(it.report.seen, [&](const std::string& job) {
    return is_stored_as_ended(it, job);
  });
  const auto& jobs = it.report.seen.jobs;
  return std::all_of(jobs.begin(), jobs.end(),
                     [](const auto& row) { return is_settled(row.second); });
}

task<void> conduct(run_state& it) {
  constexpr auto start_time = std::chrono::milliseconds(1500);
  constexpr auto strikers = 3;
  co_await pause_for(start_time);
  auto start = [&](task<void> work) {
    asio::co_spawn(io_of(it.loop), std::move(work), asio::detached);
  };
  for (auto n = 0U; n < it.options.callers; ++n)
    start(call_online(it));
  for (auto n = 0U; n < it.options.callers / 2; ++n)
    start(call_batch(it));
  for (auto& row : it.daemons)
    start(watch_configuration(it, row));
  if (!it.options.calm) start(call_crashing(it));
  for (auto n = 0; n < (it.options.calm ? 1 : strikers); ++n)
    start(strike_on(it));
  co_await pause_for(it.options.length);
  it.faults_stop = true;
  co_await pause_for(touch_time);
  it.callers_stop = true;
  while (it.busy > 0)
    co_await pause_for(std::chrono::milliseconds(50));
  auto until = event_loop::steady() + it.options.recovery;
  while (!all_jobs_complete(it) && event_loop::steady() < until) {
    auto open = std::vector<std::string>();
    for (const auto& [id, job] : it.report.seen.jobs) {
      if (job.accepted && job.positions.size() < job.items.size())
        open.push_back(id);
    }
    for (const auto& id : open)
      co_await read_new_results(it, id, until);
    co_await pause_for(std::chrono::milliseconds(200));
  }
  for (const auto& [id, job] : std::map(it.report.seen.jobs)) {
    if (job.accepted) co_await read_results(it, id, 0);
  }
  co_await check_popular(it);
  if (!it.options.calm) {
    co_await wait_for_touch(it);
    for (const auto* path : crashing_paths)
      co_await check_held(it, path);
    co_await check_held(it, crashing_part);
  }
  it.loop.stop();
}

}  // namespace

soak_report run_soak(const soak_options& options) {
  // Coroutines that still wait hold references, so the state stays.
  auto& it = *new run_state(options);
  if (!it.store.start().ok()) {
    note(it.report.seen, promise::daemon_lives, "the store can't listen");
    return it.report;
  }
  it.began = event_loop::steady();
  it.configured = it.began;
  it.store_harmed = it.began;
  it.store.put("op", "config", configuration_text(it.configuration));
  for (auto n = 0U; n < options.targets; ++n)
    add_target(it);
  for (auto n = 0U; n < options.daemons; ++n) {
    auto& row = it.daemons.emplace_back();
    row.name = concat("vm-", n + 1);
    row.address = daemon_address(n);
    row.data_centre = n % 2 == 0 ? "dc-a" : "dc-b";
    row.store = std::make_unique<fault_proxy>(it.loop, it.store.address());
    start_daemon(it, row);
  }
  it.loop.every(std::chrono::milliseconds(20), [&it] {
    it.links.links().close_expired(event_loop::steady());
    it.links.close_idle(event_loop::steady());
    watch_daemons(it);
  });
  asio::co_spawn(io_of(it.loop), conduct(it), asio::detached);
  it.loop.run();
  it.daemons.clear();
  check_end(it.report.seen);
  return std::move(it.report);
}

}  // namespace fulmar::soak
