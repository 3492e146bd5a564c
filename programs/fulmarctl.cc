#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fulmarpitch/control/commands.h"
#include "fulmarpitch/core/settings.h"
#include "fulmarpitch/net/event-loop.h"
#include "fulmarpitch/net/http.h"

namespace fulmar {
namespace {

constexpr instant answer_timeout = std::chrono::seconds(60);

void write_to(std::FILE* out, std::string_view text) {
  std::fwrite(text.data(), 1, text.size(), out);
  std::fflush(out);
}

absl::StatusOr<http_response> fetch_and_wait(const std::string& address,
                                             http_request request) {
  auto loop = event_loop();
  auto answer = absl::StatusOr<http_response>();
  fetch(loop,
        {.address = address,
         .request = std::move(request),
         .idle_timeout = answer_timeout},
        [&](absl::StatusOr<http_response> it) {
          answer = std::move(it);
          loop.stop();
        });
  loop.run();
  return answer;
}

int run(const std::vector<std::string>& args) {
  auto values = settings::parse(std::string(control_usage()), args);
  if (!values.errors().empty()) return report_errors(values);
  const auto operators = values.address("--operator");
  const auto callers = values.address("--entry");
  const auto links = control_links{
      .call =
          [&](control_port port, http_request request) {
            return fetch_and_wait(
                port == control_port::operators ? operators : callers,
                std::move(request));
          },
      .pause = [](instant time) { std::this_thread::sleep_for(time); },
      .print = [](std::string_view text) { write_to(stdout, text); },
      .warn = [](std::string_view text) { write_to(stderr, text); },
      .is_terminal = isatty(STDERR_FILENO) != 0,
  };
  return static_cast<int>(run_control(values, links));
}

}  // namespace
}  // namespace fulmar

int main(int argc, char** argv) {
  return fulmar::run({argv + 1, argv + argc});
}
