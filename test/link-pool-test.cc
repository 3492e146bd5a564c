#include "fulmarpitch/net/link-pool.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>

#include "scripted-target.h"

using namespace fulmar;

namespace {

constexpr auto request_text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr auto answer_text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A pool of connections to one peer, which answers or falls silent.
struct pool_fixture {
  event_loop loop;
  scripted_target peer;
  link_pool pool;
  bool silent = false;

  explicit pool_fixture(link_pool_options options = {})
      : peer(loop,
             [this](const auto&) {
               return scripted_answer{.bytes = answer_text, .silent = silent};
             }),
        pool(io_of(loop), std::move(options)) {}

  link_ptr take() { return pool.take(peer.address()); }

  bool run(task<bool> work) {
    auto out = std::optional<bool>();
    asio::co_spawn(io_of(loop), std::move(work),
                   [&](const std::exception_ptr&, bool result) {
                     out = result;
                     loop.stop();
                   });
    loop.run();
    return out.value_or(false);
  }

  static task<bool> send(link_ptr link) {
    if (!link->is_open()) {
      auto connected = co_await link->connect();
      if (!connected.ok()) co_return false;
    }
    auto sent = co_await link->send(request_text, "");
    co_return sent.ok();
  }

  static task<bool> receive(link_ptr link) {
    auto head = co_await link->read_head();
    if (!head.ok()) co_return false;
    auto body = co_await link->read_rest(1);
    co_return body.ok();
  }

  /// Makes an exchange on a link and gives the link back.
  void use(const link_ptr& link) {
    REQUIRE(run(send(link)));
    REQUIRE(run(receive(link)));
    pool.give_back(link);
  }

  /// Opens connections and leaves them idle.
  void open_idle(int count) {
    auto links = std::vector<link_ptr>();
    for (auto n = 0; n < count; ++n) {
      links.push_back(take());
      REQUIRE(run(send(links.back())));
    }
    for (const auto& it : links) {
      REQUIRE(run(receive(it)));
      pool.give_back(it);
    }
    REQUIRE(peer.open == count);
  }

  /// Lets the time of a request run out that the peer has not answered.
  void expire(const link_ptr& link) {
    auto now = event_loop::steady();
    link->expire_at(now);
    loop.post([this, now] { pool.links().close_expired(now); });
    REQUIRE_FALSE(run(receive(link)));
  }
};

}  // namespace

// Connections that are idle for as long may have fallen silent with it: each of
// them would cost another timeout.
TEST_CASE("a request that times out drops the idle connections") {
  auto it = pool_fixture();
  it.open_idle(4);
  it.silent = true;
  auto link = it.take();
  REQUIRE(link->is_open());
  REQUIRE(it.run(pool_fixture::send(link)));
  it.expire(link);
  it.silent = false;
  auto next = it.take();
  CHECK_FALSE(next->is_open());
  it.use(next);
  CHECK(it.take() == next);
}

TEST_CASE("a connection that answered since the request was sent is kept") {
  auto it = pool_fixture();
  it.open_idle(2);
  it.silent = true;
  auto link = it.take();
  REQUIRE(it.run(pool_fixture::send(link)));
  it.silent = false;
  auto other = it.take();
  it.use(other);
  it.expire(link);
  CHECK(it.take() == other);
}

TEST_CASE("other addresses keep their idle connections") {
  auto it = pool_fixture();
  auto other = scripted_target(it.loop, [](const auto&) {
    return scripted_answer{.bytes = answer_text};
  });
  auto kept = it.pool.take(other.address());
  it.use(kept);
  it.open_idle(1);
  it.silent = true;
  auto link = it.take();
  REQUIRE(it.run(pool_fixture::send(link)));
  it.expire(link);
  CHECK(it.pool.take(other.address()) == kept);
}

// A request may wait in a target's queue until its deadline.
TEST_CASE("deadlines of requests that may queue drop no connections") {
  auto it = pool_fixture({.timeouts_show_silence = false});
  it.open_idle(2);
  it.silent = true;
  auto link = it.take();
  REQUIRE(it.run(pool_fixture::send(link)));
  it.expire(link);
  CHECK(it.take()->is_open());
}
