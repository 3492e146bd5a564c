// What the two HTTP clients take as an answer: the one of the serving daemon,
// and the one of the tools and of the daemon without the users' platform.

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>

#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/http-link.h"
#include "fulmarpitch/net/http.h"

using namespace fulmar;
using namespace std::chrono_literals;

namespace {

enum class client_kind { link, call };

enum class connection_close { orderly, reset };

/// What a peer does with one request.
struct peer_script {
  std::string bytes;
  connection_close close = connection_close::orderly;
  /// Answers as soon as the head has arrived, and reads no body.
  bool ignores_body = false;
  /// Ends its sending side before it closes.
  bool shuts_down = false;
};

/// What a client got.
struct received {
  int status = 0;
  std::vector<http_header> headers;
  std::string body;
};

constexpr std::size_t max_body_bytes = std::size_t{1024} * 1024;

/// Time for bytes on loopback to arrive.
constexpr auto arrival_delay = 50ms;

std::string request_head(const std::string& body) {
  return concat("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ", body.size(),
                "\r\n\r\n");
}

task<void> serve(tcp::acceptor& acceptor, peer_script script,
                 std::size_t body_bytes) {
  auto [ec, socket] = co_await acceptor.async_accept(as_result);
  auto input = std::string();
  auto [ec2, n] = co_await asio::async_read_until(
      socket, asio::dynamic_buffer(input), "\r\n\r\n", as_result);
  if (!script.ignores_body && input.size() < n + body_bytes) {
    auto rest = std::string(n + body_bytes - input.size(), '\0');
    co_await asio::async_read(socket, asio::buffer(rest), as_result);
  }
  co_await asio::async_write(socket, asio::buffer(script.bytes), as_result);
  auto ignored = boost::system::error_code();
  if (script.shuts_down) socket.shutdown(tcp::socket::shutdown_send, ignored);
  co_await pause_for(arrival_delay);
  if (script.close == connection_close::reset)
    socket.set_option(tcp::socket::linger(true, 0), ignored);
  socket.close(ignored);
}

task<absl::StatusOr<received>> fetch_by_link(asio::io_context& io,
                                             std::string address,
                                             std::string body) {
  auto link = http_link(io, std::make_shared<link_table>(), address);
  auto connected = co_await link.connect();
  if (!connected.ok()) co_return connected;
  auto head_text = request_head(body);
  auto sent = co_await link.send(head_text, body);
  if (!sent.ok()) co_return sent;
  auto head = co_await link.read_head();
  if (!head.ok()) co_return head.status();
  auto rest = co_await link.read_rest(max_body_bytes);
  if (!rest.ok()) co_return rest.status();
  auto out = received{.status = head->status,
                      .headers = std::move(head->headers),
                      .body = std::move(*rest)};
  co_return out;
}

/// Makes one request to a peer.
/// \return the answer, if the client takes what it gets as a complete one.
std::optional<received> exchange(client_kind client, peer_script script,
                                 const std::string& body = {}) {
  auto loop = event_loop();
  auto& io = io_of(loop);
  auto acceptor = tcp::acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  auto address = concat("127.0.0.1:", acceptor.local_endpoint().port());
  asio::co_spawn(io, serve(acceptor, std::move(script), body.size()),
                 report_failure);
  auto out = std::optional<received>();
  if (client == client_kind::link) {
    asio::co_spawn(io, fetch_by_link(io, address, body),
                   [&](const std::exception_ptr&, auto answer) {
                     if (answer.ok()) out = std::move(*answer);
                     loop.stop();
                   });
  } else {
    fetch(loop,
          {.address = address, .request = {.method = "POST", .body = body}},
          [&](auto answer) {
            if (answer.ok())
              out = {.status = answer->status,
                     .headers = std::move(answer->headers),
                     .body = std::move(answer->body)};
            loop.stop();
          });
  }
  loop.run();
  return out;
}

std::string answer_with(const std::string& status_line,
                        const std::string& fields = {}) {
  return concat(status_line, "\r\n", fields, "Content-Length: 2\r\n\r\nok");
}

}  // namespace

// A target in trouble sent the status 000, and its client got it as an answer.
TEST_CASE("a status outside 200 to 599 is no answer") {
  auto client = GENERATE(client_kind::link, client_kind::call);
  const auto* status =
      GENERATE("000", "001", "099", "101", "600", "700", "999");
  CAPTURE(status);
  CHECK_FALSE(exchange(
      client, {.bytes = answer_with(concat("HTTP/1.1 ", status, " Odd"))}));
  CHECK_FALSE(exchange(
      client, {.bytes = concat("HTTP/1.1 ", status, " Odd\r\n\r\nok")}));
}

TEST_CASE("a status line that is none is no answer") {
  auto client = GENERATE(client_kind::link, client_kind::call);
  const auto* line =
      GENERATE("HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK",
               "HTTP/1.1 -20 OK", "HTTP/1.1  200 OK", "HTTP/2.0 200 OK",
               "ICY 200 OK", "HTTP/1.1 200 O\001K", "");
  CAPTURE(line);
  CHECK_FALSE(exchange(client, {.bytes = answer_with(line)}));
}

TEST_CASE("statuses of answers are taken as they are") {
  auto client = GENERATE(client_kind::link, client_kind::call);
  auto status = GENERATE(200, 201, 299, 302, 404, 429, 500, 503, 599);
  auto answer = exchange(
      client, {.bytes = answer_with(concat("HTTP/1.1 ", status, " Any"))});
  REQUIRE(answer);
  CHECK(answer->status == status);
  CHECK(answer->body == "ok");
}

TEST_CASE("interim answers are passed over") {
  auto client = GENERATE(client_kind::link, client_kind::call);
  const auto* interim = GENERATE("100 Continue", "102 Processing",
                                 "103 Early Hints", "199 Other");
  auto head = concat("HTTP/1.1 ", interim, "\r\nX-Interim: 1\r\n\r\n");
  auto answer = exchange(
      client, {.bytes = concat(head, head, answer_with("HTTP/1.1 200 OK"))});
  REQUIRE(answer);
  CHECK(answer->status == 200);
  CHECK(answer->body == "ok");
  CHECK(find_header(answer->headers, "X-Interim").empty());
}

TEST_CASE("interim answers alone are no answer") {
  auto client = GENERATE(client_kind::link, client_kind::call);
  auto count = GENERATE(1, 1000);
  auto bytes = std::string();
  for (auto n = 0; n < count; ++n)
    bytes += "HTTP/1.1 103 Early Hints\r\n\r\n";
  CHECK_FALSE(exchange(client, {.bytes = bytes}));
}

TEST_CASE("a field that no head may have makes it no answer") {
  auto client = GENERATE(client_kind::link, client_kind::call);
  const auto* line = GENERATE(
      "X Y: 1", "X : 1", "X\t: 1", "X\001Y: 1", "X\177: 1", "X\200: 1", ": 1",
      "X", "(X): 1", "X: a\001b", "X: a\rb", "X: a\177b", "X: a\vb",
      "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, gzip",
      "Transfer-Encoding: gzip", "Transfer-Encoding: chunked",
      "Content-Length: 3", "Content-Length: +2", "Content-Length: -2",
      "Content-Length: 2, 3", "Content-Length: ");
  CAPTURE(line);
  CHECK_FALSE(exchange(
      client, {.bytes = answer_with("HTTP/1.1 200 OK", concat(line, "\r\n"))}));
}

TEST_CASE("a body in another transfer coding than chunks is no answer") {
  auto client = GENERATE(client_kind::link, client_kind::call);
  const auto* coding = GENERATE("gzip, chunked", "chunked, chunked", "identity",
                                "x\r\nTransfer-Encoding: chunked");
  CAPTURE(coding);
  CHECK_FALSE(exchange(
      client, {.bytes = concat("HTTP/1.1 200 OK\r\nTransfer-Encoding: ", coding,
                               "\r\n\r\n2\r\nok\r\n0\r\n\r\n")}));
}

TEST_CASE("a field value with a NUL byte makes a head no answer") {
  auto client = GENERATE(client_kind::link, client_kind::call);
  auto line = std::string("X: a\0b\r\n", 8);
  CHECK_FALSE(
      exchange(client, {.bytes = answer_with("HTTP/1.1 200 OK", line)}));
}

TEST_CASE("unusual fields that a head may have are taken") {
  auto client = GENERATE(client_kind::link, client_kind::call);
  const auto* line = GENERATE("!#$%&'*+-.^_`|~09az: 1", "X:", "X: a\tb",
                              "X: \303\244", "Content-Length: 2");
  CAPTURE(line);
  auto answer = exchange(
      client, {.bytes = answer_with("HTTP/1.1 200 OK", concat(line, "\r\n"))});
  REQUIRE(answer);
  CHECK(answer->body == "ok");
}

TEST_CASE("answers that have no body are complete with their head") {
  auto client = GENERATE(client_kind::link, client_kind::call);
  const auto* status = GENERATE("204 No Content", "304 Not Modified");
  const auto* field =
      GENERATE("", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n");
  CAPTURE(status, field);
  auto answer = exchange(
      client, {.bytes = concat("HTTP/1.1 ", status, "\r\n", field, "\r\n")});
  REQUIRE(answer);
  CHECK(answer->body.empty());
}

TEST_CASE("a body without a length ends with an orderly close only") {
  auto client = GENERATE(client_kind::link, client_kind::call);
  const auto* text = "HTTP/1.1 200 OK\r\n\r\npart";
  auto answer = exchange(client, {.bytes = text});
  REQUIRE(answer);
  CHECK(answer->body == "part");
  CHECK_FALSE(
      exchange(client, {.bytes = text, .close = connection_close::reset}));
}

// The reset may reach the client while it writes, or after the kernel has taken
// its whole request. Closing with unread bytes resets the connection, too.
TEST_CASE("an answer that is reset during the upload is not complete") {
  auto client = GENERATE(client_kind::link, client_kind::call);
  auto upload = GENERATE(std::size_t{64} * 1024, std::size_t{1024} * 1024,
                         std::size_t{32} * 1024 * 1024);
  auto close = GENERATE(connection_close::orderly, connection_close::reset);
  CAPTURE(static_cast<int>(client), upload, static_cast<int>(close));
  CHECK_FALSE(exchange(client,
                       {.bytes = "HTTP/1.1 200 OK\r\n\r\npart",
                        .close = close,
                        .ignores_body = true},
                       std::string(upload, 'x')));
}

TEST_CASE("an answer that ends before the upload is not complete") {
  auto client = GENERATE(client_kind::link, client_kind::call);
  constexpr auto upload = std::size_t{32} * 1024 * 1024;
  CHECK_FALSE(exchange(client,
                       {.bytes = "HTTP/1.1 200 OK\r\n\r\npart",
                        .ignores_body = true,
                        .shuts_down = true},
                       std::string(upload, 'x')));
}
