#pragma once

/// \file
/// Audits the order of service from segments alone: numbers, chains, links and
/// epochs, and a replay of every admission.

#include <absl/status/status.h>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/order/record.h"
#include "fulmarpitch/order/segment.h"
#include "fulmarpitch/stores/stores.h"

namespace fulmar {

/// Everything that an audit can find.
enum class audit_fault {
  segment_unreadable,
  segment_misnamed,
  segment_link_broken,
  record_unreadable,
  record_misplaced,
  number_gap,
  number_repeated,
  chain_broken,
  choice_differs,
  record_after_close,
  epoch_not_opened,
  epoch_not_closed,
  epoch_link_broken,
  epochs_forked,
  hole_too_wide,
  head_differs,
  /// Named by the records themselves: no fault, but no clean run either.
  named_hole,
  provisional_epoch,
  epochs_overlap,
};

inline constexpr std::array<named<audit_fault>, 19> audit_fault_names{{
    {audit_fault::segment_unreadable, "segment_unreadable"},
    {audit_fault::segment_misnamed, "segment_misnamed"},
    {audit_fault::segment_link_broken, "segment_link_broken"},
    {audit_fault::record_unreadable, "record_unreadable"},
    {audit_fault::record_misplaced, "record_misplaced"},
    {audit_fault::number_gap, "number_gap"},
    {audit_fault::number_repeated, "number_repeated"},
    {audit_fault::chain_broken, "chain_broken"},
    {audit_fault::choice_differs, "choice_differs"},
    {audit_fault::record_after_close, "record_after_close"},
    {audit_fault::epoch_not_opened, "epoch_not_opened"},
    {audit_fault::epoch_not_closed, "epoch_not_closed"},
    {audit_fault::epoch_link_broken, "epoch_link_broken"},
    {audit_fault::epochs_forked, "epochs_forked"},
    {audit_fault::hole_too_wide, "hole_too_wide"},
    {audit_fault::head_differs, "head_differs"},
    {audit_fault::named_hole, "named_hole"},
    {audit_fault::provisional_epoch, "provisional_epoch"},
    {audit_fault::epochs_overlap, "epochs_overlap"},
}};

/// One thing that was found, with its place.
struct audit_finding {
  audit_fault fault = audit_fault::number_gap;
  std::string segment;
  std::string pool;
  std::string epoch;
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::string note;
};

/// A record whose digest the operators noted earlier. Without one, the removal
/// of the newest segments of an open epoch can't be seen.
struct audit_head {
  std::string pool;
  epoch_id epoch;
  std::uint64_t number = 0;
  digest hash{};
};

/// What is audited.
struct audit_options {
  /// Only admissions within these times are replayed; chains are checked
  /// everywhere.
  std::optional<instant> from;
  std::optional<instant> to;
  /// Only this caller's admissions are replayed.
  std::optional<std::string> caller;
  /// A hole wider than the largest window is a fault.
  std::size_t window = 65536;
  std::vector<audit_head> heads;
};

/// Verdict of an audit.
enum class audit_verdict { clean, faults, named_gaps };

inline constexpr std::array<named<audit_verdict>, 3> audit_verdict_names{{
    {audit_verdict::clean, "clean"},
    {audit_verdict::faults, "faults"},
    {audit_verdict::named_gaps, "named_gaps"},
}};

/// What an audit found.
struct audit_report {
  std::uint64_t segments = 0;
  std::uint64_t records = 0;
  std::uint64_t replayed = 0;
  std::vector<audit_finding> findings;
  /// The newest record of each pool, for the operators to note.
  std::vector<audit_head> heads;
};

/// Sums a report up.
audit_verdict verdict_of(const audit_report& report);

/// Audits segments one at a time; memory grows with the epochs, not with the
/// records.
class order_auditor {
 public:
  explicit order_auditor(audit_options options);
  ~order_auditor();
  order_auditor(order_auditor&&) noexcept;
  order_auditor& operator=(order_auditor&&) noexcept;

  /// Takes the next segment in.
  /// \param segment the segments must come in the order of their names.
  void add(const stored_segment& segment);

  /// Checks the epochs against each other.
  /// \return everything that was found.
  audit_report finish();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// Visits every segment of an object store in the order of their names.
/// \param store the object store.
/// \param visit called with each segment.
/// \param done called once, with the store's failure if there was one.
void for_each_segment(const object_store& store,
                      std::function<void(const stored_segment&)> visit,
                      std::function<void(absl::Status)> done);

/// Presents a directory of exported objects as an object store; read only.
/// \param path the directory; a file's path within it is the object's name.
/// \return the store.
object_store directory_store(const std::string& path);

}  // namespace fulmar
