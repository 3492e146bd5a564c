#include <docopt/docopt.h>
#include <malloc.h>

#include <algorithm>
#include <boost/json.hpp>
#include <ctime>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fulmarpitch/core/membership.h"
#include "fulmarpitch/core/orders.h"
#include "fulmarpitch/core/sequencer.h"
#include "fulmarpitch/core/shares.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/state/recorder.h"
#include "fulmarpitch/stores/memory-stores.h"

namespace {

using namespace fulmar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace json = boost::json;

constexpr auto usage =
    R"(Measures how the cost of each role grows, for docs/CAPACITY.md.

Usage:
  fulmar-slopes [--seed N] [--json]
  fulmar-slopes --help

Each series is measured at three sizes or more in virtual time, and a line is
fitted by least squares. Processor time is that of this process; for
membership it includes the simulated network.

Options:
  --seed N  Seed of the runs [default: 1].
  --json    Print one JSON object per series.
)";

/// One measured value.
struct point {
  double size = 0;
  double value = 0;
};

/// One figure at several sizes.
struct series {
  std::string name;
  std::string size_unit;
  std::string value_unit;
  std::vector<point> points;
};

/// A fitted line.
struct line {
  double intercept = 0;
  double slope = 0;
};

line fit(const std::vector<point>& points) {
  auto n = static_cast<double>(points.size());
  auto x = 0.0;
  auto y = 0.0;
  auto xx = 0.0;
  auto xy = 0.0;
  for (const auto& it : points) {
    x += it.size;
    y += it.value;
    xx += it.size * it.size;
    xy += it.size * it.value;
  }
  auto slope = (n * xy - x * y) / (n * xx - x * x);
  return {.intercept = (y - slope * x) / n, .slope = slope};
}

void print(const series& it, bool as_json) {
  auto [intercept, slope] = fit(it.points);
  if (!as_json) {
    std::cout << it.name << ", " << it.value_unit << " by " << it.size_unit
              << ":\n";
    for (const auto& p : it.points) {
      std::cout << "  " << p.size << ": " << p.value << "\n";
    }
    std::cout << "  fit: " << intercept << " + " << slope << " * "
              << it.size_unit << "\n";
    return;
  }
  auto points = json::array();
  for (const auto& p : it.points)
    points.push_back({p.size, p.value});
  std::cout << json::serialize(json::object{{"name", it.name},
                                            {"size_unit", it.size_unit},
                                            {"value_unit", it.value_unit},
                                            {"points", points},
                                            {"intercept", intercept},
                                            {"slope", slope}})
            << "\n";
}

double cpu_seconds() {
  auto time = timespec();
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

double heap_bytes() {
  auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Members of several data centres on a network without faults.
class member_network {
 public:
  member_network(std::size_t data_centres, std::size_t members,
                 std::uint64_t seed)
      : random_(seed) {
    for (std::size_t i = 0; i < data_centres; ++i)
      add(i, members);
  }

  void run(instant span) {
    constexpr auto step = milliseconds(10);
    for (auto end = now_ + span; now_ < end;) {
      now_ += step;
      deliver();
      for (auto& [address, it] : nodes_) {
        if (now_ >= it.process.next_timer()) tick(address, it);
      }
    }
  }

  void change_config(std::uint64_t version) {
    for (auto& [address, it] : nodes_)
      it.process.set_config_version(version);
  }

  void reset_counts() {
    for (auto& [address, it] : nodes_)
      it.sent = 0;
  }

  double mean_sent() const {
    auto sum = 0.0;
    for (const auto& [address, it] : nodes_)
      sum += it.sent;
    return sum / static_cast<double>(nodes_.size());
  }

  double most_sent() const {
    auto most = 0.0;
    for (const auto& [address, it] : nodes_)
      most = std::max(most, it.sent);
    return most;
  }

 private:
  struct node {
    membership process;
    double sent = 0;
  };
  struct datagram {
    std::string from;
    send_output out;
  };

  static std::string address_of(std::size_t data_centre, std::size_t member) {
    return concat("10.", data_centre, ".0.", member, ":7946");
  }

  void add(std::size_t data_centre, std::size_t members) {
    auto options = membership_options();
    options.data_centre = concat("data-centre-", padded(data_centre, 2));
    options.seeds = {address_of(data_centre, 0)};
    for (std::size_t i = 0; i < data_centre; ++i) {
      options.remote_seeds.push_back(address_of(i, 0));
    }
    for (std::size_t i = 0; i < members; ++i) {
      options.name = concat(options.data_centre, "-vm-", padded(i, 3));
      options.peer_address = address_of(data_centre, i);
      options.http_address = concat("10.", data_centre, ".0.", i, ":8080");
      options.random_seed = random_();
      auto& it = nodes_.emplace(options.peer_address, node{membership(options)})
                     .first->second;
      it.process.set_ready(true);
    }
  }

  void tick(const std::string& address, node& it) {
    for (auto& output : it.process.tick(now_)) {
      auto* out = std::get_if<send_output>(&output);
      if (out == nullptr) continue;
      it.sent += static_cast<double>(wire_bytes(out->message));
      queue_.emplace(now_ + milliseconds(1),
                     datagram{address, std::move(*out)});
    }
  }

  void deliver() {
    while (!queue_.empty() && queue_.begin()->first <= now_) {
      auto it = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      auto to = nodes_.find(it.out.to_address);
      if (to == nodes_.end()) continue;
      to->second.process.receive(it.from, it.out.message, now_);
      tick(to->first, to->second);
    }
  }

  std::mt19937_64 random_;
  instant now_{};
  std::map<std::string, node> nodes_;
  std::multimap<instant, datagram> queue_;
};

constexpr auto join_time = seconds(60);
constexpr auto change_interval = seconds(320);

std::vector<series> measure_members(std::uint64_t seed) {
  auto mean = series{"membership bytes sent, one data centre, idle", "members",
                     "bytes a second"};
  auto change = series{"membership bytes sent, one configuration change",
                       "members", "bytes a daemon above idle"};
  auto cpu =
      series{"membership processor time", "members", "us a second a daemon"};
  auto memory = series{"membership memory", "members", "bytes a daemon"};
  for (auto n : {10, 35, 100}) {
    auto size = static_cast<double>(n);
    auto before = heap_bytes();
    auto network = member_network(1, n, seed);
    network.run(join_time);
    memory.points.push_back({size, (heap_bytes() - before) / size});
    network.reset_counts();
    auto start = cpu_seconds();
    constexpr auto idle_time = seconds(60);
    network.run(idle_time);
    auto spent = (cpu_seconds() - start) * 1e6;
    auto idle = network.mean_sent() / idle_time.count();
    cpu.points.push_back({size, spent / idle_time.count() / size});
    mean.points.push_back({size, idle});
    network.reset_counts();
    network.change_config(1);
    network.run(idle_time);
    change.points.push_back(
        {size, network.mean_sent() - idle * idle_time.count()});
  }
  return {mean, change, cpu, memory};
}

series measure_data_centres(std::uint64_t seed) {
  auto most = series{
      "membership bytes sent, busiest daemon, 35 members, one change in 320 s",
      "data centres", "bytes a second"};
  for (auto n : {1, 3, 6, 11}) {
    auto network = member_network(n, 35, seed);
    network.run(join_time);
    network.reset_counts();
    network.change_config(1);
    network.run(change_interval);
    most.points.push_back({static_cast<double>(n),
                           network.most_sent() / change_interval.count()});
  }
  return most;
}

std::vector<series> measure_shares() {
  auto memory = series{"share ledger memory, 11 holders", "limits", "bytes"};
  auto cpu = series{"share ledger processor time, one move", "limits", "us"};
  for (auto n : {72, 240, 720}) {
    auto before = heap_bytes();
    auto options = share_options{.holder = "pool-0"};
    for (auto i = 0; i < 11; ++i)
      options.holders.push_back(concat("pool-", i));
    auto ledger = share_ledger(options);
    for (auto i = 0; i < n; ++i) {
      ledger.set_limit(static_cast<std::uint64_t>(i) + 1, 100, 1);
    }
    auto size = static_cast<double>(n);
    memory.points.push_back({size, heap_bytes() - before});
    for (const auto& from : options.holders) {
      auto message =
          share_message{.from = from, .to = "pool-0", .heard_start = 1};
      for (auto i = 0; i < n; ++i) {
        message.entries.push_back({.key = static_cast<std::uint64_t>(i) + 1,
                                   .generation = 1,
                                   .demand = 50});
      }
      ledger.receive(message);
    }
    constexpr auto turns = 1000;
    auto start = cpu_seconds();
    for (auto i = 0; i < turns; ++i)
      ledger.move();
    cpu.points.push_back({size, (cpu_seconds() - start) * 1e6 / turns});
  }
  return {memory, cpu};
}

// Orders that wait for leases which others hold and renew.
std::vector<series> measure_orders() {
  auto memory = series{"order runner memory", "open orders", "bytes"};
  auto cpu =
      series{"order runner processor time", "open orders", "us a second"};
  for (auto n : {10, 55, 220}) {
    auto before = heap_bytes();
    auto runner = order_runner({.holder = "vm-0"});
    auto row = order_row{.lease = {.holder = "vm-1", .fencing_number = 1}};
    auto version = std::uint64_t{0};
    for (auto i = 0; i < n; ++i) {
      runner.submit(
          {.target = concat("runner-", i), .number = 1, .value = "model-1"});
    }
    auto start = cpu_seconds();
    constexpr auto span = seconds(60);
    constexpr auto step = milliseconds(50);
    for (auto now = instant(0); now < span; now += step) {
      for (const auto& command : runner.tick(now)) {
        const auto* it = std::get_if<read_row_command>(&command);
        if (it == nullptr) continue;
        auto text = format_order_row(row);
        runner.apply(row_event{it->target, true, {"", text, ++version}}, now);
      }
    }
    auto size = static_cast<double>(n);
    cpu.points.push_back({size, (cpu_seconds() - start) * 1e6 / span.count()});
    memory.points.push_back({size, heap_bytes() - before});
  }
  return {memory, cpu};
}

submit_event make_submit(std::size_t i, instant now) {
  auto item = work_item();
  item.id = concat("etela-", padded(i, 12));
  item.caller = concat("caller-", i % 360);
  item.class_name = "online";
  item.model = "model";
  item.prompt_tokens = 500;
  item.max_tokens = 425;
  item.arrival = now;
  item.deadline = now + seconds(600);
  return {.item = std::move(item), .origin = concat("vm-", i % 35)};
}

/// A pool with 55 targets that are busy until attempts end.
struct pool_run {
  explicit pool_run(std::size_t targets) {
    auto policy = pool_policy{.config_version = 1};
    policy.classes = {{.name = "online", .kind = work_kind::online}};
    for (auto i = 0; i < 360; ++i) {
      policy.callers.push_back(
          {.name = concat("caller-", i), .class_name = "online"});
    }
    pool.apply(policy_event{policy}, now);
    for (std::size_t i = 0; i < targets; ++i) {
      pool.apply(target_event{{.name = concat("runner-", i),
                               .address = concat("10.1.0.", i, ":80"),
                               .models = {"model"},
                               .slots = 64,
                               .kv_tokens = 1'000'000}},
                 now);
    }
  }

  // Runs ticks of 10 ms that each end and submit `each` requests.
  std::size_t cycle(std::size_t ticks, std::size_t each) {
    auto admitted = std::size_t{0};
    for (std::size_t i = 0; i < ticks; ++i) {
      now += milliseconds(10);
      for (std::size_t n = 0; n < each && !running.empty(); ++n)
        end_oldest();
      for (std::size_t n = 0; n < each; ++n) {
        pool.apply(make_submit(++requests, now), now);
      }
      for (const auto& command : pool.tick(now)) {
        const auto* it = std::get_if<admit_command>(&command);
        if (it == nullptr) continue;
        running.push_back({it->request_id, it->attempt});
        ++admitted;
      }
    }
    return admitted;
  }

  void end_oldest() {
    auto [id, attempt] = running.front();
    running.erase(running.begin());
    pool.apply(finished_event{.request_id = id,
                              .attempt = attempt,
                              .tokens_produced = 425,
                              .first_token_after = milliseconds(300)},
               now);
  }

  sequencer pool{{.pool = "pool"}};
  instant now = seconds(1);
  std::size_t requests = 0;
  std::vector<std::pair<std::string, std::uint32_t>> running;
};

std::vector<series> measure_sequencer() {
  auto memory = series{"sequencer memory", "queued requests", "bytes"};
  for (auto n : {1'000, 10'000, 100'000}) {
    auto run = pool_run(0);
    auto before = heap_bytes();
    for (auto i = 0; i < n; ++i) {
      run.pool.apply(make_submit(++run.requests, run.now), run.now);
    }
    memory.points.push_back({static_cast<double>(n), heap_bytes() - before});
  }
  auto cpu = series{"sequencer processor time, 55 targets", "requests a second",
                    "us a second"};
  for (auto each : {1, 4, 16}) {
    auto run = pool_run(55);
    run.cycle(500, each);
    auto start = cpu_seconds();
    run.cycle(1000, each);
    constexpr auto measured_seconds = 10;
    cpu.points.push_back({static_cast<double>(each) * 100,
                          (cpu_seconds() - start) * 1e6 / measured_seconds});
  }
  auto targets = series{"sequencer processor time, 400 requests a second",
                        "targets", "us a second"};
  for (auto n : {10, 20, 55}) {
    auto run = pool_run(n);
    run.cycle(500, 4);
    auto start = cpu_seconds();
    run.cycle(1000, 4);
    constexpr auto measured_seconds = 10;
    targets.points.push_back(
        {static_cast<double>(n),
         (cpu_seconds() - start) * 1e6 / measured_seconds});
  }
  return {memory, cpu, targets};
}

std::vector<series> measure_recorder(std::uint64_t seed) {
  auto writes = series{"store writes of one recorder", "results a second",
                       "writes a second"};
  auto cpu = series{"recorder processor time, results of 2 KB",
                    "results a second", "us a second"};
  for (auto rate : {100, 400, 1'600}) {
    auto random = std::mt19937_64(seed);
    auto state = make_memory_stores({.synchronous = true});
    auto unit = recorder({make_table_store(state), make_object_store(state)},
                         {.data_centre = "etela", .name = "recorder-1"});
    constexpr auto span = seconds(20);
    constexpr auto step = milliseconds(50);
    auto each = rate / 20;
    auto start = cpu_seconds();
    for (auto now = instant(seconds(60)); now < seconds(60) + span;
         now += step) {
      for (auto i = 0; i < each; ++i) {
        auto record = result_record{
            .request_id = make_request_id("etela", now, random())};
        record.caller = "caller";
        record.body = std::string(2'000, 'x');
        record.started = now;
        auto status = unit.record(std::move(record), [](const auto&) {});
        if (!status.ok()) std::cerr << status.ToString() << "\n";
      }
      unit.tick(now);
      deliver(*state, now);
    }
    auto size = static_cast<double>(rate);
    auto written = static_cast<double>(state->counts.writes());
    writes.points.push_back({size, written / span.count()});
    cpu.points.push_back({size, (cpu_seconds() - start) * 1e6 / span.count()});
  }
  return {writes, cpu};
}

}  // namespace

int main(int argc, char** argv) {
  auto args =
      docopt::docopt(usage, {argv + 1, argv + argc}, true, FULMAR_VERSION);
  auto seed = static_cast<std::uint64_t>(args["--seed"].asLong());
  auto as_json = args["--json"].asBool();
  auto print_all = [as_json](const std::vector<series>& all) {
    for (const auto& it : all)
      print(it, as_json);
  };
  print_all(measure_members(seed));
  print(measure_data_centres(seed), as_json);
  print_all(measure_shares());
  print_all(measure_orders());
  print_all(measure_sequencer());
  print_all(measure_recorder(seed));
  return 0;
}
