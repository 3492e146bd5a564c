// Peers whose bytes never end, in a head or a body.

#include <catch2/catch.hpp>
#include <string>

#include "endless-peer.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/event-splitter.h"
#include "fulmarpitch/net/http-link.h"
#include "fulmarpitch/net/http.h"

using namespace fulmar;

namespace {

constexpr auto megabyte = std::size_t{1024} * 1024;

/// What a reader may take before it closes, with the sockets' buffers.
constexpr auto max_received_bytes = 16 * megabyte;

struct endless_answer {
  const char* name;
  std::string first;
  std::string again;
};

}  // namespace

TEST_CASE("an answer without an end is closed after a bounded part of it") {
  const auto filler = std::string(4096, 'x');
  const auto chunked =
      std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  auto it = GENERATE_COPY(values<endless_answer>(
      {{"bytes that are no answer", "", filler},
       {"a status line", "HTTP/1.1 200 ", filler},
       {"a header line", "HTTP/1.1 200 OK\r\nX: ", filler},
       {"headers", "HTTP/1.1 200 OK\r\n", concat("X: ", filler, "\r\n")},
       {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
       {"a body with its connection's end", "HTTP/1.1 200 OK\r\n\r\n", filler},
       {"chunks", chunked, concat("1000\r\n", filler, "\r\n")},
       {"a chunk's size", chunked, std::string(4096, '0')},
       {"a chunk's extension", concat(chunked, "5;x="), filler},
       {"trailers", concat(chunked, "0\r\n"), concat("X: ", filler, "\r\n")},
       {"a trailer", concat(chunked, "0\r\nX: "), filler}}));
  CAPTURE(it.name);
  auto io = asio::io_context();
  auto acceptor = tcp::acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  auto link = http_link(io, std::make_shared<link_table>(),
                        concat("127.0.0.1:", acceptor.local_endpoint().port()));
  auto taken = std::size_t{0};
  auto status = absl::Status();
  asio::co_spawn(io, send_endless_response(acceptor, it.first, it.again),
                 [&](auto, std::size_t n) { taken = n; });
  asio::co_spawn(io, fetch_whole(link), [&](auto, absl::Status end) {
    status = std::move(end);
    link.close();
  });
  io.run();
  CHECK(taken < max_received_bytes);
  CHECK_FALSE(status.ok());
}

TEST_CASE("a client whose request has no end is closed after a part of it") {
  const auto filler = std::string(4096, 'x');
  const auto chunked =
      std::string("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  auto it = GENERATE_COPY(values<endless_answer>(
      {{"a request line", "GET /", filler},
       {"headers", "GET / HTTP/1.1\r\n", concat("X: ", filler, "\r\n")},
       {"chunks", chunked, concat("1000\r\n", filler, "\r\n")},
       {"a chunk's extension", concat(chunked, "5;x="), filler},
       {"trailers", concat(chunked, "0\r\n"), concat("X: ", filler, "\r\n")}}));
  CAPTURE(it.name);
  auto loop = event_loop();
  auto requests = 0;
  auto server =
      http_server(loop, {}, [&](const auto& /*client*/) { ++requests; });
  REQUIRE(server.start().ok());
  auto taken = std::size_t{0};
  asio::co_spawn(
      io_of(loop),
      send_endless_request(io_of(loop), server.port(), it.first, it.again),
      [&](auto, std::size_t n) {
        taken = n;
        loop.stop();
      });
  loop.run();
  CHECK(taken < max_received_bytes);
  CHECK(requests == 0);
}

TEST_CASE("a stream without news is told from a long one") {
  auto in = event_splitter();
  const auto piece = concat("id: 1\ndata: ", std::string(4096, 'x'), "\n\n");
  auto fed = std::size_t{0};
  SECTION("each event brings news") {
    for (; fed < megabyte; fed += piece.size()) {
      in.feed(piece);
      while (in.next())
        in.note_news();
      REQUIRE_FALSE(in.is_endless());
    }
  }
  SECTION("events bring nothing new") {
    for (; fed < megabyte && !in.is_endless(); fed += piece.size()) {
      in.feed(piece);
      while (in.next())
        continue;
    }
    CHECK(in.is_endless());
    CHECK(fed < megabyte);
  }
  SECTION("an event has no end") {
    for (; fed < megabyte && !in.is_endless(); fed += 4096)
      in.feed(std::string(4096, 'x'));
    CHECK(in.is_endless());
    CHECK(fed < megabyte);
  }
}
