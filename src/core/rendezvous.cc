#include "fulmarpitch/core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace fulmar {
namespace {

constexpr auto golden_ratio = 0x9e3779b97f4a7c15ULL;

// The finaliser of SplitMix64.
std::uint64_t mix(std::uint64_t x) {
  x ^= x >> 30U;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27U;
  x *= 0x94d049bb133111ebULL;
  x ^= x >> 31U;
  return x;
}

}  // namespace

std::uint64_t stable_hash(std::string_view bytes) {
  constexpr auto offset_basis = 0xcbf29ce484222325ULL;
  constexpr auto prime = 0x100000001b3ULL;
  auto hash = offset_basis;
  for (auto c : bytes) {
    hash ^= static_cast<unsigned char>(c);
    hash *= prime;
  }
  return mix(hash);
}

std::uint64_t mix_hash(std::uint64_t a, std::uint64_t b) {
  return mix(a * golden_ratio + b);
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view member) {
  return mix_hash(stable_hash(key), stable_hash(member));
}

std::string rendezvous_owner(std::string_view key,
                             std::span<const std::string> members) {
  auto owners = rendezvous_owners(key, members, 1);
  return owners.empty() ? std::string() : owners.front();
}

std::vector<std::string> rendezvous_owners(std::string_view key,
                                           std::span<const std::string> members,
                                           std::size_t count) {
  auto ranked = std::vector<std::pair<std::uint64_t, const std::string*>>();
  ranked.reserve(members.size());
  for (const auto& it : members) {
    ranked.emplace_back(rendezvous_weight(key, it), &it);
  }
  auto n = std::min(count, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n),
      ranked.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : *a.second < *b.second;
      });
  auto owners = std::vector<std::string>();
  for (std::size_t i = 0; i < n; ++i)
    owners.push_back(*ranked[i].second);
  return owners;
}

}  // namespace fulmar
