#include "fulmarpitch/core/rendezvous.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "fulmarpitch/core/text.h"

using namespace fulmar;

namespace {

std::vector<std::string> member_names(std::size_t n) {
  auto names = std::vector<std::string>();
  for (std::size_t i = 0; i < n; ++i)
    names.push_back(concat("vm-", i));
  return names;
}

}  // namespace

TEST_CASE("the stable hash never changes") {
  CHECK(hex(stable_hash("")) == "f52a15e9a9b5e89b");
  CHECK(hex(stable_hash("pool/etela/assistant")) == "abdbee00c9c535e2");
}

TEST_CASE("no members own nothing") {
  CHECK(rendezvous_owner("key", {}).empty());
}

TEST_CASE("a lost member moves its own keys only") {
  rc::prop("minimal disruption", [] {
    auto names = member_names(*rc::gen::inRange<std::size_t>(2, 40));
    auto lost = *rc::gen::elementOf(names);
    auto rest = names;
    std::erase(rest, lost);
    std::reverse(rest.begin(), rest.end());
    for (auto i = 0; i < 50; ++i) {
      auto key = concat("key-", i);
      auto before = rendezvous_owner(key, names);
      auto after = rendezvous_owner(key, rest);
      auto expected =
          before == lost ? rendezvous_owners(key, names, 2)[1] : before;
      RC_ASSERT(after == expected);
    }
  });
}

TEST_CASE("keys are spread evenly") {
  auto names = member_names(35);
  auto owned = std::map<std::string, int>();
  constexpr auto keys = 35'000;
  for (auto i = 0; i < keys; ++i) {
    ++owned[rendezvous_owner(concat("key-", i), names)];
  }
  CHECK(owned.size() == names.size());
  for (const auto& [name, n] : owned) {
    CHECK(n > 800);
    CHECK(n < 1200);
  }
}
