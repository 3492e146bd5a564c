#include <docopt/docopt.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "fulmarpitch/core/text.h"
#include "fulmarpitch/order/audit.h"
#include "fulmarpitch/order/log.h"

namespace {

using namespace fulmar;

constexpr auto usage =
    R"(Measures what the proof of order costs on this machine.

Usage:
  fulmar-order-cost [--records N] [--candidates N] [--export DIR]
  fulmar-order-cost --help

Options:
  --records N     Admissions to record [default: 200000].
  --candidates N  Callers of each class, and targets, in each record
                  [default: 4].
  --export DIR    Write the segments there, as a store would name them.
)";

/// Records between two segments that land.
constexpr std::uint64_t records_per_tick = 200;

constexpr std::size_t class_count = 3;

/// Segments of the measured epoch, by name.
using objects = std::map<std::string, std::string>;

double cpu_us() {
  constexpr double us_per_second = 1e6;
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC * us_per_second;
}

std::int64_t steady_ns() {
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

/// An admission with identifiers of the length that the daemon gives them.
admit_command make_admit(std::uint64_t number, std::size_t candidates) {
  auto inputs = choice_inputs{.config_version = 270};
  for (std::size_t i = 0; i < class_count; ++i) {
    auto& it = inputs.classes.emplace_back();
    it.name = concat("class-", i);
    it.rank = static_cast<std::uint32_t>(i);
    it.owed_tokens = static_cast<std::int64_t>(number * 31 % 100000);
    for (std::size_t j = 0; j < candidates; ++j) {
      auto& head = it.callers.emplace_back();
      head.caller = concat("franchisee-", (number * 7 + j) % 360);
      head.request_id = concat("r-", padded(number), "-", i, j);
      head.virtual_tokens = static_cast<std::int64_t>(number * 1000 + j);
      head.arrival_number = number * candidates + j;
    }
  }
  for (std::size_t i = 0; i < candidates; ++i) {
    inputs.targets.push_back(
        {.target = concat("runner-", i),
         .cost_us = static_cast<std::int64_t>(90000 + i * 777)});
  }
  auto out = admit_command{.number = number, .origin = "entry-17"};
  out.attempt = 1;
  out.chosen = *choose(inputs);
  out.request_id = out.chosen.request_id;
  out.inputs = std::move(inputs);
  return out;
}

struct written_epoch {
  objects segments;
  std::uint64_t bytes = 0;
  double append_cpu_us = 0;
  double hold_cpu_us = 0;
  std::vector<std::int64_t> append_ns;
};

append_segment writer_to(objects& store) {
  return [&store](std::string name, std::string bytes, const auto& done) {
    store[std::move(name)] = std::move(bytes);
    done(absl::Status());
  };
}

epoch_start make_start() {
  auto out = epoch_start();
  out.pool = "route-records@erie-west-1";
  out.epoch = {.number = 1, .incarnation = "entry-3.1733261820"};
  out.owner = "entry-3";
  return out;
}

written_epoch write_epoch(std::uint64_t records, std::size_t candidates) {
  auto out = written_epoch();
  auto start = make_start();
  auto log = order_log({.start = start}, writer_to(out.segments), instant(1));
  auto held = held_records();
  for (std::uint64_t i = 0; i < records; ++i) {
    auto number = log.last_number() + 1;
    auto now = instant(static_cast<std::int64_t>(number));
    auto command = sequencer_command(make_admit(number, candidates));
    auto cpu = cpu_us();
    auto from = steady_ns();
    auto record = log.append(command, {}, now);
    out.append_ns.push_back(steady_ns() - from);
    auto appended = cpu_us();
    held.take(record.line).IgnoreError();
    out.hold_cpu_us += cpu_us() - appended;
    out.append_cpu_us += appended - cpu;
    out.bytes += record.line.size();
    if (number % records_per_tick != 0) continue;
    log.tick(now + std::chrono::seconds(1));
    held.release(start.pool, start.epoch, log.durable_number());
  }
  log.close(instant(static_cast<std::int64_t>(records)));
  while (!log.flushed())
    log.tick(instant(std::chrono::hours(1)));
  std::sort(out.append_ns.begin(), out.append_ns.end());
  return out;
}

void print(const char* name, double value, const char* unit) {
  std::cout << name << ' ' << value << ' ' << unit << '\n';
}

int measure(std::uint64_t records, std::size_t candidates,
            const std::string& directory) {
  auto epoch = write_epoch(records, candidates);
  auto auditor = order_auditor({});
  auto from = cpu_us();
  for (const auto& [name, bytes] : epoch.segments)
    auditor.add({name, bytes});
  auto report = auditor.finish();
  auto audit_us = cpu_us() - from;
  auto n = static_cast<double>(records);
  auto at = [&](double share) {
    auto last = static_cast<double>(epoch.append_ns.size() - 1);
    auto ns = epoch.append_ns[static_cast<std::size_t>(last * share)];
    return static_cast<double>(ns) / 1000;
  };
  print("records", n, "");
  print("bytes_per_record", static_cast<double>(epoch.bytes) / n, "B");
  print("append_cpu_per_record", epoch.append_cpu_us / n, "us");
  print("append_latency_p50", at(0.5), "us");
  print("append_latency_p99", at(0.99), "us");
  print("entry_hold_cpu_per_record", epoch.hold_cpu_us / n, "us");
  print("audit_cpu_per_record", audit_us / n, "us");
  print("findings", static_cast<double>(report.findings.size()), "");
  if (directory.empty()) return report.findings.empty() ? 0 : 1;
  for (const auto& [name, bytes] : epoch.segments) {
    auto path = std::filesystem::path(directory) / name;
    std::filesystem::create_directories(path.parent_path());
    std::ofstream(path, std::ios::binary) << bytes;
  }
  return report.findings.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  auto words = std::vector<std::string>(argv + 1, argv + argc);
  auto args = docopt::docopt(usage, words, true);
  auto records = args["--records"].asLong();
  auto candidates = args["--candidates"].asLong();
  const auto& to = args["--export"];
  if (records < 1 || candidates < 1) {
    std::cerr << usage;
    return 2;
  }
  return measure(static_cast<std::uint64_t>(records),
                 static_cast<std::size_t>(candidates), to ? to.asString() : "");
}
