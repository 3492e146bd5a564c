/// \file
/// The serving daemon on the users' platform.

#include <docopt/docopt.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "fulmarpitch/serving/daemon.h"
#include "platform/decoding.h"
#include "platform/names.h"

namespace {

constexpr auto usage = R"(fulmar-front: serves online requests and batch jobs.

Usage:
  fulmar-front [--settings=FILE] [--check]
  fulmar-front (-h | --help)

Options:
  --settings=FILE  The settings that the platform fills in; otherwise the file
                   that the variable FULMARPITCH_CONFIG names.
  --check          Read the settings, print any fault, and end.
  -h --help        Print this.
)";

std::string settings_path(const std::map<std::string, docopt::value>& args) {
  if (const auto& given = args.at("--settings")) return given.asString();
  const char* named = std::getenv(fulmar::platform::settings_variable);
  return named != nullptr ? named : "";
}

/// Serves until SIGTERM has arrived and the open requests have ended. Does not
/// return on success: what still waits for the store holds references to the
/// daemon and no state worth unwinding.
/// \return an error when an address can't be bound.
absl::Status serve(const fulmar::serving::vm_settings& settings) {
  auto loop = fulmar::event_loop();
  auto daemon = fulmar::serving::serving_daemon(loop, settings);
  if (auto status = daemon.start(); !status.ok()) return status;
  // The platform fills in the settings before the start; nothing in them
  // changes what a running daemon does.
  std::signal(SIGHUP, SIG_IGN);
  loop.on_termination(
      [&] { daemon.shut_down([] { std::_Exit(EXIT_SUCCESS); }); });
  loop.run();
  return absl::InternalError("the event loop ended by itself");
}

}  // namespace

int main(int argc, char** argv) {
  auto args = docopt::docopt(usage, {argv + 1, argv + argc}, true,
                             "fulmar-front " FULMAR_VERSION);
  std::signal(SIGPIPE, SIG_IGN);
  auto path = settings_path(args);
  auto file = std::ifstream(path);
  if (!file) {
    std::cerr << "fulmar-front: can't read the settings '" << path << "'\n";
    return EXIT_FAILURE;
  }
  auto text = std::ostringstream();
  text << file.rdbuf();
  auto settings = fulmar::platform::decode_settings(text.str());
  if (!settings.ok()) {
    std::cerr << "fulmar-front: " << path << ": " << settings.status().message()
              << '\n';
    return EXIT_FAILURE;
  }
  if (args.at("--check").asBool()) return EXIT_SUCCESS;
  auto status = serve(*settings);
  std::cerr << "fulmar-front: " << status.message() << std::endl;
  std::_Exit(EXIT_FAILURE);
}
