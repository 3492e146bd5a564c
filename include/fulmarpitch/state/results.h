#pragma once

/// \file
/// Request ids, results and how a result is found from any VM.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/stores/stores.h"

namespace fulmar {

/// Both stores of the platform.
struct platform_stores {
  table_store table;
  object_store objects;
};

/// What a request id names. A result is found by it alone.
struct request_id_parts {
  std::string data_centre;
  /// Minutes since the epoch at which the request started.
  std::uint64_t minute = 0;
  /// Unique within the data centre and the minute.
  std::uint64_t unique = 0;

  bool operator==(const request_id_parts&) const = default;
};

/// Writes a request id.
/// \param data_centre where the request arrived.
/// \param start when it arrived.
/// \param unique a random number.
/// \return the id.
std::string make_request_id(std::string_view data_centre, instant start,
                            std::uint64_t unique);

/// Reads a request id.
/// \param id any text.
/// \return the parts, or nothing when the text is no request id.
std::optional<request_id_parts> parse_request_id(std::string_view id);

/// The one result of a request.
struct result_record {
  std::string request_id;
  std::string caller;
  error_code code = error_code::none;
  outcome what = outcome::ran;
  /// HTTP status towards the caller.
  int status = 200;
  std::string content_type = "application/json";
  /// The whole answer, any bytes.
  std::string body;
  instant started{};
  instant finished{};

  bool operator==(const result_record&) const = default;
};

/// Appends a result to an object's bytes.
/// \param record the result.
/// \param out receives a header line and the body.
void append_result(const result_record& record, std::string& out);

/// Reads the results of an object.
/// \param bytes what `append_result` wrote, any number of times.
/// \return the results in order, or `internal` when the bytes are damaged.
absl::StatusOr<std::vector<result_record>> parse_results(
    std::string_view bytes);

/// Finds a result in the stores. When an id was recorded twice, the record
/// that was committed first is the result.
/// \param stores the stores.
/// \param request_id the request's id.
/// \param done receives the result; `bad_request` for a text that is no id,
///   `not_found` when none is recorded, `store_unavailable`.
void find_result(const platform_stores& stores, const std::string& request_id,
                 callback<result_record> done);

/// What a claim is about.
enum class claim_kind { started, key, quarantined };

inline constexpr std::array<named<claim_kind>, 3> claim_kind_names{{
    {claim_kind::started, "started"},
    {claim_kind::key, "key"},
    {claim_kind::quarantined, "quarantined"},
}};

/// A row that only one claimant can write.
struct claim_record {
  claim_kind kind = claim_kind::started;
  /// The request id, the caller with its key, or a content hash.
  std::string subject;
  /// Who claims; the same claimant may claim again. Holds no line feed.
  std::string claimant;
  /// Kept with the claim, at most 4 KiB.
  std::string value;
};

/// Bytes a claim's value may have.
inline constexpr std::size_t max_claim_bytes = std::size_t{4} * 1024;

/// Who holds a claim.
struct claim_outcome {
  /// Whether the asking claimant holds it.
  bool granted = false;
  std::string claimant;
  std::string value;
};

/// Gives the key of a claim's row.
/// \param kind what the claim is about.
/// \param subject what is claimed.
/// \return the row's key.
std::string claim_key(claim_kind kind, std::string_view subject);

/// Reads a claim from the stores.
/// \param stores the stores.
/// \param claim names the row; its claimant decides `granted`.
/// \param done receives the holder; `not_found` when nobody holds it.
void find_claim(const platform_stores& stores, const claim_record& claim,
                callback<claim_outcome> done);

namespace detail {

/// Escapes a text so that it holds no separator of row keys.
std::string key_part(std::string_view text);

/// Writes and reads the value of a claim's row.
std::string claim_value(const claim_record& claim);
claim_outcome parse_claim(std::string_view value, std::string_view claimant);

/// Prefix of the index rows of one minute, and the key of one of them.
std::string result_prefix(std::string_view data_centre, std::uint64_t minute);
std::string result_row_key(std::string_view data_centre, std::uint64_t minute,
                           std::uint64_t sequence);

/// Key of the row that numbers a data centre's groups.
std::string result_head_key(std::string_view data_centre);

}  // namespace detail
}  // namespace fulmar
