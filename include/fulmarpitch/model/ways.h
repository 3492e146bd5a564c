#pragma once

/// \file
/// The ways of deciding that are measured against one another.

#include <cstdint>
#include <string>
#include <vector>

#include "fulmarpitch/model/world.h"

namespace fulmar::model {

/// The shipped sequencer.
way sequencer_way(const std::string& name, std::uint64_t seed);

/// A way that is given work of one kind alone.
way only(work_kind kind, const std::string& name, const way& decider);

/// Where a simple way sends a request.
enum class placement { least_loaded, random, two_choices };

/// When a simple way lets batch work in.
enum class batch_rule { like_online, own_targets, empty_target, spare_slots };

/// A way that is made of simple parts, for comparison.
struct simple_options {
  std::string name;
  placement where = placement::least_loaded;
  batch_rule batch = batch_rule::like_online;
  /// Whether requests queue at the engines instead of before them.
  bool queues_at_engine = false;
  /// Daemons that decide independently, each on its share of the slots.
  std::uint32_t daemons = 1;
  /// Whether each target has one owner with its own queue.
  bool owner_per_target = false;
};

way simple_way(const simple_options& options, const world_options& world);

}  // namespace fulmar::model
