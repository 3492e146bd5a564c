#pragma once

/// \file
/// A small valid configuration and stores for tests.

#include <memory>
#include <string>

#include "fulmarpitch/config/tickets.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/stores/memory-stores.h"

namespace fulmar {

/// One class, one operator and some callers.
inline configuration sample_declarations(std::size_t caller_count = 4) {
  auto value = configuration();
  value.models = {{.name = "m",
                   .versions = {{.name = "v1", .weights = "w"}},
                   .serving_version = "v1"}};
  value.classes = {{.name = "on", .rank = 0, .kind = work_kind::online}};
  value.operators = {{.name = "o", .key_hashes = {sha256_hex("key-o")}}};
  for (std::size_t n = 0; n < caller_count; ++n) {
    value.callers.push_back({.name = concat("c", n),
                             .class_name = "on",
                             .key_hashes = {sha256_hex(concat("key-", n))}});
  }
  return value;
}

inline config_stores stores_over(const std::shared_ptr<memory_stores>& state) {
  return {make_table_store(state), make_object_store(state)};
}

}  // namespace fulmar
