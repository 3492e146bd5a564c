#pragma once

/// \file
/// Leases on rows of the table service. No clocks are compared: a holder stops
/// by its own clock, and a rival waits until the row has not changed for a
/// whole term by its own clock.

#include <cstdint>
#include <optional>
#include <string>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// Length of a lease and what is kept back from it.
struct lease_options {
  instant term = std::chrono::seconds(15);
  /// A holder stops this long before its term ends; covers clock drift over a
  /// term and the time an order takes to reach an engine.
  instant margin = std::chrono::seconds(4);
  /// A holder renews after this.
  instant renew_after = std::chrono::seconds(4);
};

/// What the row of a lease says.
struct lease_record {
  std::string holder;
  /// Names the holder's start, so that a restarted process is another holder.
  std::uint64_t holder_start = 0;
  /// Grows by one with each change of holder, never falls.
  std::uint64_t fencing_number = 0;
  /// Grows with each write of the holder; tells which write the row shows.
  std::uint64_t beat = 0;

  bool operator==(const lease_record&) const = default;
};

/// The holder's view: until when it may act.
struct held_lease {
  lease_record record;
  std::uint64_t row_version = 0;
  /// When the write that took or last renewed the lease was sent.
  instant written_at{};
};

/// Tells whether a holder may still act.
/// \param lease the lease.
/// \param options its lengths.
/// \param now the holder's own clock.
bool may_act(const held_lease& lease, const lease_options& options,
             instant now);

/// Tells whether a holder should renew.
bool should_renew(const held_lease& lease, const lease_options& options,
                  instant now);

/// A rival's view of a row.
struct lease_watch {
  std::uint64_t row_version = 0;
  /// When this version was first seen; unset before the first look.
  std::optional<instant> seen_at;
};

/// Until when the holder may act.
instant acts_until(const held_lease& lease, const lease_options& options);

/// Notes a read of the row.
/// \param watch the view to update.
/// \param row_version the version that was read.
/// \param now the time at which the read came back.
void observe(lease_watch& watch, std::uint64_t row_version, instant now);

/// Tells whether a rival may take the lease: the row was absent, or has not
/// changed for a term by the rival's clock.
bool may_take(const lease_watch& watch, const lease_options& options,
              instant now);

}  // namespace fulmar
