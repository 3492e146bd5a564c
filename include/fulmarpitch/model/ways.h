#pragma once

/// \file
/// The ways of deciding that are measured against one another.

#include <cstdint>
#include <string>
#include <vector>

#include "fulmarpitch/model/world.h"

namespace fulmar::model {

/// The shipped sequencer.
/// \param takes_online, takes_batch the kinds that are submitted to it; the
/// others are dropped, which gives the runs without batch and without online.
way sequencer_way(const std::string& name, std::uint64_t seed,
                  bool takes_online = true, bool takes_batch = true);

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
