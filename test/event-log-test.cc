#include "fulmarpitch/serving/event-log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <string>

using namespace fulmar::serving;

TEST_CASE("a log line is one JSON object whatever its values contain") {
  auto line = format_event(fulmar::instant(5), fulmar::instant(3), "request",
                           {{"request_id", std::string_view("a\"b\n")},
                            {"runs", std::uint64_t{2}},
                            {"ok", true}});
  CHECK(line.find('\n') == std::string::npos);
  auto in = boost::json::parse(line).as_object();
  CHECK(in["time_us"] == 5);
  CHECK(in["steady_us"] == 3);
  CHECK(in["event"] == "request");
  CHECK(in["request_id"] == "a\"b\n");
}

TEST_CASE("a blocked reader makes the log drop lines instead of blocking") {
  auto fds = std::array<int, 2>();
  REQUIRE(::pipe(fds.data()) == 0);
  auto log = event_log({.descriptor = fds[1],
                        .lines_per_second = 1'000'000,
                        .burst_lines = 1'000'000,
                        .max_pending_bytes = 4096});
  for (auto n = 0; n < 5000; ++n) {
    log.add("tick", {{"n", std::int64_t{n}}});
    log.flush();
  }
  CHECK(log.dropped() > 0);
  ::close(fds[0]);
  ::close(fds[1]);
}

TEST_CASE("lines beyond the rate limit are dropped and counted") {
  auto null = ::open("/dev/null", O_WRONLY);
  auto log =
      event_log({.descriptor = null, .lines_per_second = 0, .burst_lines = 3});
  for (auto n = 0; n < 10; ++n)
    log.add("tick", {});
  CHECK(log.dropped() == 7);
  ::close(null);
}
