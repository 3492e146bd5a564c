#pragma once

/// \file
/// Batch jobs as the platform's store keeps them: one row for a job, one for
/// each listed result, and the submitted body. Every change of a job is one
/// transaction that demands the version of its row, so that a position holds
/// one result whoever writes it.

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

namespace fulmar::serving {

/// Tables of the store; the part is the host that clients name.
namespace job_table {
/// One row a job; every daemon follows it.
inline constexpr const char* jobs = "jobs";
/// The submitted bodies in pieces.
inline constexpr const char* bodies = "bodies";
/// Results, a row for each position.
inline constexpr const char* results = "results";
/// Output so far of items that are not finished.
inline constexpr const char* partials = "partials";
}  // namespace job_table

/// Which daemon runs a job's items.
struct job_owner {
  /// Name and incarnation; empty when nobody does.
  std::string name;
  std::string data_centre;

  bool operator==(const job_owner&) const = default;
};

/// A job's row.
struct job_row {
  std::string id;
  std::string host;
  std::string route;
  std::uint32_t items = 0;
  /// Tokens of items that are not listed.
  std::uint64_t waiting_tokens = 0;
  /// Acceptance, on the store's clock.
  instant accepted{};
  job_owner owner;
  /// The item at each position listed so far.
  std::vector<std::uint32_t> listed;
  /// A client ended the job.
  bool ended = false;
  /// The body stands in an object of this name; empty when in rows.
  std::string object;
  std::uint64_t version = 0;

  bool complete() const { return listed.size() >= items; }
  /// \return whether items remain to be run.
  bool open() const { return !ended && !complete(); }
};

/// Writes a job's row, without its id, host and version, which name the row.
std::string encode_job(const job_row& it);

/// Reads a job's row.
/// \return the job, or `bad_request` for a row of another form.
absl::StatusOr<job_row> decode_job(const stored_row& from);

/// \return the name of a job's row.
row_name job_row_name(const job_row& it);

/// \return the name of the row for one position of a job's results.
row_name result_row_name(const job_row& it, std::uint32_t position);

/// \return the name of the row for the output that an item has so far.
row_name progress_row_name(const job_row& it, std::uint32_t item);

/// \return a job's rows in a table that numbers them.
row_range rows_of(const char* table, const job_row& job);

/// \return the rows of a job's results from a position on.
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
};

std::string encode_result(const item_result& it);
absl::StatusOr<item_result> decode_result(std::string_view text);

/// Output that an item has so far.
struct item_progress {
  std::uint64_t last_event = 0;
  /// Data of all events up to `last_event`, joined by line feeds.
  std::string output;
  /// Targets that failed to run the item.
  std::uint32_t failures = 0;
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

/// Every job this daemon has seen in the store.
struct job_book {
  absl::flat_hash_map<std::string, job_row> jobs;
  /// The row of each route that orders its acceptances: tokens accepted ever.
  struct gate {
    std::uint64_t accepted_tokens = 0;
    std::uint64_t version = 0;
  };
  /// By host and route.
  absl::flat_hash_map<std::string, gate> gates;
};

/// \return the name of a route's gate in the book.
std::string gate_name(const std::string& host, const std::string& route);

/// \return the name of the row that orders a route's acceptances.
row_name gate_row_name(const std::string& host, const std::string& route);

std::string encode_gate(std::uint64_t accepted_tokens);

/// Takes a row of the table of jobs into the book. Older rows change nothing.
/// \return the job's id when the row is a job; nothing for other rows.
std::optional<std::string> take_job_row(job_book& book, const stored_row& it);

/// Finds a job.
/// \return the job, or null.
const job_row* find_job(const job_book& book, const std::string& id);

/// Tokens of all open jobs of a route.
std::uint64_t waiting_tokens(const job_book& book, const std::string& host,
                             const std::string& route);

/// What to do with a submitted job.
enum class submission_verdict { known, fits, over_limit };

/// Judges a submitted job.
/// \param book what is known.
/// \param id the job's id.
/// \param host the client's host.
/// \param route the route's name.
/// \param limit most waiting tokens of the route; 0 for no limit.
/// \param accepted_tokens tokens accepted ever as the gate's row says; more
///     than the book knows of when other daemons accepted since.
/// \param tokens the job's tokens.
submission_verdict judge_submission(const job_book& book, const std::string& id,
                                    const std::string& host,
                                    const std::string& route,
                                    std::uint64_t limit,
                                    std::uint64_t accepted_tokens,
                                    std::uint64_t tokens);

/// Builds the transaction that replaces a job's row, if nobody did since.
row_transaction job_change(const job_row& before, const job_row& after);

/// Tells whether nobody needs a job's rows any more.
/// \param it the job.
/// \param store_now the store's clock.
/// \param lifetime time from acceptance for which results can be read.
bool is_outdated(const job_row& it, instant store_now, instant lifetime);

/// Builds the transaction that removes a job's rows, as many as one transaction
/// takes; the job's own row goes with the last of them.
/// \param job the job.
/// \param rows names of the job's other rows that the store still has.
row_transaction removal(const job_row& job, std::vector<row_name> rows);

/// Builds the transaction that accepts a job.
/// \param job the job's row.
/// \param gate the gate as last seen; nothing for a job that needs no order.
/// \param tokens the job's tokens.
/// \param body the submitted body; empty when it stands in an object.
/// \param piece_bytes most bytes in one row's value.
row_transaction acceptance(const job_row& job,
                           const std::optional<job_book::gate>& gate,
                           std::uint64_t tokens, std::string_view body,
                           std::size_t piece_bytes);

}  // namespace fulmar::serving
