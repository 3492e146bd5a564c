#pragma once

/// \file
/// Order records: one line of canonical JSON for each command of a sequencer.
/// The SHA-256 of a line is what the next line names as its predecessor.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fulmarpitch/core/choice.h"
#include "fulmarpitch/core/sequencer.h"
#include "fulmarpitch/core/types.h"
#include "fulmarpitch/order/digest.h"

namespace fulmar {

/// What an order record states.
enum class record_kind {
  admit,
  refuse,
  preempt,
  cancel,
  epoch_open,
  epoch_close
};

inline constexpr std::array<named<record_kind>, 6> record_kind_names{{
    {record_kind::admit, "admit"},
    {record_kind::refuse, "refuse"},
    {record_kind::preempt, "preempt"},
    {record_kind::cancel, "cancel"},
    {record_kind::epoch_open, "epoch_open"},
    {record_kind::epoch_close, "epoch_close"},
}};

/// One sequencer's tenure of a pool. Two sequencers that both believe they own
/// a pool differ in the incarnation, so they never write to the same epoch.
struct epoch_id {
  std::uint64_t number = 0;
  /// Unique to the process that opened the epoch.
  std::string incarnation;

  bool operator==(const epoch_id&) const = default;
};

/// Writes an epoch so that names sort by number.
/// \param epoch the epoch.
/// \return the text, for example `0000000007-entry-3.1`; empty for number 0.
std::string to_text(const epoch_id& epoch);

/// Reads an epoch.
/// \param text what `to_text` wrote.
/// \return the epoch, or nothing for any other text.
std::optional<epoch_id> epoch_from_text(std::string_view text);

/// Why records between two numbers are missing.
enum class hole_kind {
  /// Every member answered and none held them: they admitted nothing.
  unsent,
  /// A member that could have held them was lost or did not answer.
  lost,
};

inline constexpr std::array<named<hole_kind>, 2> hole_kind_names{{
    {hole_kind::unsent, "unsent"},
    {hole_kind::lost, "lost"},
}};

/// A named range of missing records, both ends included.
struct record_hole {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  hole_kind kind = hole_kind::lost;

  bool operator==(const record_hole&) const = default;
};

/// What an admission was decided on.
struct admit_detail {
  choice_inputs inputs;
  choice chosen;
};

/// Why a request was given up.
struct refuse_detail {
  error_code code = error_code::none;
  outcome what = outcome::not_run;
  instant retry_after{};
};

/// The segment before another; an empty name stands for "none".
struct segment_link {
  std::string name;
  digest hash{};

  bool operator==(const segment_link&) const = default;
};

/// How an epoch began.
struct open_detail {
  /// The platform could not be asked who owns the pool.
  bool provisional = false;
  /// The epoch before this one; number 0 without one.
  epoch_id predecessor;
  /// The segment that closed it.
  segment_link previous_segment;
};

/// How an epoch ended.
struct close_detail {
  std::vector<record_hole> holes;
};

using record_detail = std::variant<std::monostate, admit_detail, refuse_detail,
                                   open_detail, close_detail>;

/// One step of a pool's order of service.
struct order_record {
  std::string pool;
  epoch_id epoch;
  /// Consecutive within the epoch; the next epoch goes on counting.
  std::uint64_t number = 0;
  instant time{};
  record_kind kind = record_kind::admit;
  std::string request_id;
  /// The entry that holds the request; for epochs the sequencer's owner.
  std::string origin;
  std::string caller;
  std::string class_name;
  std::uint32_t attempt = 0;
  std::uint64_t config_version = 0;
  /// Digest of the record before; all zeros for a pool's first record.
  digest previous{};
  record_detail detail;
};

/// What a command does not say about itself.
struct record_context {
  std::uint64_t config_version = 0;
  /// Caller and class of the request, for preemptions and cancellations.
  std::string caller;
  std::string class_name;
};

/// Makes the record of a command; pool, epoch, time and predecessor are left
/// for the log to fill in.
/// \param command the command.
/// \param context what the command does not say about itself.
/// \return the record.
order_record make_record(const sequencer_command& command,
                         const record_context& context);

/// Why a line is no order record.
enum class record_fault {
  not_json,
  wrong_shape,
  wrong_type,
  unknown_name,
  not_canonical
};

inline constexpr std::array<named<record_fault>, 5> record_fault_names{{
    {record_fault::not_json, "not_json"},
    {record_fault::wrong_shape, "wrong_shape"},
    {record_fault::wrong_type, "wrong_type"},
    {record_fault::unknown_name, "unknown_name"},
    {record_fault::not_canonical, "not_canonical"},
}};

using decoded_record = std::variant<order_record, record_fault>;

/// Writes a record as one line of canonical JSON, without a line end.
/// \param record the record.
/// \return the line; equal records give equal lines.
std::string encode_record(const order_record& record);

/// Reads a record.
/// \param line what `encode_record` wrote.
/// \return the record, or why the line is not one.
decoded_record decode_record(std::string_view line);

}  // namespace fulmar
