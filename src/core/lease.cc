#include "fulmarpitch/core/lease.h"

namespace fulmar {

instant acts_until(const held_lease& lease, const lease_options& options) {
  return lease.written_at + options.term - options.margin;
}

bool may_act(const held_lease& lease, const lease_options& options,
             instant now) {
  return now < acts_until(lease, options);
}

bool should_renew(const held_lease& lease, const lease_options& options,
                  instant now) {
  return now >= lease.written_at + options.renew_after;
}

void observe(lease_watch& watch, std::uint64_t row_version, instant now) {
  if (watch.seen_at && watch.row_version == row_version) return;
  watch.row_version = row_version;
  watch.seen_at = now;
}

bool may_take(const lease_watch& watch, const lease_options& options,
              instant now) {
  if (!watch.seen_at) return false;
  if (watch.row_version == 0) return true;
  return now >= *watch.seen_at + options.term;
}

}  // namespace fulmar
