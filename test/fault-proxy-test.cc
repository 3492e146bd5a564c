#include "fulmarpitch/soak/fault-proxy.h"

#include <catch2/catch.hpp>

#include "fulmarpitch/soak/soak-target.h"
#include "platform/names.h"

using namespace fulmar;
using namespace fulmar::soak;
using namespace std::chrono_literals;

namespace {

struct fixture {
  explicit fixture(std::uint32_t event_count = 3, instant event_time = 1ms)
      : events(event_count),
        target(loop,
               {.id = "t", .events = event_count, .event_time = event_time},
               [this](const auto&, const auto&) { ++runs; }) {}

  event_loop loop;
  int runs = 0;
  std::uint32_t events;
  /// Long where an answer is expected, so that a busy machine changes nothing.
  instant patience = 5s;
  soak_target target;
  fault_proxy proxy{loop, target.address()};

  absl::StatusOr<http_response> call(const std::string& expected = "t") {
    auto out = absl::StatusOr<http_response>(absl::UnknownError("no answer"));
    auto request = http_request{.method = "POST", .target = "/x"};
    request.headers = {
        {std::string(platform::header::request_id), "r"},
        {std::string(platform::header::expected_target), expected}};
    fetch(loop,
          {.address = proxy.address(),
           .request = std::move(request),
           .idle_timeout = patience},
          [&](auto answer) {
            out = std::move(answer);
            loop.stop();
          });
    loop.run();
    return out;
  }
};

/// Coroutines that still wait hold references, so a fixture lives as long as
/// the process.
template <typename... Arguments>
fixture& make_fixture(Arguments... arguments) {
  static auto* all = new std::list<fixture>();
  return all->emplace_back(arguments...);
}

}  // namespace

TEST_CASE("an unharmed proxy passes everything on") {
  auto& it = make_fixture();
  auto answer = it.call();
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_stream("r", 3));
  CHECK(it.runs == 1);
}

TEST_CASE("a target refuses what is meant for another") {
  auto& it = make_fixture();
  CHECK(it.call("u")->status == 421);
  CHECK(it.runs == 0);
}

TEST_CASE("a harmed proxy carries no answer, and heals") {
  auto fault =
      GENERATE(link_fault::reset, link_fault::cut_one_way, link_fault::cut);
  auto& it = make_fixture();
  it.proxy.set(fault);
  it.patience = 500ms;
  CHECK_FALSE(it.call().ok());
  it.proxy.set(link_fault::none);
  it.patience = 5s;
  CHECK(it.call().ok());
}

TEST_CASE("delays change no byte") {
  auto& it = make_fixture();
  it.proxy.set(link_fault::delayed);
  CHECK(it.call()->body == whole_stream("r", 3));
}

TEST_CASE("a cut that ends leaves no gap in a stream") {
  auto& it = make_fixture(10U, 20ms);
  it.loop.after(50ms, [&] { it.proxy.set(link_fault::cut_one_way); });
  it.loop.after(110ms, [&] { it.proxy.set(link_fault::none); });
  auto answer = it.call();
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_stream("r", it.events));
}
