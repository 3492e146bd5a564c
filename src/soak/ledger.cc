#include "fulmarpitch/soak/ledger.h"

#include <algorithm>

#include "fulmarpitch/core/text.h"

namespace fulmar::soak {

void note(ledger& it, promise which, std::string detail) {
  it.violations.push_back({.which = which, .detail = std::move(detail)});
}

void note_run(ledger& it, const std::string& id, instant now, bool calm) {
  auto runs = ++it.runs[id];
  if (it.once.contains(id) && runs > 1)
    note(it, promise::runs_once, concat("request ", id, " ran again"));
  if (it.not_run.contains(id)) {
    note(it, promise::not_run_is_true,
         concat("request ", id, " ran after a refusal"));
  }
  auto job = it.job_of.find(id);
  if (job == it.job_of.end()) return;
  auto ended = it.jobs[job->second].ended;
  if (calm && ended.count() > 0 && now > ended + end_slack) {
    note(it, promise::ended_job_stops,
         concat("item ", id, " of ended job ", job->second, " ran"));
  }
}

void note_not_run(ledger& it, const std::string& id) {
  it.not_run.insert(id);
  if (it.runs.contains(id)) {
    note(it, promise::not_run_is_true,
         concat("request ", id, " had run before its refusal"));
  }
}

void note_results(ledger& it, const std::string& job, std::size_t from,
                  const std::vector<std::string>& ids) {
  auto& view = it.jobs[job];
  for (auto n = std::size_t{0}; n < ids.size(); ++n) {
    const auto& id = ids[n];
    auto at = from + n;
    if (at < view.positions.size()) {
      if (view.positions[at] == id) continue;
      note(it, promise::result_stays,
           concat("position ", at, " of job ", job, " changed"));
      continue;
    }
    auto twice = std::find(view.positions.begin(), view.positions.end(), id) !=
                 view.positions.end();
    if (twice || !view.items.contains(id)) {
      note(it, promise::one_result,
           concat("item ", id, " of job ", job,
                  twice ? " is listed twice" : " is not the job's"));
    }
    view.positions.push_back(id);
  }
}

void resolve_unknown_ends(
    ledger& it, const std::function<bool(const std::string&)>& is_ended) {
  for (auto& [id, job] : it.jobs) {
    if (job.may_have_ended && is_ended(id)) job.has_ended_unseen = true;
  }
}

bool is_settled(const job_view& job) {
  return !job.accepted || job.ended.count() > 0 || job.has_ended_unseen ||
         job.positions.size() >= job.items.size();
}

void check_end(ledger& it) {
  for (const auto& [id, job] : it.jobs) {
    if (!is_settled(job)) {
      note(it, promise::job_completes,
           concat("job ", id, " has ", job.positions.size(), " of ",
                  job.items.size(), " results"));
    }
    if (job.accepted || !job.refused_always) continue;
    for (const auto& item : job.items) {
      if (it.runs.contains(item)) {
        note(it, promise::not_run_is_true,
             concat("item ", item, " of refused job ", id, " ran"));
      }
    }
  }
}

}  // namespace fulmar::soak
