#pragma once

/// \file
/// Invariants that the program asserts while it runs.

#include <array>
#include <stdexcept>
#include <string>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// The promises the system keeps, as named in docs/DESIGN.md.
enum class invariant {
  one_result,
  cancelled_stops,
  online_first,
  whole_answer,
  not_run_is_true,
  at_most_once,
  leaving_gets_nothing,
  shutdown_cuts_nothing,
  config_never_reverts,
  order_has_no_gap,
  limit_holds,
  one_engine_order,
  one_version,
};

inline constexpr std::array<named<invariant>, 13> invariant_names{{
    {invariant::one_result, "one_result"},
    {invariant::cancelled_stops, "cancelled_stops"},
    {invariant::online_first, "online_first"},
    {invariant::whole_answer, "whole_answer"},
    {invariant::not_run_is_true, "not_run_is_true"},
    {invariant::at_most_once, "at_most_once"},
    {invariant::leaving_gets_nothing, "leaving_gets_nothing"},
    {invariant::shutdown_cuts_nothing, "shutdown_cuts_nothing"},
    {invariant::config_never_reverts, "config_never_reverts"},
    {invariant::order_has_no_gap, "order_has_no_gap"},
    {invariant::limit_holds, "limit_holds"},
    {invariant::one_engine_order, "one_engine_order"},
    {invariant::one_version, "one_version"},
}};

/// Thrown where an invariant is broken. Never caught below `main` or a test.
class invariant_broken : public std::logic_error {
 public:
  invariant_broken(invariant which, const std::string& detail);
  invariant which() const { return which_; }

 private:
  invariant which_;
};

/// Asserts an invariant in every build type.
/// \param holds the condition.
/// \param which the invariant that the condition expresses.
/// \param detail what was seen; built by the caller only when cheap.
/// \throws invariant_broken when the condition is false.
inline void ensure(bool holds, invariant which, const char* detail) {
  if (!holds) throw invariant_broken(which, detail);
}

}  // namespace fulmar
