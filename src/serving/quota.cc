#include "fulmarpitch/serving/quota.h"

namespace fulmar::serving {
namespace {

/// Time within which a job reaches every daemon's book: the store is polled
/// each second, and the result is passed on.
constexpr auto propagation_time = std::chrono::milliseconds(2000);

}  // namespace

bool fits_without_counter(const uncounted_jobs& jobs, const quota_request& it,
                          instant now) {
  if (it.limit == 0) return true;
  auto half = it.limit / 2;
  auto unseen = it.tokens;
  for (const auto& job : jobs.recent) {
    if (job.quota_counter == it.quota_counter &&
        now - job.accepted < propagation_time)
      unseen += job.tokens;
  }
  return it.waiting + it.tokens <= half && unseen <= half / it.daemons;
}

void record_uncounted(uncounted_jobs& jobs, const quota_request& it,
                      instant now) {
  while (!jobs.recent.empty() &&
         now - jobs.recent.front().accepted >= propagation_time)
    jobs.recent.pop_front();
  jobs.recent.push_back({.quota_counter = it.quota_counter,
                         .tokens = it.tokens,
                         .accepted = now});
}

}  // namespace fulmar::serving
