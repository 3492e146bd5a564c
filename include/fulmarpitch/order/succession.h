#pragma once

/// \file
/// Taking a pool over: the old epoch is closed at its true end, then the next
/// one is claimed by a conditional transaction.

#include <absl/status/statusor.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "fulmarpitch/order/log.h"
#include "fulmarpitch/order/record.h"
#include "fulmarpitch/order/segment.h"
#include "fulmarpitch/stores/stores.h"

namespace fulmar {

/// What a successor knows of the epoch that it closes.
struct close_inputs {
  std::string pool;
  epoch_id epoch;
  /// Line of the opening record: from the table row, or held by an entry.
  std::string opening_line;
  /// The epoch's segments in the object store, in order; the last is enough.
  std::vector<stored_segment> durable;
  /// Lines that the members held, in any order.
  std::vector<std::string> collected;
  /// Members that may have held lines and were lost or did not answer. The old
  /// owner counts only when its own entry's records had no witness.
  std::vector<std::string> silent_members;
  /// The old owner's window.
  std::size_t window = 0;
  /// The daemon that closes the epoch.
  std::string closer;
  segment_limits limits;
};

/// The end of an epoch.
struct epoch_end {
  /// To be written in this order; a `conflict` on any means that the durable
  /// segments must be read again and the epoch closed anew. Empty when the
  /// epoch was closed already.
  std::vector<stored_segment> segments;
  std::vector<record_hole> holes;
  /// Number and digest of the closing record; the next epoch goes on here.
  std::uint64_t last_number = 0;
  digest last_hash{};
  segment_link last_segment;
  /// Collected lines that fit nowhere in the chain.
  std::vector<std::string> rejected;
};

/// When a member was last in the data centre's list.
struct member_sighting {
  std::string name;
  instant last_seen{};
};

/// Finds the members that may have held records which nobody holds any more:
/// seen since the newest durable record was made, without an answer. A rack
/// that takes the sequencer and an entry at once is found by this alone, for
/// the list no longer shows them.
/// \param durable the epoch's segments in the object store, in order; with
///   none, every sighting counts.
/// \param sightings every member that was ever seen, the newest sighting.
/// \param answered members whose records were collected, and the old owner
///   when each record for its own entry had a witness.
/// \param clock_margin how far the clocks of two VMs may lie apart.
/// \return their names, for `close_inputs::silent_members`.
std::vector<std::string> silent_members(
    const std::vector<stored_segment>& durable,
    const std::vector<member_sighting>& sightings,
    const std::vector<std::string>& answered, instant clock_margin);

/// Rebuilds the tail of an epoch and closes it.
/// \param inputs what is known of the epoch.
/// \param now the time.
/// \return the end of the epoch; `not_found` when there is no opening record,
/// `internal` when a durable segment can't be read.
absl::StatusOr<epoch_end> close_epoch(const close_inputs& inputs, instant now);

/// Where the next epoch of a pool begins.
/// \param end the end of the epoch before.
/// \param before that epoch.
/// \param pool the pool.
/// \param owner the daemon that takes over.
/// \param incarnation unique to that daemon's process.
/// \return the start of the next epoch.
epoch_start next_epoch(const epoch_end& end, const epoch_id& before,
                       std::string pool, std::string owner,
                       std::string incarnation);

/// The row that says which epoch of a pool is in force.
struct epoch_row {
  std::string pool;
  /// 0 when the pool never had an epoch.
  std::uint64_t version = 0;
  /// Line of the epoch's opening record; empty with version 0.
  std::string opening_line;
};

/// How a claim ended.
enum class claim_result {
  owned,
  /// Another epoch is in force: the claimant must not sequence.
  taken,
  /// The platform did not answer: the epoch can only be provisional.
  platform_away,
};

inline constexpr std::array<named<claim_result>, 3> claim_result_names{{
    {claim_result::owned, "owned"},
    {claim_result::taken, "taken"},
    {claim_result::platform_away, "platform_away"},
}};

/// Names the row of a pool.
std::string epoch_row_key(std::string_view pool);

/// Reads the row of a pool.
/// \param store the table service.
/// \param pool the pool.
/// \param done receives the row, or the store's failure.
void read_epoch(const table_store& store, std::string pool,
                callback<epoch_row> done);

/// Claims a pool for an epoch, if the row is still as it was seen. Sending the
/// same claim again is harmless.
/// \param store the table service.
/// \param seen the row as it was read.
/// \param opening_line the new epoch's opening record.
/// \param done receives how the claim ended.
void claim_epoch(const table_store& store, const epoch_row& seen,
                 std::string opening_line,
                 std::function<void(claim_result)> done);

/// Claims a pool for an epoch that was opened while the platform was away. It
/// gives way to any epoch with the same or a higher number.
/// \param store the table service.
/// \param opening_line the provisional epoch's opening record.
/// \param done receives how the claim ended.
void reconcile_epoch(const table_store& store, std::string opening_line,
                     std::function<void(claim_result)> done);

}  // namespace fulmar
