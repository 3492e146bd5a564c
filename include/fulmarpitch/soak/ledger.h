#pragma once

/// \file
/// What callers and targets saw in a soak run, and the promises that follow.

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fulmarpitch/core/types.h"

namespace fulmar::soak {

/// Promises that a soak run checks.
enum class promise {
  whole_answer,
  runs_once,
  not_run_is_true,
  one_result,
  result_stays,
  job_completes,
  ended_job_stops,
  leaving_gets_nothing,
  shutdown_cuts_nothing,
  configuration_in_force,
  configuration_never_reverts,
  daemon_lives,
  retries_bounded,
  sound_request_served,
};

inline constexpr std::array<named<promise>, 14> promise_names{{
    {promise::whole_answer, "whole_answer"},
    {promise::runs_once, "runs_once"},
    {promise::not_run_is_true, "not_run_is_true"},
    {promise::one_result, "one_result"},
    {promise::result_stays, "result_stays"},
    {promise::job_completes, "job_completes"},
    {promise::ended_job_stops, "ended_job_stops"},
    {promise::leaving_gets_nothing, "leaving_gets_nothing"},
    {promise::shutdown_cuts_nothing, "shutdown_cuts_nothing"},
    {promise::configuration_in_force, "configuration_in_force"},
    {promise::configuration_never_reverts, "configuration_never_reverts"},
    {promise::daemon_lives, "daemon_lives"},
    {promise::retries_bounded, "retries_bounded"},
    {promise::sound_request_served, "sound_request_served"},
}};

/// A promise that was not kept.
struct violation {
  promise which = promise::whole_answer;
  std::string detail;
};

/// A job as its caller knows it.
struct job_view {
  std::set<std::string> items;
  /// Item ids by position, as first read.
  std::vector<std::string> positions;
  bool accepted = false;
  bool refused_always = true;
  /// When its end was acknowledged; zero while it is open.
  instant ended{};
  /// A call to end it got no answer that tells what became of it.
  bool may_have_ended = false;
  /// Such a call did end it.
  bool has_ended_unseen = false;
};

/// Everything that was seen.
struct ledger {
  /// How often targets began to run each request, by its id.
  std::map<std::string, std::uint32_t> runs;
  /// Requests that were promised not to have run.
  std::set<std::string> not_run;
  /// Requests that may run once only.
  std::set<std::string> once;
  std::map<std::string, job_view> jobs;
  /// The job of each item.
  std::map<std::string, std::string> job_of;
  /// Targets that each crashing request ended, by its path.
  std::map<std::string, std::uint32_t> crashes;
  std::vector<violation> violations;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
};

/// Time from the acknowledged end of a job in which its items may still start,
/// as the users' bound says.
inline constexpr instant end_slack = std::chrono::milliseconds(3000);

/// Crashes after which daemons hold a request back, the time in which they hear
/// of the last, and the retries allowed after that, as the users' bounds say.
inline constexpr std::uint32_t crashes_until_held = 3;
inline constexpr instant crash_news_time = std::chrono::milliseconds(4000);
inline constexpr std::uint32_t most_retries = 3;

/// Notes a broken promise.
void note(ledger& it, promise which, std::string detail);

/// A target began to run a request.
/// \param it the ledger.
/// \param id the request or item.
/// \param now the steady clock.
/// \param calm whether every daemon had the store for some seconds.
void note_run(ledger& it, const std::string& id, instant now, bool calm);

/// A caller was told that its request did not run.
void note_not_run(ledger& it, const std::string& id);

/// A caller read results of a job.
/// \param it the ledger.
/// \param job the job.
/// \param from the first position read.
/// \param ids the items at the positions.
void note_results(ledger& it, const std::string& job, std::size_t from,
                  const std::vector<std::string>& ids);

/// Finds out which of the jobs that may have ended did.
/// \param it the ledger.
/// \param is_ended whether the store holds a job as ended.
void resolve_unknown_ends(
    ledger& it, const std::function<bool(const std::string&)>& is_ended);

/// \return whether a job owes its caller no more results.
bool is_settled(const job_view& job);

/// Checks what only the end of a run shows.
void check_end(ledger& it);

}  // namespace fulmar::soak
