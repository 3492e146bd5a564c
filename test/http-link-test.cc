#include "fulmarpitch/net/http-link.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <vector>

#include "endless-peer.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/coroutine.h"

using namespace fulmar;
using namespace std::chrono_literals;

namespace {

/// More than the buffers between two sockets hold.
constexpr std::size_t large_body = std::size_t{32} * 1024 * 1024;

/// Steps of the loop within which a connection opens.
constexpr int max_steps = 1000;

/// Bytes that the other side reads at a time.
constexpr std::size_t read_bytes = std::size_t{64} * 1024;

}  // namespace

TEST_CASE("bytes of a request that was given up don't arrive later") {
  auto io = asio::io_context();
  auto acceptor = tcp::acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  auto links = std::make_shared<link_table>();
  auto link = http_link(io, links,
                        concat("127.0.0.1:", acceptor.local_endpoint().port()));
  auto status = absl::Status();
  auto connected = false;
  asio::co_spawn(io, link.connect(), [&](auto, absl::Status it) {
    status = std::move(it);
    connected = true;
  });
  for (auto n = 0; n < max_steps && !connected; ++n)
    io.run_one();
  REQUIRE(connected);
  REQUIRE(status.ok());
  auto head = concat(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ", large_body, "\r\n\r\n");
  auto body = std::string(large_body, 'x');
  link.expire_at(instant());
  asio::co_spawn(io, link.send(head, body),
                 [&](auto, absl::Status it) { status = std::move(it); });
  // The loop ran out of work when the connection had opened.
  io.restart();
  auto other_side = acceptor.accept();
  io.poll();
  links->close_expired(instant(1));
  auto buf = std::vector<char>(read_bytes);
  auto end = boost::system::error_code();
  while (!end)
    other_side.read_some(asio::buffer(buf), end);
  CHECK(end == asio::error::connection_reset);
  io.poll();
  CHECK_FALSE(status.ok());
}

namespace {

task<void> fetch_many(asio::io_context& io, std::shared_ptr<link_table> links,
                      std::uint16_t port, std::size_t& most, int& refused) {
  auto link = http_link(io, links, concat("127.0.0.1:", port));
  auto connected = co_await link.connect();
  REQUIRE(connected.ok());
  auto sent = co_await link.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n", "");
  REQUIRE(sent.ok());
  auto head = co_await link.read_head();
  REQUIRE(head.ok());
  auto rest = co_await link.read_rest(large_body);
  most = std::max(most, links->kept_bytes());
  refused += rest.ok() ? 0 : 1;
}

}  // namespace

// Each answer has a limit; together they must leave memory to other requests.
TEST_CASE("answers without an end are limited in all") {
  constexpr int answers = 12;
  constexpr std::size_t most_kept = std::size_t{1024} * 1024;
  auto io = asio::io_context();
  auto links = std::make_shared<link_table>();
  links->limit_kept_bytes(most_kept);
  auto most = std::size_t{0};
  auto refused = 0;
  auto acceptors = std::deque<tcp::acceptor>();
  for (auto n = 0; n < answers; ++n) {
    auto& it = acceptors.emplace_back(
        io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    asio::co_spawn(io,
                   send_endless_response(it, "HTTP/1.1 200 OK\r\n\r\n",
                                         std::string(4096, 'x')),
                   asio::detached);
    asio::co_spawn(
        io, fetch_many(io, links, it.local_endpoint().port(), most, refused),
        asio::detached);
  }
  io.run();
  CHECK(refused == answers);
  CHECK(most <= most_kept + answers * min_kept_answer_bytes);
  CHECK(links->kept_bytes() == 0);
}
