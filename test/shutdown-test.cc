// End-to-end tests over loopback of requests that arrive late in the grace of a
// daemon that shuts down.

#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

#include "serving-fixture.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

constexpr auto head = std::string_view(
    "POST /once/1 HTTP/1.1\r\nHost: h\r\nFulmarpitch-Attempt-Id: a1\r\n"
    "Content-Length: 6\r\n");

/// Sends a request whose last bytes follow some time after the others.
/// \return all that the daemon sends.
std::string send_slowly(fixture& it, std::string_view fields, instant pause) {
  auto out = std::string();
  asio::co_spawn(
      io_of(it.loop),
      [](fixture& at, std::string text, instant wait,
         std::string& to) -> task<void> {
        auto socket = tcp::socket(io_of(at.loop));
        socket.connect({asio::ip::make_address("127.0.0.1"), at.ports.client});
        asio::write(socket, asio::buffer(text + "pro"));
        co_await pause_for(wait);
        asio::write(socket, asio::buffer("mpt", 3));
        (void)co_await asio::async_read(socket, asio::dynamic_buffer(to),
                                        as_result);
        at.loop.stop();
      }(it, concat(head, fields, "\r\n"), pause, out),
      asio::detached);
  it.loop.run();
  return out;
}

}  // namespace

TEST_CASE("a request that may outlast its daemon is refused as not run") {
  auto& it = make_fixture();
  auto& target = it.add_target([](const std::string& request) {
    auto out = whole(request);
    out.delay = 8s;
    return out;
  });
  it.start();
  it.daemon->shut_down([] {});
  auto answer = send_slowly(it, "Fulmarpitch-Deadline-Ms: 6000\r\n", 5000ms);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(target.heads.empty());
}

TEST_CASE("a request that ends before its daemon is served") {
  auto& it = make_fixture();
  it.add_target(whole);
  it.start();
  it.daemon->shut_down([] {});
  auto answer = send_slowly(it, "Fulmarpitch-Deadline-Ms: 1000\r\n", 3500ms);
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.ends_with("0\r\n\r\n"));
}

TEST_CASE("a job is not accepted in the last moments of a daemon") {
  auto& it = make_fixture();
  it.add_target(whole);
  it.start();
  it.daemon->shut_down([] {});
  auto answer = send_slowly(it, "", 6500ms);
  CHECK(answer.starts_with("HTTP/1.1 503"));
}
