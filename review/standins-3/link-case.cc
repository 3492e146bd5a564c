/// \file
/// A process ends and is started again. It reads the bodies of its batch jobs
/// from the store, over the link of its machine.

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>

#include "fulmarpitch/core/text.h"
#include "harness.h"

namespace {

using fulmar::concat;
using fulmar::instant;
using fulmar::task;
using namespace std::chrono_literals;

/// Of the sheet of Veldhaven: the link of its smallest machines, items of a
/// batch job, bytes and tokens of an item (350 in, 125 out), tokens of a tenant
/// that may wait, slots of a server.
constexpr double link_mbps = 30;
constexpr std::uint32_t items_per_job = 10;
constexpr std::size_t item_bytes = 15'000;
constexpr std::uint64_t item_tokens = 475;
constexpr std::uint64_t max_queued = 2'100'000;
constexpr std::uint32_t slots = 8;
constexpr std::uint32_t events = 125;
constexpr auto event_time = 20ms;

/// Fewer than the sheet has.
constexpr std::uint32_t machine_count = 2;
constexpr std::uint32_t servers = 16;
constexpr std::uint32_t jobs_per_machine = 60;
constexpr std::uint32_t jobs = machine_count * jobs_per_machine;
static_assert(jobs * items_per_job * item_tokens <= max_queued);

/// "A process that exits or is killed is restarted after a short delay."
constexpr auto restart_delay = 1000ms;

/// From the disruption to the verdict; `finishS` is 18 s.
constexpr auto finish_time = 60s;

/// How long a stay at a server counts, and the calm times of the rule.
constexpr auto least_stay = 1s;
constexpr auto no_run_time = 5s;
constexpr auto no_finish_time = 3s;

std::string configuration() {
  return concat(
      R"({"version":7,"routes":[{"name":"r-batch","host":"h.example",)",
      R"("pathPrefix":"/jobs/","kind":"batch","timeoutMs":15000,)",
      R"("goalMs":500,"priority":2,"service":"s","attempts":3,)",
      R"("public":false,"sticky":true,"resumable":true,"gapAimMs":500,)",
      R"("dueMs":18000,"maxWaitS":110,"maxQueued":)", max_queued,
      R"(}],"services":[{"name":"s","healthPath":"/healthz",)",
      R"("maxConns":410}],"limits":{"maxHeaderBytes":16384,)",
      R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)",
      R"("idleTimeoutMs":15000},"tenants":[{"name":"tenant-a",)",
      R"("apiKeys":["key-a"],"priority":1}]})");
}

struct state {
  explicit state(review::case_options options) : bench(std::move(options)) {}

  review::bench bench;
  std::deque<review::model_server> all_servers;
  /// Runs under way: when each began, by item.
  std::map<std::string, instant> begun;
  /// When half of the slots of all servers were last taken.
  instant last_half_full{};
  std::set<std::string> finished;
  instant last_finish{};
  /// The end of the last stay of an item at a server that counts.
  instant last_stay{};
  std::vector<std::string> accepted;
  std::uint32_t submitting = 0;
};

/// Hands in the batch jobs of one machine, one after the other.
task<void> submit_all(state& it, review::machine& to) {
  auto& b = it.bench;
  for (auto n = 0U; n < jobs_per_machine; ++n) {
    auto id = concat("job-", b.unique(), "-", to.name, "-", n);
    auto items = review::make_items(id, "/jobs/", items_per_job, item_tokens,
                                    item_bytes);
    auto what =
        review::outgoing{.method = "POST",
                         .path = concat("/jobs/", id),
                         .headers = {{"Fulmarpitch-Attempt-Id", id},
                                     {"X-Api-Key", "key-a"},
                                     {"Content-Type", "application/json"},
                                     {"Fulmarpitch-Deadline-Ms", "4000"}},
                         .body = review::job_body(items)};
    auto got = co_await b.call(to.front(), std::move(what));
    b.note(concat("batch job ", id, " at ", to.name, ": ", got.status));
    if (got.status == 202) it.accepted.push_back(id);
  }
  --it.submitting;
}

/// Reads how many results of a batch job are listed.
task<std::size_t> count_listed(state& it, std::string job) {
  auto listed = std::size_t{0};
  for (auto attempt = 0U; attempt < 20;) {
    auto what =
        review::outgoing{.path = concat("/v1/lots/", job, "?after=", listed),
                         .headers = {{"X-Api-Key", "key-a"}}};
    auto& from = it.bench.machines[1 - attempt % machine_count];
    auto got = co_await it.bench.call(from.front(), std::move(what));
    if (!got.complete || got.status != 200) {
      ++attempt;
      co_await fulmar::pause_for(25ms);
      continue;
    }
    auto page = boost::json::parse(got.body).as_object();
    auto next = page["next"].to_number<std::size_t>();
    if (next == listed) co_return listed;
    listed = next;
  }
  co_return listed;
}

void add_servers(state& it) {
  auto& b = it.bench;
  for (auto n = 0U; n < servers; ++n) {
    auto id = concat("i-", n);
    auto& row = it.all_servers.emplace_back(
        b.loop, review::server_options{.id = id,
                                       .slots = slots,
                                       .events = events,
                                       .event_time = event_time});
    row.on_run = [&it, id](const review::begun_run& run) {
      auto now = fulmar::event_loop::steady();
      it.bench.note(concat("server ", id, " runs ", run.id));
      it.begun[run.id] = now;
      if (it.begun.size() * 2 >= servers * slots) it.last_half_full = now;
    };
    row.on_done = [&it](const std::string& id) {
      it.bench.note(concat(id, " is finished"));
      it.begun.erase(id);
      it.finished.insert(id);
      it.last_finish = it.last_stay = fulmar::event_loop::steady();
    };
    row.on_end = [&it](const std::string& id) {
      auto now = fulmar::event_loop::steady();
      if (now - it.begun[id] > least_stay) it.last_stay = now;
      it.begun.erase(id);
    };
    b.put_server(id, "s", row.address(), "a", slots);
  }
}

/// Judges the end of the day.
task<void> judge(state& it) {
  auto& b = it.bench;
  auto now = fulmar::event_loop::steady();
  for (const auto& [id, since] : it.begun) {
    if (now - since > least_stay) it.last_stay = now;
  }
  auto no_run = now - it.last_stay > no_run_time;
  auto half_empty = now - it.last_half_full > no_run_time;
  auto no_finish = now - it.last_finish > no_finish_time;
  auto missing = std::size_t{0};
  auto open = std::size_t{0};
  for (const auto& id : it.accepted) {
    auto listed = co_await count_listed(it, id);
    if (listed == items_per_job) continue;
    ++open;
    missing += items_per_job - listed;
    b.note(concat("batch job ", id, ": ", listed, " of ", items_per_job,
                  " items are listed"));
  }
  b.note(concat("at the end ", missing, " items of ", open, " of ",
                it.accepted.size(), " accepted batch jobs are listed neither ",
                "as done nor as dead; no run for 5 s: ", no_run,
                "; servers under half full for 5 s: ", half_empty,
                "; no item finished for 3 s: ", no_finish));
  if (missing > 0 && no_run && half_empty && no_finish)
    b.broken(concat("LOST: ", missing, " items of ", open,
                    " accepted batch jobs wait, and nothing runs"));
}

task<bool> play(state& it) {
  auto& b = it.bench;
  add_servers(it);
  b.put_configuration(configuration());
  for (auto n = 0U; n < machine_count; ++n)
    b.add_machine("a", 160).store = b.store.add_path(link_mbps);
  for (auto& row : b.machines)
    b.start(row);
  for (auto& row : b.machines) {
    auto ready = co_await b.wait_ready(row, 5s);
    if (!ready) co_return false;
  }
  co_await fulmar::pause_for(3s);
  for (auto& row : b.machines) {
    ++it.submitting;
    boost::asio::co_spawn(fulmar::io_of(b.loop), submit_all(it, row),
                          fulmar::report_failure);
  }
  for (auto n = 0; n < 300 && it.submitting > 0; ++n)
    co_await fulmar::pause_for(100ms);
  b.note(concat(it.accepted.size(), " batch jobs are accepted, ",
                it.finished.size(), " items are finished"));
  if (it.accepted.size() < jobs / 2) co_return false;
  auto began = fulmar::event_loop::steady();
  if (b.options.trouble) {
    auto& row = b.machines.front();
    b.note(concat("TROUBLE: the process of ", row.name, " is killed"));
    row.daemon->send(SIGKILL);
    row.daemon->reap();
    co_await fulmar::pause_for(restart_delay);
    b.start(row);
  }
  while (fulmar::event_loop::steady() - began < finish_time) {
    co_await fulmar::pause_for(2s);
    b.note(concat(it.finished.size(), " items are finished"));
    if (it.finished.size() == it.accepted.size() * items_per_job) break;
  }
  co_await judge(it);
  co_return true;
}

}  // namespace

int main(int argc, char** argv) {
  auto it = state(review::read_options(argc, argv));
  it.bench.run([&it] { return play(it); });
}
