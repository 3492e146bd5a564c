#include "fulmarpitch/net/http.h"

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <thread>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/coroutine.h"

using namespace fulmar;

namespace {

constexpr auto give_up = std::chrono::seconds(20);

struct fixture {
  event_loop loop;
  std::unique_ptr<http_server> server;

  explicit fixture(http_server::handler take,
                   http_server::streams_body streams = {}) {
    server = std::make_unique<http_server>(
        loop, http_server_options{.max_body_bytes = 1000}, std::move(take),
        std::move(streams));
    REQUIRE(server->start().ok());
    loop.after(give_up, [this] { loop.stop(); });
  }

  std::string address() const { return concat("127.0.0.1:", server->port()); }

  absl::StatusOr<http_response> call(http_request request) {
    auto out = absl::StatusOr<http_response>(absl::UnknownError("no answer"));
    fetch(loop, {.address = address(), .request = std::move(request)},
          [&](auto answer) {
            out = std::move(answer);
            loop.stop();
          });
    loop.run();
    return out;
  }
};

/// A client that keeps its connection and sends requests by hand.
struct kept_client {
  kept_client(event_loop& event_loop, std::uint16_t port)
      : loop(event_loop), socket(io_of(loop)) {
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
  }

  void send(const std::string& path) {
    asio::write(socket, asio::buffer(concat("POST ", path,
                                            " HTTP/1.1\r\nHost: h\r\n"
                                            "Content-Length: 4\r\n\r\ntext")));
  }

  /// \return the status line of the next answer; empty if the connection ended.
  std::string read_status() {
    auto out = std::string();
    asio::co_spawn(
        io_of(loop),
        [](kept_client& it, std::string& to) -> task<void> {
          auto [ec, n] = co_await asio::async_read_until(
              it.socket, asio::dynamic_buffer(it.input), "POSTtext", as_result);
          it.is_ended = ec == asio::error::eof;
          if (!ec) to = it.input.substr(0, it.input.find("\r\n"));
          it.answer = it.input.substr(0, n);
          it.input.erase(0, n);
          it.loop.stop();
        }(*this, out),
        asio::detached);
    loop.run();
    return out;
  }

  event_loop& loop;
  tcp::socket socket;
  std::string input;
  /// The server has closed the connection in its direction.
  bool is_ended = false;
  /// The last answer that was read.
  std::string answer;
};

void echo(const std::shared_ptr<http_exchange>& it) {
  it->respond({.body = it->request().method + it->request().body});
}

}  // namespace

TEST_CASE("a request is answered whole") {
  auto it = fixture(echo);
  auto answer = it.call({.method = "POST", .target = "/a", .body = "text"});
  REQUIRE(answer.ok());
  CHECK(answer->status == 200);
  CHECK(answer->body == "POSTtext");
}

TEST_CASE("a body over the limit is refused with a typed error") {
  auto it = fixture(echo);
  auto answer = it.call({.method = "POST", .body = std::string(1001, 'x')});
  REQUIRE(answer.ok());
  CHECK(answer->status == 413);
  CHECK(answer->body.find("too_large") != std::string::npos);
}

TEST_CASE("a streamed answer arrives in order and ends") {
  auto it = fixture([](const auto& exchange) {
    exchange->start_stream({});
    for (auto i = 0; i < 100; ++i)
      exchange->write(concat(i, ","));
    exchange->finish();
  });
  auto answer = it.call({});
  REQUIRE(answer.ok());
  auto expected = std::string();
  for (auto i = 0; i < 100; ++i)
    expected += concat(i, ",");
  CHECK(answer->body == expected);
}

TEST_CASE("a streamed request body is read in pieces") {
  auto total = std::size_t{0};
  auto it = fixture(
      [&](const std::shared_ptr<http_exchange>& exchange) {
        auto read = std::make_shared<std::function<void()>>();
        *read = [&total, exchange, read] {
          exchange->read_body([&total, exchange, read](auto piece) {
            REQUIRE(piece.ok());
            total += piece->size();
            if (!piece->empty()) {
              (*read)();
              return;
            }
            exchange->respond({.body = "read"});
            exchange->read_body([read](const auto&) { *read = nullptr; });
          });
        };
        (*read)();
      },
      [](const http_request& head) { return head.target == "/files"; });
  auto answer = it.call({.method = "POST",
                         .target = "/files",
                         .body = std::string(300'000, 'x')});
  REQUIRE(answer.ok());
  CHECK(total == 300'000);
}

TEST_CASE("a call to nobody has not run") {
  auto port = std::string();
  {
    auto it = fixture(echo);
    port = it.address();
  }
  auto loop = event_loop();
  auto status = absl::Status();
  fetch(loop, {.address = port}, [&](const auto& answer) {
    status = answer.status();
    loop.stop();
  });
  loop.run();
  CHECK(code_of(status) == error_code::attempt_failed);
  CHECK(outcome_of(status) == outcome::not_run);
}

TEST_CASE("a server that hears its client go is told") {
  auto told = false;
  auto call = std::shared_ptr<http_call>();
  auto kept = std::shared_ptr<http_exchange>();
  auto it = fixture([&](const auto& exchange) {
    kept = exchange;
    exchange->on_closed([&] { told = true; });
    call->cancel();
  });
  auto status = absl::Status();
  call = start_call(it.loop, {.address = it.address()},
                    {.on_end = [&](const absl::Status& end) { status = end; }});
  it.loop.every(std::chrono::milliseconds(1), [&] {
    if (told) it.loop.stop();
  });
  it.loop.run();
  CHECK(told);
  CHECK(code_of(status) == error_code::cancelled);
  kept.reset();
  call.reset();
}

TEST_CASE("a request that is read when its connection's idle time ends") {
  auto it = fixture(echo);
  constexpr auto idle_timeout = std::chrono::milliseconds(300);
  it.server->set_limits({.idle_timeout = idle_timeout});
  auto client = kept_client(it.loop, it.server->port());
  client.send("/1");
  REQUIRE(client.read_status() == "HTTP/1.1 200 OK");
  // The request arrives in time, while the process stands still.
  it.loop.after(idle_timeout / 2, [&] {
    client.send("/2");
    std::this_thread::sleep_for(2 * idle_timeout);
  });
  CHECK(client.read_status() == "HTTP/1.1 200 OK");
}

TEST_CASE("a longer idle timeout holds for connections that wait already") {
  auto it = fixture(echo);
  constexpr auto idle_timeout = std::chrono::milliseconds(300);
  it.server->set_limits({.idle_timeout = idle_timeout});
  auto client = kept_client(it.loop, it.server->port());
  client.send("/1");
  REQUIRE(client.read_status() == "HTTP/1.1 200 OK");
  it.server->set_limits({.idle_timeout = std::chrono::seconds(30)});
  it.loop.after(5 * idle_timeout, [&] { client.send("/2"); });
  CHECK(client.read_status() == "HTTP/1.1 200 OK");
}

TEST_CASE("a connection that stays idle is closed") {
  auto it = fixture(echo);
  it.server->set_limits({.idle_timeout = std::chrono::milliseconds(300)});
  auto client = kept_client(it.loop, it.server->port());
  client.send("/1");
  REQUIRE(client.read_status() == "HTTP/1.1 200 OK");
  CHECK(client.read_status().empty());
  CHECK(client.is_ended);
}

TEST_CASE("a timeout that rises does not keep a half-closed connection open") {
  auto it = fixture(echo);
  it.server->set_limits({.idle_timeout = std::chrono::milliseconds(300)});
  auto ends = std::vector<ended_connection>();
  it.server->on_connection_end([&](const ended_connection& end) {
    ends.push_back(end);
    it.loop.stop();
  });
  auto client = kept_client(it.loop, it.server->port());
  client.send("/1");
  REQUIRE(client.read_status() == "HTTP/1.1 200 OK");
  REQUIRE(client.read_status().empty());
  it.server->set_limits({.idle_timeout = std::chrono::minutes(1)});
  it.loop.run();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].why == connection_end::idle);
}

TEST_CASE(
    "a request that arrives just after the stated idle time is answered") {
  auto it = fixture(echo);
  it.server->set_limits({.idle_timeout = std::chrono::milliseconds(1200)});
  auto client = kept_client(it.loop, it.server->port());
  client.send("/1");
  REQUIRE(client.read_status() == "HTTP/1.1 200 OK");
  CHECK(client.answer.find("Keep-Alive: timeout=1\r\n") != std::string::npos);
  it.loop.after(std::chrono::milliseconds(1900), [&] { client.send("/2"); });
  CHECK(client.read_status() == "HTTP/1.1 200 OK");
}

TEST_CASE("a timeout that falls during an answer leaves its stated idle time") {
  auto kept = std::shared_ptr<http_exchange>();
  auto it = fixture([&](const auto& exchange) {
    if (exchange->request().target == "/2") return echo(exchange);
    exchange->start_stream({});
    kept = exchange;
  });
  constexpr auto before = std::chrono::milliseconds(300);
  it.server->set_limits({.idle_timeout = before});
  auto client = kept_client(it.loop, it.server->port());
  client.send("/2");
  REQUIRE(client.read_status() == "HTTP/1.1 200 OK");
  it.server->set_limits({.idle_timeout = std::chrono::seconds(3)});
  client.send("/1");
  it.loop.after(std::chrono::milliseconds(100), [&] {
    it.server->set_limits({.idle_timeout = before});
    kept->write("POSTtext");
    kept->finish();
    kept.reset();
  });
  REQUIRE(client.read_status() == "HTTP/1.1 200 OK");
  CHECK(client.answer.find("Keep-Alive: timeout=3\r\n") != std::string::npos);
  // The end of the chunks.
  client.input.clear();
  it.loop.after(std::chrono::milliseconds(2800), [&] { client.send("/2"); });
  CHECK(client.read_status() == "HTTP/1.1 200 OK");
}

TEST_CASE("a request behind the close of an idle connection is reported") {
  auto it = fixture(echo);
  it.server->set_limits({.idle_timeout = std::chrono::milliseconds(300)});
  auto ends = std::vector<ended_connection>();
  it.server->on_connection_end([&](const ended_connection& end) {
    ends.push_back(end);
    it.loop.stop();
  });
  auto client = kept_client(it.loop, it.server->port());
  client.send("/1");
  REQUIRE(client.read_status() == "HTTP/1.1 200 OK");
  REQUIRE(client.read_status().empty());
  REQUIRE(client.is_ended);
  client.send("/2");
  it.loop.run();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].why == connection_end::idle);
  CHECK(ends[0].crossed);
}

TEST_CASE("the end of a connection names the request that is not answered") {
  auto it = fixture([](const auto& exchange) {
    exchange->start_stream({});
    exchange->abort();
  });
  auto target = std::string();
  it.server->on_connection_end([&](const ended_connection& end) {
    CHECK(end.why == connection_end::answer_broken_off);
    if (end.unanswered != nullptr) target = end.unanswered->target;
  });
  CHECK_FALSE(it.call({.target = "/begun"}).ok());
  CHECK(target == "/begun");
}

TEST_CASE("a connection beyond the limit is refused, not closed silently") {
  auto it = fixture(echo);
  it.server->set_limits({.max_connections = 1});
  auto first = kept_client(it.loop, it.server->port());
  first.send("/1");
  REQUIRE(first.read_status() == "HTTP/1.1 200 OK");
  auto answer = it.call({.method = "POST", .body = "text"});
  REQUIRE(answer.ok());
  CHECK(answer->status == 503);
  CHECK(answer->body.find("not_run") != std::string::npos);
  first.send("/2");
  CHECK(first.read_status() == "HTTP/1.1 200 OK");
}

TEST_CASE("a request that arrives while the process stands still is read") {
  auto it = fixture(echo);
  constexpr auto timeout = std::chrono::milliseconds(300);
  it.server->set_limits({.client_timeout = timeout, .header_timeout = timeout});
  auto client = kept_client(it.loop, it.server->port());
  auto request = std::string(
      "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\ntext");
  auto cut = GENERATE_COPY(std::size_t{10}, request.size() - 2);
  asio::write(client.socket, asio::buffer(request.substr(0, cut)));
  // The rest arrives in time; the process goes on after the deadline.
  it.loop.after(timeout / 3, [&] {
    asio::write(client.socket, asio::buffer(request.substr(cut)));
    std::this_thread::sleep_for(2 * timeout);
  });
  CHECK(client.read_status() == "HTTP/1.1 200 OK");
}

TEST_CASE("a request that does not arrive in time is refused") {
  auto it = fixture(echo);
  constexpr auto timeout = std::chrono::milliseconds(300);
  it.server->set_limits({.client_timeout = timeout, .header_timeout = timeout});
  auto client = kept_client(it.loop, it.server->port());
  auto request = std::string(
      "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\ntext");
  auto cut = GENERATE_COPY(std::size_t{10}, request.size() - 2);
  asio::write(client.socket, asio::buffer(request.substr(0, cut)));
  asio::co_spawn(
      io_of(it.loop),
      [](kept_client& to) -> task<void> {
        (void)co_await asio::async_read_until(
            to.socket, asio::dynamic_buffer(to.input), "not_run", as_result);
        to.loop.stop();
      }(client),
      asio::detached);
  it.loop.run();
  CHECK(client.input.starts_with("HTTP/1.1 408"));
}

// Each client has a limit; together they must leave memory to others.
TEST_CASE("clients that take nothing are limited in all") {
  constexpr std::size_t most = std::size_t{20} * 1024 * 1024;
  constexpr std::size_t answer = std::size_t{12} * 1024 * 1024;
  constexpr int stuck_clients = 4;
  auto it = fixture([&](const auto& exchange) {
    exchange->respond({.body = std::string(answer, 'x')});
  });
  it.server->set_limits({.max_all_unsent_bytes = most});
  auto clients = std::deque<kept_client>();
  auto highest = std::size_t{0};
  for (auto n = 0; n < stuck_clients; ++n) {
    clients.emplace_back(it.loop, it.server->port()).send("/stuck");
    it.loop.after(std::chrono::milliseconds(50), [&] { it.loop.stop(); });
    it.loop.run();
    highest = std::max(highest, it.server->unsent_bytes());
  }
  CHECK(highest > 0);
  CHECK(highest <= most);
  clients.clear();
  it.loop.after(std::chrono::milliseconds(50), [&] { it.loop.stop(); });
  it.loop.run();
  CHECK(it.server->unsent_bytes() == 0);
}

TEST_CASE("an answer that is not taken yet counts as open") {
  constexpr std::size_t answer = std::size_t{12} * 1024 * 1024;
  auto it = fixture([&](const auto& exchange) {
    exchange->respond({.body = std::string(answer, 'x')});
  });
  auto client = kept_client(it.loop, it.server->port());
  client.send("/large");
  it.loop.after(std::chrono::milliseconds(50), [&] { it.loop.stop(); });
  it.loop.run();
  REQUIRE(it.server->unsent_bytes() > 0);
  CHECK(it.server->open_exchanges() == 1);
}

TEST_CASE("a request that its handler drops is answered") {
  auto it = fixture([](const auto& exchange) {
    if (exchange->request().target == "/begun") exchange->start_stream({});
  });
  auto answer = it.call({.target = "/none"});
  REQUIRE(answer.ok());
  CHECK(answer->status == 500);
  CHECK_FALSE(it.call({.target = "/begun"}).ok());
}

TEST_CASE("a refusal reaches a client that goes on sending") {
  auto it = fixture(echo);
  auto client = kept_client(it.loop, it.server->port());
  auto sent = false;
  asio::co_spawn(
      io_of(it.loop),
      [](kept_client& to, bool& whole) -> task<void> {
        constexpr auto pieces = 20;
        const auto piece = std::string(10'000, 'x');
        auto next = concat("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ",
                           pieces * piece.size(), "\r\n\r\n");
        whole = true;
        for (auto n = 0; n <= pieces; ++n, next = piece) {
          auto [ec, size] = co_await asio::async_write(
              to.socket, asio::buffer(next), as_result);
          if (ec) whole = false;
          co_await pause_for(std::chrono::milliseconds(5));
        }
        (void)co_await asio::async_read_until(
            to.socket, asio::dynamic_buffer(to.input), "not_run", as_result);
        to.loop.stop();
      }(client, sent),
      asio::detached);
  it.loop.run();
  CHECK(sent);
  CHECK(client.input.starts_with("HTTP/1.1 413"));
}
