#pragma once

/// \file
/// The rule that says who is served next and where. It is a pure function of
/// its recorded inputs, so that an audit can replay it.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// The request at the head of one caller's queue within a class.
struct caller_candidate {
  std::string caller;
  std::string request_id;
  /// Tokens served to the caller over its weight; the smallest goes first.
  std::int64_t virtual_tokens = 0;
  /// Orders batch requests whose callers stand level.
  instant deadline{};
  /// Arrival order within the sequencer's epoch; the last tie-break.
  std::uint64_t arrival_number = 0;
};

/// A class with queued work.
struct class_candidate {
  std::string name;
  /// The operators' order; 0 goes first.
  std::uint32_t rank = 0;
  work_kind kind = work_kind::online;
  /// Tokens still owed under the class's guaranteed share; 0 without one.
  std::int64_t owed_tokens = 0;
  /// Whether batch work may be admitted at this moment.
  bool may_admit = true;
  /// Heads of the callers' queues, the next to be served first.
  std::vector<caller_candidate> callers;
};

/// A target that could take the request.
struct target_candidate {
  std::string target;
  /// Expected time until the request's first token, in microseconds,
  /// cross-region cost included.
  std::int64_t cost_us = 0;
  bool may_admit = true;
};

/// Everything the rule looks at.
struct choice_inputs {
  std::uint64_t config_version = 0;
  std::vector<class_candidate> classes;
  std::vector<target_candidate> targets;
};

/// Which rule decided between classes.
enum class choice_rule { only_class, owed_share, class_order };

inline constexpr std::array<named<choice_rule>, 3> choice_rule_names{{
    {choice_rule::only_class, "only_class"},
    {choice_rule::owed_share, "owed_share"},
    {choice_rule::class_order, "class_order"},
}};

/// The rule's answer.
struct choice {
  std::string request_id;
  std::string caller;
  std::string class_name;
  std::string target;
  choice_rule rule = choice_rule::only_class;

  bool operator==(const choice&) const = default;
};

/// Chooses the class: an online class that is owed tokens goes first, the most
/// owed of them; then the operators' order. Batch follows online always.
/// \param classes the classes with queued work.
/// \return the index of the class, or nothing when none may be admitted.
std::optional<std::size_t> choose_class(
    const std::vector<class_candidate>& classes);

/// Chooses the caller within a class: fewest tokens over weight, then the
/// nearest deadline for batch, then arrival.
/// \param kind the class's kind of work.
/// \param callers the heads of the callers' queues.
/// \return the index of the caller, or nothing when there is none.
std::optional<std::size_t> choose_caller(
    work_kind kind, const std::vector<caller_candidate>& callers);

/// Chooses the target with the lowest cost; names break ties.
/// \param targets the targets that were weighed.
/// \return the index of the target, or nothing when none may admit.
std::optional<std::size_t> choose_target(
    const std::vector<target_candidate>& targets);

/// Chooses who is served next, and where.
/// \param inputs what the rule looks at.
/// \return the choice, or nothing when no class or no target may be used.
std::optional<choice> choose(const choice_inputs& inputs);

}  // namespace fulmar
