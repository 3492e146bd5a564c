/// \file
/// A machine freezes while a tenant hands in batch jobs up to its limit. When
/// it wakes, it accepts more of them.

#include <algorithm>
#include <csignal>
#include <utility>

#include "fulmarpitch/core/text.h"
#include "harness.h"

namespace {

using fulmar::concat;
using fulmar::instant;
using fulmar::task;
using namespace std::chrono_literals;

/// Of the sheet of Veldhaven: tokens of a tenant that may wait, `quotaOver`,
/// tokens of an item (350 in, 125 out). Of the protocol: items of a batch job.
constexpr std::uint64_t max_queued = 2'100'000;
constexpr double quota_over = 0.1;
constexpr std::uint64_t item_tokens = 475;
constexpr std::uint32_t items_per_job = 200;
constexpr std::uint64_t job_tokens = items_per_job * item_tokens;
constexpr std::uint32_t jobs_at_limit = max_queued / job_tokens;

/// The sheet's dose of `node_freeze`: a share of 0.11, here 1 of 9 machines,
/// for 3.5 s.
constexpr auto freeze_time = 3500ms;
constexpr auto machine_count = 9;

/// Freezes, one after the other, until the rule is broken.
constexpr auto rounds = 3;

/// Batch jobs that come to the machine shortly before it wakes, and when. A
/// client waits for a second for its request to be read.
constexpr std::uint32_t late_jobs = 4;
constexpr auto late_time = 2900ms;

std::string configuration() {
  return concat(
      R"({"version":7,"routes":[{"name":"r-batch","host":"h.example",)",
      R"("pathPrefix":"/jobs/","kind":"batch","timeoutMs":15000,)",
      R"("goalMs":500,"priority":2,"service":"s","attempts":3,)",
      R"("public":false,"sticky":true,"resumable":true,"gapAimMs":500,)",
      R"("dueMs":18000,"maxWaitS":60,"maxQueued":)", max_queued,
      R"(}],"services":[{"name":"s","healthPath":"/healthz",)",
      R"("maxConns":410}],"limits":{"maxHeaderBytes":16384,)",
      R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)",
      R"("idleTimeoutMs":15000},"tenants":[{"name":"tenant-a",)",
      R"("apiKeys":["key-a"],"priority":1}]})");
}

struct state {
  explicit state(review::case_options options) : bench(std::move(options)) {}

  review::bench bench;
  std::deque<review::model_server> servers;
  std::set<std::string> finished;
  /// Accepted items and batch jobs.
  std::set<std::string> accepted;
  std::vector<std::string> accepted_jobs;
  std::uint32_t jobs = 0;
  std::uint32_t open_calls = 0;
};

/// Judges the moment of a 202.
void judge(state& it) {
  auto waiting = std::uint64_t{0};
  for (const auto& id : it.accepted) {
    if (!it.finished.contains(id)) waiting += item_tokens;
  }
  auto most = static_cast<double>(max_queued) * (1 + quota_over);
  it.bench.note(concat("tokens that wait: ", waiting, " of ", max_queued));
  if (static_cast<double>(waiting) > most)
    it.bench.broken(concat("QUOTA: ", waiting, " tokens of the tenant wait; ",
                           "its limit is ", max_queued));
}

/// Hands in a batch job, once.
task<void> submit(state& it, review::machine& to) {
  auto& b = it.bench;
  ++it.open_calls;
  auto id = concat("job-", b.unique(), "-", ++it.jobs);
  auto items =
      review::make_items(id, "/jobs/", items_per_job, item_tokens, 100);
  auto what = review::outgoing{.method = "POST",
                               .path = concat("/jobs/", id),
                               .headers = {{"Fulmarpitch-Attempt-Id", id},
                                           {"X-Api-Key", "key-a"},
                                           {"Content-Type", "application/json"},
                                           {"Fulmarpitch-Deadline-Ms", "4000"}},
                               .body = review::job_body(items),
                               .timeout = 4000ms};
  b.note(concat("batch job ", id, " goes to ", to.name));
  auto got = co_await b.call(to.front(), std::move(what));
  b.note(concat("batch job ", id, " at ", to.name, ": ", got.status));
  --it.open_calls;
  if (got.status != 202) co_return;
  it.accepted_jobs.push_back(id);
  for (const auto& row : items)
    it.accepted.insert(row.id);
  judge(it);
}

void submit_later(state& it, review::machine& to) {
  boost::asio::co_spawn(fulmar::io_of(it.bench.loop), submit(it, to),
                        fulmar::report_failure);
}

/// Ends all accepted batch jobs, so that their tokens wait no more.
task<void> end_all(state& it) {
  auto& b = it.bench;
  for (const auto& id : std::exchange(it.accepted_jobs, {})) {
    auto what = review::outgoing{.method = "DELETE",
                                 .path = concat("/v1/lots/", id),
                                 .headers = {{"X-Api-Key", "key-a"}}};
    auto got = co_await b.call(b.machines.back().front(), std::move(what));
    b.note(concat("the end of batch job ", id, " is answered ", got.status));
  }
  it.accepted.clear();
  co_await fulmar::pause_for(4s);
}

/// Fills the limit while a machine stands still, and hands in more there.
task<void> play_round(state& it) {
  auto& b = it.bench;
  auto& first = b.machines.front();
  // A machine follows the batch jobs by calls that wait for a change for 0.7 s,
  // with pauses of 0.3 s; this one freezes while such a call waits, as it does
  // for most of the time.
  co_await submit(it, b.machines.back());
  co_await fulmar::pause_for(700ms);
  auto began = fulmar::event_loop::steady();
  auto wait_until = [&](instant at) -> task<void> {
    co_await fulmar::pause_for(
        std::max(began + at - fulmar::event_loop::steady(), instant{}));
  };
  if (b.options.trouble) {
    b.note(concat("TROUBLE: ", first.name, " freezes for ", freeze_time.count(),
                  " ms"));
    first.daemon->send(SIGSTOP);
  }
  for (auto n = std::uint32_t{1}; n < jobs_at_limit; ++n) {
    co_await submit(it, b.machines[1 + n % (machine_count - 1)]);
    co_await fulmar::pause_for(60ms);
  }
  co_await wait_until(late_time);
  for (auto n = std::uint32_t{0}; n < late_jobs; ++n) {
    submit_later(it, first);
    co_await fulmar::pause_for(100ms);
  }
  co_await wait_until(freeze_time);
  if (b.options.trouble) {
    b.note(concat(first.name, " wakes"));
    first.daemon->send(SIGCONT);
  }
  for (auto n = 0; n < 60 && it.open_calls > 0; ++n)
    co_await fulmar::pause_for(100ms);
}

task<bool> play(state& it) {
  auto& b = it.bench;
  // An item takes 50 s: few end while the case runs.
  auto& server = it.servers.emplace_back(
      b.loop, review::server_options{
                  .id = "i-0", .slots = 8, .events = 125, .event_time = 400ms});
  server.on_done = [&it](const std::string& id) { it.finished.insert(id); };
  server.on_run = [&b](const review::begun_run& run) {
    b.note(concat("server i-0 runs ", run.id));
  };
  b.put_server("i-0", "s", server.address(), "b", 8);
  b.put_configuration(configuration());
  // The frozen machine is the only one of its data centre: those of one data
  // centre send each other the changes that they read, also to a frozen one.
  for (auto n = 0; n < machine_count; ++n)
    b.add_machine(n == 0 ? "a" : (n % 2 == 0 ? "b" : "c"), 160);
  for (auto& row : b.machines)
    b.start(row);
  for (auto& row : b.machines) {
    auto ready = co_await b.wait_ready(row, 5s);
    if (!ready) co_return false;
  }
  co_await fulmar::pause_for(4s);
  for (auto n = 0; n < rounds && !b.is_broken(); ++n) {
    if (n > 0) co_await end_all(it);
    co_await play_round(it);
  }
  co_return true;
}

}  // namespace

int main(int argc, char** argv) {
  auto it = state(review::read_options(argc, argv));
  it.bench.run([&it] { return play(it); });
}
