// Requests that end each target which begins to run them, over loopback.

#include <catch2/catch.hpp>

#include "serving-fixture.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

/// Ends when it runs this content, as a target that crashes; serves the rest.
scripted_target::script crashing() {
  return [](const std::string& head) {
    if (head.find(" /again/poison ") == std::string::npos) return whole(head);
    return scripted_answer{.close = true};
  };
}

std::size_t poison_runs(const fixture& it) {
  auto out = std::size_t{0};
  for (const auto& target : it.targets) {
    for (const auto& head : target.heads) {
      if (head.find(" /again/poison ") != std::string::npos) ++out;
    }
  }
  return out;
}

/// Time after the third end in which a daemon may not know of it yet.
constexpr auto contact_time = 4s;

constexpr std::size_t ends_until_known = 3;
constexpr std::size_t most_retries = 3;

}  // namespace

TEST_CASE("a request that ended three targets is retried three times at most") {
  auto& it = make_fixture();
  for (auto n = 0; n < 4; ++n)
    it.add_target(crashing());
  it.start(true);
  auto addresses = std::array{concat("127.0.0.1:", it.ports.client),
                              concat("127.0.0.2:", it.ports.client)};
  auto sent = 0;
  auto send = [&] {
    it.client_address = addresses[sent % addresses.size()];
    (void)it.post("/again/poison", concat("p", ++sent));
  };
  while (poison_runs(it) < ends_until_known)
    send();
  it.run_for(contact_time);
  auto known = poison_runs(it);
  for (auto n = 0; n < 12; ++n) {
    send();
    it.run_for(100ms);
  }
  CHECK(poison_runs(it) <= known + most_retries);
}
