/// \file
/// Runs real daemons under faults from outside and checks their promises.

#include <docopt/docopt.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "fulmarpitch/core/text.h"
#include "fulmarpitch/soak/soak-run.h"

namespace {

using namespace fulmar;

constexpr auto usage = R"(fulmar-soak: runs real daemons under faults.

Usage:
  fulmar-soak --program=FILE [--seed=N] [--seeds=N] [--seconds=N]
              [--daemons=N] [--targets=N] [--callers=N] [--keep=DIR] [--calm]
  fulmar-soak (-h | --help)

Options:
  --program=FILE  Path of fulmar-front.
  --seed=N        The first seed [default: 1].
  --seeds=N       How many seeds [default: 1].
  --seconds=N     Time with faults for each seed [default: 12].
  --daemons=N     Daemons [default: 4].
  --targets=N     Targets at first [default: 4].
  --callers=N     Callers [default: 6].
  --keep=DIR      Where logs of each seed go [default: /tmp/fulmar-soak].
  --calm          Only planned work: configurations and restarts in turn.
  -h --help       Print this.
)";

void print(const soak::soak_report& it, std::uint64_t seed) {
  std::cout << "seed " << seed << ": answered " << it.seen.answered
            << ", refused " << it.seen.refused << ", failed " << it.seen.failed
            << ", jobs " << it.seen.jobs.size() << ", faults "
            << it.faults.size() << ", broken promises "
            << it.seen.violations.size() << std::endl;
  for (const auto& row : it.seen.violations) {
    std::cout << "  " << name_in(soak::promise_names, row.which) << ": "
              << row.detail << '\n';
  }
  if (it.seen.violations.empty()) return;
  for (const auto& fault : it.faults)
    std::cout << "  fault " << fault << '\n';
}

}  // namespace

int main(int argc, char** argv) {
  auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
  std::signal(SIGPIPE, SIG_IGN);
  auto number = [&](const char* name) {
    return static_cast<std::uint64_t>(args.at(name).asLong());
  };
  auto broken = 0;
  for (auto n = std::uint64_t{0}; n < number("--seeds"); ++n) {
    auto seed = number("--seed") + n;
    auto directory = concat(args.at("--keep").asString(), "/", seed);
    std::filesystem::remove_all(directory);
    std::filesystem::create_directories(directory);
    auto report = soak::run_soak(
        {.seed = seed,
         .length = std::chrono::seconds(number("--seconds")),
         .daemons = static_cast<std::uint32_t>(number("--daemons")),
         .targets = static_cast<std::uint32_t>(number("--targets")),
         .callers = static_cast<std::uint32_t>(number("--callers")),
         .program = args.at("--program").asString(),
         .directory = directory,
         .calm = args.at("--calm").asBool()});
    print(report, seed);
    if (!report.seen.violations.empty()) ++broken;
  }
  std::cout << "soak: " << (broken == 0 ? "ok" : "broken") << " seeds "
            << number("--seeds") << " broken " << broken << std::endl;
  std::_Exit(broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE);
}
