#include <algorithm>
#include <iostream>
#include <string>

#include "fulmarpitch/core/settings.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/simulate/simulation.h"

namespace {

using namespace fulmar;

constexpr auto usage =
    R"(Runs seeded randomised tests of the state module in virtual time.

Usage:
  fulmar-simulate [--seed N] [--seeds N] [--rounds N] [--without SAFEGUARD]
  fulmar-simulate --help
  fulmar-simulate --version

Options:
  --seed N             First seed [default: 1].
  --seeds N            How many seeds to run, one after the other [default: 1].
  --rounds N           Rounds of each seed, 1 to 1000 [default: 3].
  --without SAFEGUARD  Leave out fencing, started_record, dedupe, group_numbers
                       or job_state [default: none].

Each option has an environment variable too, FULMAR_SEED for instance.

Exit codes: 0 when all invariants held, 1 when one broke or a kind of fault was
never injected, 2 for a wrong option.
)";

constexpr int exit_broken = 1;
constexpr std::int64_t most_rounds = 1000;
constexpr std::int64_t most_seeds = 1'000'000;
constexpr std::int64_t most_seed = std::int64_t{1} << 60U;

void print_faults(const fault_counts& faults) {
  for (std::size_t n = 0; n < faults.size(); ++n) {
    std::cout << concat("fault ", simulated_fault_names[n].second, ' ',
                        faults[n], '\n');
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

void add(totals& all, const simulation_report& one) {
  for (std::size_t n = 0; n < all.faults.size(); ++n) {
    all.faults[n] += one.faults[n];
  }
  all.requests += one.requests;
  all.results += one.results;
  all.copies_lost += one.copies_lost;
  all.jobs += one.jobs;
  all.items += one.items;
}

int run(simulation_options options, std::uint64_t seeds) {
  auto all = totals();
  for (const auto end = options.seed + seeds; options.seed < end;
       ++options.seed) {
    const auto report = run_simulation(options);
    add(all, report);
    if (report.broken.empty()) continue;
    print_faults(all.faults);
    std::cout << concat("simulation: broken at seed ", options.seed, ": ",
                        report.broken, '\n');
    return exit_broken;
  }
  print_faults(all.faults);
  if (std::count(all.faults.begin(), all.faults.end(), 0U) > 0) {
    std::cout << "simulation: incomplete: a kind of fault was never injected\n";
    return exit_broken;
  }
  std::cout << concat("simulation: ok seeds ", seeds, " requests ",
                      all.requests, " results ", all.results, " copies_lost ",
                      all.copies_lost, " jobs ", all.jobs, " items ", all.items,
                      '\n');
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  auto from = settings::parse(usage, {argv + 1, argv + argc});
  auto options = simulation_options();
  options.seed =
      static_cast<std::uint64_t>(from.number("--seed", 0, most_seed));
  options.rounds =
      static_cast<std::uint32_t>(from.number("--rounds", 1, most_rounds));
  options.without = from.choice("--without", safeguard_names);
  const auto seeds = from.number("--seeds", 1, most_seeds);
  if (!from.errors().empty()) return report_errors(from);
  return run(options, static_cast<std::uint64_t>(seeds));
}
