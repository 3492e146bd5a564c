#include "fulmarpitch/serving/job-takeover.h"

#include <string_view>
#include <utility>
#include <vector>

#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/core/text.h"

namespace fulmar::serving {
namespace {

/// The VM name in an owner's "name#incarnation".
std::string vm_of(const job_owner& owner) {
  return owner.name.substr(0, owner.name.rfind('#'));
}

bool is_lost(const load_board& board, const job_owner& owner, instant now) {
  auto name = vm_of(owner);
  auto incarnation = live_incarnation(board, name, now);
  return !incarnation || owner.name != concat(name, "#", *incarnation);
}

/// \return the other live daemons that could write the takeover to the store.
/// \param data_centre only daemons of this data centre; empty for all.
std::vector<std::string> find_takers(const load_board& board,
                                     std::string_view data_centre,
                                     instant now) {
  auto out = std::vector<std::string>();
  for (auto& it : live_store_members(board, now)) {
    if (data_centre.empty() || it.data_centre == data_centre)
      out.push_back(std::move(it.name));
  }
  return out;
}

bool is_first(const load_board& board, const takeover_candidate& self,
              const job_row& job, instant now,
              const takeover_options& options) {
  auto near = job.owner.data_centre == self.data_centre;
  if (!near && self.age < options.far_settle_time) return false;
  auto among = find_takers(board, job.owner.data_centre, now);
  if (!near && !among.empty()) return false;
  if (!near) among = find_takers(board, "", now);
  among.push_back(self.name);
  return rendezvous_owner(job.id, among) == self.name;
}

}  // namespace

bool should_take_over(const load_board& board, const takeover_candidate& self,
                      const job_row& job, instant now,
                      const takeover_options& options) {
  if (!job.open() || self.store_lost) return false;
  if (vm_of(job.owner) == self.name) return true;
  if (self.age < options.settle_time) return false;
  return is_lost(board, job.owner, now) &&
         is_first(board, self, job, now, options);
}

}  // namespace fulmar::serving
