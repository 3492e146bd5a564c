#pragma once

/// \file
/// Batch jobs as the platform's store keeps them: one row per job, one per
/// listed result, and the submitted body. Every change of a job is one
/// transaction conditional on the version of its row, so that a position holds
/// one result even if several daemons write.

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/net/http.h"
#include "fulmarpitch/serving/store.h"
#include "fulmarpitch/serving/versions.h"

namespace fulmar::serving {

/// Tables of the store, partitioned by the host of the client's request.
namespace job_table {
/// One row per job; every daemon follows this table.
inline constexpr const char* jobs = "jobs";
/// Submitted bodies, split into pieces.
inline constexpr const char* bodies = "bodies";
/// Results, one row per position.
inline constexpr const char* results = "results";
/// Outputs that are too long for a row, split into pieces.
inline constexpr const char* outputs = "outputs";
/// Partial output of unfinished items.
inline constexpr const char* partials = "partials";
}  // namespace job_table

/// The daemon that runs a job's items.
struct job_owner {
  /// "name#incarnation"; empty when the job has no owner.
  std::string name;
  std::string data_centre;

  bool operator==(const job_owner&) const = default;
};

/// A job's row.
struct job_row {
  std::string id;
  std::string host;
  std::string route;
  /// Name of the team that submitted it; empty if the route needs none.
  std::string team;
  std::uint32_t items = 0;
  /// Tokens of the items that are not listed yet.
  std::uint64_t waiting_tokens = 0;
  /// Time of acceptance, on the store's clock.
  instant accepted{};
  job_owner owner;
  /// Item numbers in the order of their results.
  std::vector<std::uint32_t> listed;
  /// A client ended the job.
  bool ended = false;
  /// Name of the object that holds the body; empty when it is in rows.
  std::string object;
  std::uint64_t version = 0;

  bool complete() const { return listed.size() >= items; }
  /// Tells whether items remain to be run.
  bool open() const { return !ended && !complete(); }
};

/// Encodes the value of a job's row. The id, host and version are not part of
/// the value; decode_job takes them from the row itself.
std::string encode_job(const job_row& it);

/// Decodes a job's row.
/// \return the job, or `bad_request` for a malformed row.
absl::StatusOr<job_row> decode_job(const stored_row& from);

row_name job_row_name(const job_row& it);

row_name result_row_name(const job_row& it, std::uint32_t position);

/// Names the object of a submission's body. Submissions of one job do not share
/// an object, as one may drop its own while another is accepted.
/// \param submission differs between the submissions of an incarnation.
std::string body_object_name(const std::string& job, std::uint64_t incarnation,
                             std::uint64_t submission);

/// Names the row that holds an item's partial output.
row_name progress_row_name(const job_row& it, std::uint32_t item);

/// Names the row that holds a piece of an item's output.
row_name output_row_name(const job_row& it, std::uint32_t item,
                         std::uint32_t piece);

/// The rows of the pieces of an item's output.
row_range output_rows_of(const job_row& it, std::uint32_t item);

/// The job's rows in a table that has one row per number.
row_range rows_of(const char* table, const job_row& job);

/// The rows of a job's results, starting at a position.
row_range results_from(const job_row& it, std::uint32_t position);

/// How an item ended.
enum class item_end { done, dead };

inline constexpr std::array<named<item_end>, 2> item_end_names{{
    {item_end::done, "done"},
    {item_end::dead, "dead"},
}};

/// One listed result.
struct item_result {
  std::string id;
  item_end end = item_end::done;
  std::string output;
  /// Pieces of the output in a table of its own; 0 if it is in this row.
  std::uint32_t pieces = 0;
  /// The item's number, which names the pieces.
  std::uint32_t item = 0;
};

std::string encode_result(const item_result& it);
absl::StatusOr<item_result> decode_result(std::string_view text);

/// Partial output of an unfinished item.
struct item_progress {
  std::uint64_t last_event = 0;
  /// Data of all events up to `last_event`, separated by line feeds.
  std::string output;
  /// Targets that failed to run the item.
  std::uint32_t failures = 0;
  /// The software that produced the output; its service is empty if there is no
  /// output.
  stream_origin origin;
};

std::string encode_progress(const item_progress& it);
absl::StatusOr<item_progress> decode_progress(std::string_view text);

/// An item as a client submitted it.
struct submitted_item {
  std::string id;
  std::string path;
  std::vector<http_header> headers;
  std::string body;
  std::uint64_t tokens = 0;
};

/// Local copy of all jobs in the store, as far as this daemon has read them.
struct job_book {
  absl::flat_hash_map<std::string, job_row> jobs;
  /// A quota counter: the tokens accepted since it was created. Its version
  /// serializes the acceptances of its scope.
  struct quota_counter {
    std::uint64_t accepted_tokens = 0;
    std::uint64_t version = 0;
  };
  /// By `quota_counter_key`.
  absl::flat_hash_map<std::string, quota_counter> quota_counters;
};

/// The jobs whose waiting tokens a limit counts together.
struct quota_scope {
  std::string host;
  std::string route;
  /// Those of a team, or of callers without a team if empty; nothing for all.
  std::optional<std::string> team{};
};

/// Key of a quota counter in the book.
std::string quota_counter_key(const quota_scope& it);

/// Names the row of a quota counter.
row_name quota_counter_row_name(const quota_scope& it);

std::string encode_quota_counter(std::uint64_t accepted_tokens);

/// Applies a row of the jobs table to the book. Older rows change nothing.
/// \return the job's id, or nothing for a row that is not a job's.
std::optional<std::string> take_job_row(job_book& book, const stored_row& it);

/// \return the job, or null when it is unknown.
const job_row* find_job(const job_book& book, const std::string& id);

/// Waiting tokens of all open jobs of a scope.
std::uint64_t waiting_tokens(const job_book& book, const quota_scope& scope);

/// Outcome of the check of a submitted job.
enum class submission_verdict { known, fits, over_limit };

/// Checks a submitted job against the known jobs and the limit of its scope.
/// \param limit maximum of the scope's waiting tokens; 0 for no limit.
/// \param accepted_tokens value of the quota counter; ahead of the book
///     when other daemons have accepted jobs since.
/// \param tokens the job's tokens.
submission_verdict judge_submission(const job_book& book, const std::string& id,
                                    const quota_scope& scope,
                                    std::uint64_t limit,
                                    std::uint64_t accepted_tokens,
                                    std::uint64_t tokens);

/// Builds the transaction that replaces a job's row, conditional on its
/// version.
row_transaction job_change(const job_row& before, const job_row& after);

/// Tells whether a job's rows may be removed.
/// \param store_now current time on the store's clock.
/// \param lifetime how long after acceptance results can be read.
bool is_expired(const job_row& it, instant store_now, instant lifetime);

/// Builds the transaction that removes a job's rows, up to the size limit of a
/// transaction. The job's own row is removed together with the last of them.
/// \param rows names of the job's other rows that are still in the store.
/// \param whole the names are all that there are.
row_transaction removal(const job_row& job, std::vector<row_name> rows,
                        bool whole = true);

/// Builds the transaction that accepts a job.
/// \param quota_counter the quota counter as last read; nothing for a job that
///     is accepted without it.
/// \param tokens the job's tokens.
/// \param body the submitted body; empty when it is stored as an object.
/// \param piece_bytes maximum size of one row's value.
row_transaction acceptance(
    const job_row& job,
    const std::optional<job_book::quota_counter>& quota_counter,
    std::uint64_t tokens, std::string_view body, std::size_t piece_bytes);

}  // namespace fulmar::serving
