#pragma once

/// \file
/// Limits of the platform's store.

#include <cstddef>

namespace fulmar::serving {

/// What the store accepts; it refuses everything beyond, however often it is
/// sent.
struct store_limits {
  /// Conditions, writes and removals of one transaction.
  std::size_t entries = 100;
  /// One transaction in its encoded form.
  std::size_t call_bytes = 1'000'000;
  /// One row's value in base64.
  std::size_t row_bytes = std::size_t{64} * 1024;
  /// Each of a row's table, part and key.
  std::size_t name_bytes = 200;
  /// One object.
  std::size_t object_bytes = std::size_t{8} * 1024 * 1024;
};

/// \return the longest value of a row, in bytes, that also leaves room for
///     others in its transaction.
std::size_t max_value_bytes(const store_limits& limits);

}  // namespace fulmar::serving
