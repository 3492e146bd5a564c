#include "cases.h"

#include <absl/strings/escaping.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>

#include "fulmarpitch/core/text.h"

namespace review {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;
using fulmar::concat;
using fulmar::event_loop;
using fulmar::pause_for;

constexpr std::uint32_t shared_tokens = 100;

/// A batch job as its client knows it.
struct job {
  std::string id;
  std::string prefix;
  std::size_t daemon = 0;
  std::vector<std::string> items;
  /// Tokens of each prompt beyond the shared part.
  std::uint32_t prompt = 250;
  /// Value of a header of each item.
  std::string remark = "morning";
  bool accepted = false;
  std::map<std::string, std::string> states;
  std::map<std::string, std::string> outputs;
};

job make_job(const std::string& id, const std::string& prefix,
             std::size_t daemon, std::size_t items) {
  auto out = job{.id = id, .prefix = prefix, .daemon = daemon};
  for (auto n = std::size_t{0}; n < items; ++n)
    out.items.push_back(concat(id, "i", n));
  return out;
}

std::string body_of(const job& it) {
  auto requests = json::array();
  for (const auto& id : it.items) {
    requests.push_back(json::object{
        {"id", id},
        {"path", concat(it.prefix, id)},
        {"headers",
         {{"Fulmarpitch-Model", "m"},
          {"X-Remark", it.remark},
          {"Fulmarpitch-Token-Count",
           concat(shared_tokens + it.prompt, ",172")},
          {"Fulmarpitch-Prompt-Prefix",
           concat("5c1e07a2:", shared_tokens, ",",
                  fulmar::hex(std::hash<std::string>()(id)), ":", it.prompt)}}},
        {"body", absl::Base64Escape("prompt of " + id)},
        {"tokens", shared_tokens + it.prompt + 172}});
  }
  return json::serialize(json::object{{"requests", std::move(requests)}});
}

/// Hands a job in, again after any refusal, as clients do.
task<void> submit(stage& at, job& it) {
  constexpr auto attempts = 3;
  for (auto n = 0; n < attempts && !it.accepted; ++n) {
    auto request = outgoing{.method = "POST",
                            .target = it.prefix + it.id,
                            .id = it.id,
                            .body = body_of(it),
                            .headers = "Content-Type: application/json\r\n"};
    auto to = (it.daemon + static_cast<std::size_t>(n)) % at.daemons().size();
    auto answer = co_await at.call(to, std::move(request));
    at.note(concat("client: job ", it.id, " with ", it.items.size(),
                   " items at ", at.daemons()[to].name, ": ", answer.status));
    it.accepted = answer.status == 202;
  }
}

/// Reads all results of a job.
task<bool> read_results(stage& at, job& it) {
  auto position = std::size_t{0};
  it.states.clear();
  for (;;) {
    auto target = concat("/v1/lots/", it.id, "?after=", position);
    auto request = outgoing{.target = std::move(target)};
    auto answer = co_await at.call(it.daemon, std::move(request));
    if (answer.status != 200) {
      at.note(concat("client: reading job ", it.id, ": ", answer.status));
      co_return false;
    }
    auto in = json::parse(answer.body).as_object();
    const auto& results = in["results"].as_array();
    for (const auto& row : results) {
      auto id = std::string(row.at("id").as_string());
      it.states[id] = std::string(row.at("state").as_string());
      it.outputs[id] = std::string(row.at("output").as_string());
    }
    position += results.size();
    if (results.empty()) co_return true;
  }
}

json::object batch_route(const std::string& name, const std::string& prefix,
                         const std::string& service) {
  return {{"name", name},    {"host", "h.example"}, {"pathPrefix", prefix},
          {"kind", "batch"}, {"timeoutMs", 15000},  {"goalMs", 500},
          {"priority", 2},   {"service", service},  {"attempts", 3},
          {"dueMs", 18000},  {"maxWaitS", 60},      {"maxQueued", 2000000}};
}

std::string configuration(std::uint64_t version, json::array routes,
                          const std::vector<std::string>& services) {
  auto listed = json::array();
  for (const auto& it : services)
    listed.push_back(json::object{
        {"name", it}, {"healthPath", "/healthz"}, {"maxConns", 210}});
  return json::serialize(json::object{{"version", version},
                                      {"routes", std::move(routes)},
                                      {"services", std::move(listed)},
                                      {"limits",
                                       {{"maxHeaderBytes", 16384},
                                        {"maxBodyBytes", 4194304},
                                        {"headerTimeoutMs", 3000},
                                        {"idleTimeoutMs", 15000}}}});
}

/// What the rule LOST asks of the items of a job that is open when `finishS`
/// is over.
struct verdict {
  std::size_t unlisted = 0;
  std::size_t lost = 0;
};

/// Judges the items of one job by the rule as written.
verdict judge(stage& at, const job& it,
              const std::vector<std::shared_ptr<runner>>& runners) {
  auto now = event_loop::steady();
  auto out = verdict();
  auto had = false;
  for (const auto& id : it.items) {
    if (it.states.contains(id)) continue;
    ++out.unlisted;
    auto last = at.last_had.find(id);
    if (last != at.last_had.end() && now - last->second <= 5s) had = true;
    for (const auto& row : runners)
      had = had || row->has_for(id) > 1s;
  }
  auto slots = std::uint32_t{0};
  auto running = std::uint32_t{0};
  for (const auto& row : runners) {
    slots += row->options().slots;
    running += row->running();
  }
  auto idle = 2 * running < slots;
  auto quiet = now - at.last_finished > 3s;
  at.note(
      concat("judge: job ", it.id, ": ", out.unlisted,
             " items neither done nor dead; a runner had one of them in the "
             "last 5 s: ",
             had ? "yes" : "no", "; ", running, " of ", slots,
             " slots taken; an item was finished in the last 3 s: ",
             quiet ? "no" : "yes"));
  if (!had && idle && quiet) out.lost = out.unlisted;
  return out;
}

}  // namespace

task<int> lost_service(stage& at, bool trouble) {
  constexpr auto daemons = std::size_t{3};
  constexpr auto small_jobs = std::size_t{10};
  constexpr auto large_jobs = std::size_t{60};
  at.start_daemons(daemons);
  at.put_configuration(configuration(
      7,
      {batch_route("r-a", "/a/", "svc-a"), batch_route("r-b", "/b/", "svc-b")},
      {"svc-a", "svc-b"}));
  auto first = at.add_runner({.id = "i-a1", .service = "svc-a"});
  auto others = std::vector<std::shared_ptr<runner>>();
  for (auto n = 1; n <= 6; ++n)
    others.push_back(
        at.add_runner({.id = concat("i-b", n), .service = "svc-b"}));
  auto ready = co_await at.wait_until_ready();
  if (!ready) co_return 2;
  co_await pause_for(4s);

  auto jobs_a = std::vector<job>();
  auto jobs_b = std::vector<job>();
  for (auto n = std::size_t{0}; n < daemons; ++n) {
    jobs_a.push_back(make_job(concat("a", n), "/a/", n, small_jobs));
    jobs_b.push_back(make_job(concat("b", n), "/b/", n, large_jobs));
  }
  for (auto& it : jobs_a)
    co_await submit(at, it);
  co_await pause_for(500ms);
  if (trouble) first->crash();
  co_await pause_for(500ms);
  for (auto& it : jobs_b)
    co_await submit(at, it);
  co_await pause_for(3s);
  at.note("traffic ends");
  co_await pause_for(finish_time);
  at.note("finishS is over");

  auto lost = std::size_t{0};
  for (auto& it : jobs_b) {
    if (!it.accepted) co_return 2;
    auto read = co_await read_results(at, it);
    if (!read) co_return 2;
    lost += judge(at, it, others).lost;
  }
  at.note(concat("LOST: ", lost, " items"));
  co_return lost > 0 ? 1 : 0;
}

namespace {

json::object stream_route(const std::string& name, const std::string& prefix,
                          const std::string& service) {
  return {{"name", name},     {"host", "h.example"}, {"pathPrefix", prefix},
          {"kind", "stream"}, {"timeoutMs", 5000},   {"goalMs", 300},
          {"priority", 0},    {"service", service},  {"attempts", 2},
          {"sticky", true},   {"resumable", true},   {"gapAimMs", 250}};
}

}  // namespace

task<int> long_prompts(stage& at, bool trouble) {
  constexpr auto daemons = std::size_t{3};
  constexpr auto prefill_per_ms = 66.2;
  constexpr auto long_prompt = std::uint32_t{140'000};
  at.start_daemons(daemons);
  at.put_configuration(
      configuration(7, {batch_route("r-b", "/b/", "svc-b")}, {"svc-b"}));
  auto runners = std::vector<std::shared_ptr<runner>>();
  for (auto n = 1; n <= 6; ++n)
    runners.push_back(at.add_runner({.id = concat("i-b", n),
                                     .service = "svc-b",
                                     .prefill_per_ms = prefill_per_ms}));
  auto ready = co_await at.wait_until_ready();
  if (!ready) co_return 2;
  co_await pause_for(4s);
  auto jobs = std::vector<job>();
  for (auto to = std::size_t{0}; to < 1; ++to) {
    jobs.push_back(make_job(concat("b", to), "/b/", to, 1));
    if (trouble) jobs.back().prompt = long_prompt;
    co_await submit(at, jobs.back());
  }
  at.note("traffic ends");
  co_await pause_for(finish_time);
  at.note("finishS is over");
  auto lost = std::size_t{0};
  for (auto& it : jobs) {
    if (!it.accepted) co_return 2;
    auto read = co_await read_results(at, it);
    if (!read) co_return 2;
    lost += judge(at, it, runners).lost;
  }
  at.note(concat("LOST: ", lost, " items"));
  co_return lost > 0 ? 1 : 0;
}

task<int> smuggled_request(stage& at, bool trouble) {
  constexpr auto hidden =
      "morning\r\nContent-Length: 0\r\n\r\nPOST /b/hidden HTTP/1.1\r\n"
      "Host: h.example\r\nFulmarpitch-Attempt-Id: nobody1\r\nX-Rest: x";
  at.start_daemons(3);
  at.put_configuration(
      configuration(7, {batch_route("r-b", "/b/", "svc-b")}, {"svc-b"}));
  at.add_runner({.id = "i-b1", .service = "svc-b"});
  at.add_runner({.id = "i-b2", .service = "svc-b"});
  auto ready = co_await at.wait_until_ready();
  if (!ready) co_return 2;
  co_await pause_for(4s);
  auto it = make_job("b0", "/b/", 0, 1);
  if (trouble) it.remark = hidden;
  co_await submit(at, it);
  co_await pause_for(5s);
  auto sent = std::set<std::string>(it.items.begin(), it.items.end());
  auto unasked = 0;
  for (const auto& [id, when] : at.ran)
    unasked += sent.contains(id) ? 0 : 1;
  at.note(concat("UNASKED: ", unasked, " requests that no client sent ran"));
  co_return unasked > 0 ? 1 : 0;
}

namespace {

/// A stream that a client reads.
struct client_stream {
  std::string id;
  std::size_t daemon = 0;
  call_result answer;
  bool ended = false;
};

task<void> read_stream(stage& at, client_stream& it) {
  auto request = outgoing{.method = "POST",
                          .target = concat("/q/", it.id),
                          .id = it.id,
                          .body = concat("prompt of ", it.id),
                          .headers =
                              "Fulmarpitch-Deadline-Ms: 5000\r\n"
                              "Fulmarpitch-Model: m\r\n"};
  it.answer = co_await at.call(it.daemon, std::move(request));
  it.ended = true;
}

bool holds(const client_stream& it, std::string_view version) {
  return it.answer.body.find(concat(" ", version, "\n")) != std::string::npos;
}

}  // namespace

task<int> upgraded_in_place(stage& at, bool trouble) {
  constexpr auto daemons = std::size_t{3};
  constexpr auto streams = std::size_t{36};
  at.start_daemons(daemons);
  at.put_configuration(
      configuration(7, {stream_route("r-q", "/q/", "svc-b")}, {"svc-b"}));
  auto last = at.add_runner({.id = "i-b1", .service = "svc-b"});
  for (auto n = 2; n <= 6; ++n)
    at.add_runner(
        {.id = concat("i-b", n), .service = "svc-b", .version = "v2"});
  auto ready = co_await at.wait_until_ready();
  if (!ready) co_return 2;
  co_await pause_for(4s);

  auto all = std::deque<client_stream>();
  for (auto n = std::size_t{0}; n < streams; ++n) {
    auto& it = all.emplace_back();
    it.id = concat("s", n);
    it.daemon = n % daemons;
    asio::co_spawn(fulmar::io_of(at.loop()), read_stream(at, it),
                   fulmar::report_failure);
    co_await pause_for(10ms);
  }
  // Another moment in each run.
  co_await pause_for(200ms + std::chrono::milliseconds(::getpid() % 300));
  if (trouble) last->restart(1s, "v2");
  co_await pause_for(6500ms);
  auto joined = 0;
  for (const auto& it : all) {
    if (!it.ended) co_return 2;
    auto mixed = holds(it, "v1") && holds(it, "v2");
    if (mixed) ++joined;
    at.note(concat("client: stream ", it.id, " at ",
                   at.daemons()[it.daemon].name, ": ", it.answer.status, ", ",
                   it.answer.complete ? "whole" : "broken off", ", ",
                   holds(it, "v1") ? "v1 " : "", holds(it, "v2") ? "v2" : ""));
    if (mixed) at.note(it.answer.body);
  }
  at.note(concat("ORDER: ", joined, " streams hold events of two versions"));
  // More than two break the rule.
  co_return joined > 2 ? 1 : 0;
}

task<int> silent_store(stage& at, bool trouble) {
  constexpr auto daemons = std::size_t{3};
  constexpr auto burst_jobs = std::size_t{18};
  constexpr auto items_per_job = std::size_t{10};
  constexpr auto contact = 4s;
  constexpr auto cancel = 3s;
  at.start_daemons(daemons);
  at.put_configuration(
      configuration(7, {batch_route("r-b", "/b/", "svc-b")}, {"svc-b"}));
  for (auto n = 1; n <= 4; ++n)
    at.add_runner({.id = concat("i-b", n), .service = "svc-b", .events = 100});
  auto ready = co_await at.wait_until_ready();
  if (!ready) co_return 2;
  co_await pause_for(4s);

  // Many jobs come at once.
  auto burst = std::deque<job>();
  for (auto n = std::size_t{0}; n < burst_jobs; ++n) {
    burst.push_back(make_job(concat("s", n), "/b/", 0, items_per_job));
    asio::co_spawn(fulmar::io_of(at.loop()), submit(at, burst.back()),
                   fulmar::report_failure);
  }
  co_await pause_for(17s);
  auto large = make_job("j0", "/b/", 0, 200);
  co_await submit(at, large);
  if (!large.accepted) co_return 2;
  co_await pause_for(2s);
  auto silent_at = event_loop::steady();
  if (trouble) {
    auto n = at.daemons().front().store->silence();
    at.note(concat("the ", n,
                   " open connections of front-erie-toledo-1 to the ",
                   "store fall silent"));
  }
  co_await pause_for(500ms);
  auto target = concat("/v1/lots/", large.id);
  auto request = outgoing{.method = "DELETE", .target = std::move(target)};
  auto answer = co_await at.call(1, std::move(request));
  auto ended_at = event_loop::steady();
  at.note(concat("client: end of job j0 at ", at.daemons()[1].name, ": ",
                 answer.status));
  if (answer.status != 200) co_return 2;
  co_await pause_for(11s);
  auto late = 0;
  auto in_touch = silent_at + contact;
  for (const auto& id : large.items) {
    auto it = at.ran.find(id);
    if (it != at.ran.end() && it->second > ended_at + cancel &&
        it->second > in_touch)
      ++late;
  }
  at.note(concat("UNASKED: ", late,
                 " items of the ended job ran later than cancelMs after the "
                 "answer to its end, sent by a daemon in touch"));
  co_return late > 0 ? 1 : 0;
}

}  // namespace review
