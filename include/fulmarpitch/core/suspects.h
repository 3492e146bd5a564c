#pragma once

/// \file
/// Recognises the content that crashes targets.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// How long a content stays suspect after a loss.
inline constexpr instant suspicion_time = std::chrono::minutes(10);

/// How long a content stays quarantined.
inline constexpr instant quarantine_time = std::chrono::hours(1);

/// Contents that ran on targets which were lost. Content 0 is never blamed.
class suspect_table {
 public:
  /// Blames a loss: on the one suspect among the contents, which is then
  /// quarantined; else all of them become suspect.
  /// \param contents what ran on the target.
  /// \return the content that was quarantined, if any.
  std::optional<std::uint64_t> blame(const std::vector<std::uint64_t>& contents,
                                     instant now);

  /// A request with this content completed: it crashes nothing.
  void clear(std::uint64_t content);

  /// Nothing is suspect any more; what is quarantined stays so.
  void absolve() { suspect_until_.clear(); }

  void quarantine(std::uint64_t content, instant now);
  bool is_suspect(std::uint64_t content, instant now) const;
  bool is_quarantined(std::uint64_t content, instant now) const;
  std::size_t size() const { return suspect_until_.size(); }

  /// Forgets what has lapsed.
  void sweep(instant now);

 private:
  absl::flat_hash_map<std::uint64_t, instant> suspect_until_;
  absl::flat_hash_map<std::uint64_t, instant> quarantined_until_;
};

}  // namespace fulmar
