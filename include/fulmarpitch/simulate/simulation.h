#pragma once

/// \file
/// Seeded randomised runs of entries, recorders and chunk workers over faulty
/// stores in virtual time, with the invariants asserted inside.

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// A safeguard that a run can do without, to show what it is for.
enum class safeguard {
  none,
  fencing,
  started_record,
  dedupe,
  group_numbers,
  job_state
};

inline constexpr std::array<named<safeguard>, 6> safeguard_names{{
    {safeguard::none, "none"},
    {safeguard::fencing, "fencing"},
    {safeguard::started_record, "started_record"},
    {safeguard::dedupe, "dedupe"},
    {safeguard::group_numbers, "group_numbers"},
    {safeguard::job_state, "job_state"},
}};

/// Every kind of fault that a run injects.
enum class simulated_fault {
  killed_before_answer,
  killed_after_answer,
  recorder_lost,
  split_view,
  holder_paused,
  message_lost,
  caller_resent,
  job_resent,
  job_cancelled,
  graceful_shutdown,
  target_lost,
  target_leaving,
  sequencer_lost,
  store_outage,
  store_slow,
  store_failed_before,
  store_reply_lost,
  store_late_effect,
};

inline constexpr std::array<named<simulated_fault>, 18> simulated_fault_names{{
    {simulated_fault::killed_before_answer, "killed_before_answer"},
    {simulated_fault::killed_after_answer, "killed_after_answer"},
    {simulated_fault::recorder_lost, "recorder_lost"},
    {simulated_fault::split_view, "split_view"},
    {simulated_fault::holder_paused, "holder_paused"},
    {simulated_fault::message_lost, "message_lost"},
    {simulated_fault::caller_resent, "caller_resent"},
    {simulated_fault::job_resent, "job_resent"},
    {simulated_fault::job_cancelled, "job_cancelled"},
    {simulated_fault::graceful_shutdown, "graceful_shutdown"},
    {simulated_fault::target_lost, "target_lost"},
    {simulated_fault::target_leaving, "target_leaving"},
    {simulated_fault::sequencer_lost, "sequencer_lost"},
    {simulated_fault::store_outage, "store_outage"},
    {simulated_fault::store_slow, "store_slow"},
    {simulated_fault::store_failed_before, "store_failed_before"},
    {simulated_fault::store_reply_lost, "store_reply_lost"},
    {simulated_fault::store_late_effect, "store_late_effect"},
}};

/// How often each fault was injected.
using fault_counts = std::array<std::uint64_t, simulated_fault_names.size()>;

/// How a run is made.
struct simulation_options {
  std::uint64_t seed = 1;
  /// Each round injects every scheduled fault once.
  std::uint32_t rounds = 3;
  safeguard without = safeguard::none;
};

/// What a run did.
struct simulation_report {
  fault_counts faults{};
  std::uint64_t requests = 0;
  std::uint64_t results = 0;
  /// Answered as pending, then both VMs that held the result were lost.
  std::uint64_t copies_lost = 0;
  std::uint64_t jobs = 0;
  std::uint64_t items = 0;
  std::uint64_t store_writes = 0;
  instant length{};
  /// The broken invariant with what was seen and the last events; empty when
  /// all invariants held.
  std::string broken;
};

/// Makes a run.
/// \param options the seed, the rounds and the safeguard to do without.
/// \return what the run did, and the invariant that broke.
simulation_report run_simulation(const simulation_options& options);

}  // namespace fulmar
