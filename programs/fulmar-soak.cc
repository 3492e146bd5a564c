#include <docopt/docopt.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <iostream>
#include <optional>
#include <string>

#include "fulmarpitch/core/text.h"
#include "fulmarpitch/soak/soak.h"

namespace {

using namespace fulmar;

constexpr auto usage =
    R"(Runs seeded randomised tests of the state module in virtual time.

Usage:
  fulmar-soak [--seed N] [--seeds N] [--rounds N] [--without SAFEGUARD]
  fulmar-soak --help
  fulmar-soak --version

Options:
  --seed N             First seed [default: 1].
  --seeds N            How many seeds to run, one after the other [default: 1].
  --rounds N           Rounds of each seed, 1 to 1000 [default: 3].
  --without SAFEGUARD  Leave out fencing, started_record, dedupe, group_numbers
                       or job_state [default: none].

Exit codes: 0 when all invariants held, 1 when one broke or a kind of fault was
never injected, 2 for a wrong option.
)";

constexpr int exit_broken = 1;
constexpr int exit_usage = 2;
constexpr std::uint64_t most_rounds = 1000;

int wrong_option(std::string_view flag, const std::string& value,
                 std::string_view allowed) {
  std::cerr << concat(flag, ": ", value, " is not ", allowed, '\n');
  return exit_usage;
}

std::optional<std::uint64_t> read_number(const std::string& text,
                                         std::uint64_t least,
                                         std::uint64_t most) {
  auto value = std::uint64_t{0};
  const auto* const end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || last != end) return std::nullopt;
  if (value < least || value > most) return std::nullopt;
  return value;
}

void print_faults(const fault_counts& faults) {
  for (std::size_t n = 0; n < faults.size(); ++n) {
    std::cout << concat("fault ", soak_fault_names[n].second, ' ', faults[n],
                        '\n');
  }
}

struct totals {
  fault_counts faults{};
  std::uint64_t requests = 0;
  std::uint64_t results = 0;
  std::uint64_t copies_lost = 0;
  std::uint64_t jobs = 0;
  std::uint64_t items = 0;
};

void add(totals& all, const soak_report& one) {
  for (std::size_t n = 0; n < all.faults.size(); ++n) {
    all.faults[n] += one.faults[n];
  }
  all.requests += one.requests;
  all.results += one.results;
  all.copies_lost += one.copies_lost;
  all.jobs += one.jobs;
  all.items += one.items;
}

int run(soak_options options, std::uint64_t seeds) {
  auto all = totals();
  for (const auto end = options.seed + seeds; options.seed < end;
       ++options.seed) {
    const auto report = run_soak(options);
    add(all, report);
    if (report.broken.empty()) continue;
    print_faults(all.faults);
    std::cout << concat("soak: broken at seed ", options.seed, ": ",
                        report.broken, '\n');
    return exit_broken;
  }
  print_faults(all.faults);
  if (std::count(all.faults.begin(), all.faults.end(), 0U) > 0) {
    std::cout << "soak: incomplete: a kind of fault was never injected\n";
    return exit_broken;
  }
  std::cout << concat("soak: ok seeds ", seeds, " requests ", all.requests,
                      " results ", all.results, " copies_lost ",
                      all.copies_lost, " jobs ", all.jobs, " items ", all.items,
                      '\n');
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true,
                             concat("fulmar-soak ", FULMAR_VERSION));
  const auto seed = read_number(args["--seed"].asString(), 0, 1ULL << 62U);
  if (!seed) {
    return wrong_option("--seed", args["--seed"].asString(), "a number");
  }
  const auto seeds = read_number(args["--seeds"].asString(), 1, 1'000'000);
  if (!seeds) {
    return wrong_option("--seeds", args["--seeds"].asString(),
                        "a number from 1 to 1000000");
  }
  const auto rounds = read_number(args["--rounds"].asString(), 1, most_rounds);
  if (!rounds) {
    return wrong_option("--rounds", args["--rounds"].asString(),
                        "a number from 1 to 1000");
  }
  const auto without = value_in(safeguard_names, args["--without"].asString());
  if (!without) {
    return wrong_option(
        "--without", args["--without"].asString(),
        "none, fencing, started_record, dedupe, group_numbers or "
        "job_state");
  }
  return run({.seed = *seed,
              .rounds = static_cast<std::uint32_t>(*rounds),
              .without = *without},
             *seeds);
}
