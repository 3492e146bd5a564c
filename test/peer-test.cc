#include "fulmarpitch/net/peer.h"

#include <catch2/catch.hpp>

#include "fulmarpitch/core/text.h"

using namespace fulmar;

namespace {

constexpr auto give_up = std::chrono::seconds(20);

struct node {
  std::vector<std::string> from;
  std::vector<std::string> requests;
  std::vector<std::string> lost;
  peer_network net;

  node(event_loop& loop, const std::string& name, const std::string& secret)
      : net(
            loop,
            {.name = name,
             .secret = secret,
             .silence_limit = std::chrono::milliseconds(500),
             .keep_alive_period = std::chrono::milliseconds(50)},
            [this](const auto& peer, const auto& message) {
              from.push_back(peer);
              if (const auto* it = message.body.Ascancel()) {
                requests.push_back(it->request_id);
              }
            },
            [this](const auto& peer) { lost.push_back(peer); }) {
    REQUIRE(net.start().ok());
  }

  void send(const std::string& to, const std::string& id) {
    auto out = wire::cancelT();
    out.request_id = id;
    net.send(to, std::move(out));
  }

  std::string address() const { return concat("127.0.0.1:", net.port()); }
};

/// Runs the loop until a condition holds; a test that never gets there fails
/// on its own checks.
void run_until(event_loop& loop, const std::function<bool()>& condition) {
  auto end = event_loop::steady() + give_up;
  while (!condition() && event_loop::steady() < end) {
    loop.after(std::chrono::milliseconds(1), [&] { loop.stop(); });
    loop.run();
  }
}

}  // namespace

TEST_CASE("messages arrive in order, and answers need no second address") {
  auto loop = event_loop();
  auto a = node(loop, "a", "s");
  auto b = node(loop, "b", "s");
  a.net.set_address("b", b.address());
  auto expected = std::vector<std::string>();
  for (auto i = 0; i < 100; ++i) {
    expected.push_back(std::to_string(i));
    a.send("b", expected.back());
  }
  run_until(loop, [&] { return b.requests.size() == 100; });
  CHECK(b.requests == expected);
  CHECK(b.from.front() == "a");
  b.send("a", "back");
  run_until(loop, [&] { return !a.requests.empty(); });
  CHECK(a.requests == std::vector<std::string>{"back"});
  CHECK(a.lost.empty());
}

TEST_CASE("a peer without the secret is not heard") {
  auto loop = event_loop();
  auto a = node(loop, "a", "wrong");
  auto b = node(loop, "b", "right");
  a.net.set_address("b", b.address());
  a.send("b", "x");
  run_until(loop, [&] { return !a.lost.empty(); });
  CHECK(a.lost == std::vector<std::string>{"b"});
  CHECK(b.requests.empty());
}

TEST_CASE("a peer that is gone, unknown or unreachable is reported lost") {
  auto loop = event_loop();
  auto a = node(loop, "a", "s");
  a.send("nobody", "x");
  run_until(loop, [&] { return a.lost.size() == 1; });
  CHECK(a.lost == std::vector<std::string>{"nobody"});
  {
    auto b = node(loop, "b", "s");
    a.net.set_address("b", b.address());
    a.send("b", "x");
    run_until(loop, [&] { return !b.requests.empty(); });
  }
  run_until(loop, [&] { return a.lost.size() == 2; });
  CHECK(a.lost.back() == "b");
  a.send("b", "y");
  run_until(loop, [&] { return a.lost.size() == 3; });
  CHECK(a.lost.size() == 3);
}

TEST_CASE("a daemon's message to itself arrives later, on the loop") {
  auto loop = event_loop();
  auto a = node(loop, "a", "s");
  a.send("a", "x");
  CHECK(a.requests.empty());
  run_until(loop, [&] { return !a.requests.empty(); });
  CHECK(a.requests == std::vector<std::string>{"x"});
}
