#include "fulmarpitch/config/configuration.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <iterator>

#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

bool contains(const std::vector<std::string>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool serves(const target_declaration& target, std::string_view pool) {
  return pool.empty() || contains(target.models, pool) ||
         contains(target.services, pool);
}

bool equal_in_constant_time(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

template <typename Owner>
const Owner* find_by_key(const std::vector<Owner>& owners,
                         std::string_view key) {
  const auto hash = sha256_hex(key);
  const Owner* found = nullptr;
  // Every hash is compared, so that the time does not tell which one matched.
  for (const auto& it : owners) {
    for (const auto& known : it.key_hashes) {
      if (equal_in_constant_time(known, hash)) found = &it;
    }
  }
  return found;
}

target_info info_of(const target_declaration& target) {
  auto loaded = target.models;
  loaded.insert(loaded.end(), target.adapters.begin(), target.adapters.end());
  loaded.insert(loaded.end(), target.services.begin(), target.services.end());
  return {
      .name = target.name,
      .address = target.address,
      .data_centre = target.data_centre,
      .region = target.region,
      .models = std::move(loaded),
      .slots = target.slots,
      .kv_tokens = target.kv_tokens,
      .can_resume = target.can_resume,
      .leaving = target.draining,
  };
}

}  // namespace

std::string to_string(const object_key& key) {
  return concat(name_in(object_kind_names, key.kind), "/", key.name);
}

std::string to_string(const declaration_fault& fault) {
  return concat(fault.file, ": ", fault.path.empty() ? "/" : fault.path, ": ",
                name_in(declaration_fault_kind_names, fault.kind),
                "; allowed: ", fault.allowed);
}

pool_policy policy_for(const configuration& value, std::string_view pool) {
  auto policy = pool_policy{
      .config_version = value.version,
      .first_token_target = value.deployment.first_token_target,
      .between_tokens_target = value.deployment.between_tokens_target,
      .batch_preference = value.deployment.batch_preference,
  };
  static_cast<void>(pool);
  for (const auto& it : value.classes) {
    policy.classes.push_back(
        {it.name, it.rank, it.kind, it.guaranteed_percent});
  }
  std::sort(policy.classes.begin(), policy.classes.end(),
            [](const auto& a, const auto& b) { return a.rank < b.rank; });
  for (const auto& it : value.callers) {
    policy.callers.push_back({it.name, it.class_name, it.weight,
                              it.requests_per_second, it.concurrency});
  }
  return policy;
}

std::vector<target_info> targets_for(const configuration& value,
                                     std::string_view pool) {
  auto targets = std::vector<target_info>();
  for (const auto& it : value.targets) {
    if (serves(it, pool)) targets.push_back(info_of(it));
  }
  return targets;
}

const caller_declaration* find_caller_by_key(const configuration& value,
                                             std::string_view key) {
  return find_by_key(value.callers, key);
}

const operator_declaration* find_operator_by_key(const configuration& value,
                                                 std::string_view key) {
  return find_by_key(value.operators, key);
}

std::string sha256_hex(std::string_view bytes) {
  constexpr auto digits = std::string_view("0123456789abcdef");
  auto hash = std::array<unsigned char, SHA256_DIGEST_LENGTH>{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         hash.data());
  auto out = std::string();
  out.reserve(2 * hash.size());
  for (const auto it : hash) {
    out += digits[it >> 4U];
    out += digits[it & 0xfU];
  }
  return out;
}

}  // namespace fulmar
