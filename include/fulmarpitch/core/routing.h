#pragma once

/// \file
/// The expected cost of a target for a request.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <vector>

#include "fulmarpitch/core/choice.h"
#include "fulmarpitch/core/types.h"

namespace fulmar {

/// Tokens that one entry of `work_item::prefix_blocks` covers.
inline constexpr std::uint32_t prefix_block_tokens = 128;

/// What a step of an engine that batches continuously takes.
struct engine_costs {
  double step_base_us = 8000;
  double step_per_sequence_us = 150;
  double prefill_per_token_us = 30;
  /// Most prompt tokens that one step takes in.
  std::uint32_t prefill_chunk = 512;
};

/// The expected time of one decoding step, in microseconds.
std::int64_t step_us(const engine_costs& costs, std::uint32_t sequences);

/// The work of a request, in microseconds of one slot of a full engine.
std::int64_t slot_work_us(const engine_costs& costs, std::uint32_t slots,
                          std::uint32_t prompt_tokens,
                          std::uint32_t output_tokens);

/// Index of a target in the sequencer's table.
using target_id = std::uint32_t;

/// Which targets hold which prompt prefixes, from late and gappy events.
class prefix_index {
 public:
  /// How long an entry is trusted, and how long after a gap in the events.
  static constexpr instant trust_time = std::chrono::minutes(5);
  static constexpr instant gap_trust_time = std::chrono::seconds(10);
  static constexpr std::size_t max_blocks = 100'000;

  void add(target_id target, const std::vector<std::uint64_t>& blocks,
           instant now);
  void remove(target_id target, const std::vector<std::uint64_t>& blocks);

  /// Events of the target were lost: what is known of it ages faster.
  void gap(target_id target, instant now);

  /// The target's cache is empty.
  void reset(target_id target, instant now);

  /// \param blocks the hashes of the request's leading blocks.
  /// \param depths receives the number of leading blocks each target holds.
  void match(const std::vector<std::uint64_t>& blocks, instant now,
             std::vector<std::uint32_t>& depths) const;

  std::size_t size() const { return holders_.size(); }

 private:
  struct holder {
    target_id target = 0;
    instant seen_at{};
  };
  struct target_mark {
    instant gap_at = instant::min();
    instant reset_at = instant::min();
  };

  bool is_trusted(const holder& it, instant now) const;
  void make_room(instant now);
  target_mark& mark(target_id target);

  absl::flat_hash_map<std::uint64_t, std::vector<holder>> holders_;
  std::vector<target_mark> marks_;
};

}  // namespace fulmar
