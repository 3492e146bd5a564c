#pragma once

/// \file
/// Batch jobs as rows: creation, cancellation, listing, progress, output.

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fulmarpitch/state/files.h"

namespace fulmar {

/// Where a job stands. `completed` and `cancelled` are final: every item has
/// its one result.
enum class job_state { open, cancelling, completed, cancelled };

inline constexpr std::array<named<job_state>, 4> job_state_names{{
    {job_state::open, "open"},
    {job_state::cancelling, "cancelling"},
    {job_state::completed, "completed"},
    {job_state::cancelled, "cancelled"},
}};

/// A job, as its row holds it.
struct job_info {
  std::string id;
  std::string caller;
  std::string file_id;
  std::string content_hash;
  std::string url;
  std::uint64_t chunks = 0;
  std::uint64_t items = 0;
  instant due{};
  instant created{};
  job_state state = job_state::open;
  /// Version of the row that was read; not part of its value.
  std::uint64_t version = 0;
};

/// What a caller asks for.
struct job_request {
  file_info file;
  /// The caller's idempotency key; empty without one.
  std::string key;
  std::string url;
  instant due{};
  instant now{};
  /// Unique for each call, so that a transaction is never taken for another.
  std::string transaction_id;
};

/// The answer to a job request.
struct job_created {
  job_info job;
  /// Whether an earlier request had created the job.
  bool existed = false;
};

/// Creates a job. The same key of one caller is the same job; without a key
/// the same content of one caller is.
/// \param stores the stores.
/// \param request what is asked for.
/// \param done called once the row is committed; `key_reused` when the key
///   stands for other content, `store_unavailable` when it is unknown whether
///   the row was written: send the request again.
void create_job(const platform_stores& stores, const job_request& request,
                callback<job_created> done);

/// Reads a job.
/// \param stores the stores.
/// \param caller whose job it is.
/// \param job_id the job's id.
/// \param done receives the job; `not_found`, `store_unavailable`.
void find_job(const platform_stores& stores, const std::string& caller,
              const std::string& job_id, callback<job_info> done);

/// Lists a caller's jobs in order of their ids.
/// \param stores the stores.
/// \param caller whose jobs.
/// \param after the last id already seen; empty for the first page.
/// \param limit the most jobs to give.
/// \param done receives the page.
void list_jobs(const platform_stores& stores, const std::string& caller,
               const std::string& after, std::size_t limit,
               callback<std::vector<job_info>> done);

/// Cancels a job. From the commit on no chunk of it can be leased.
/// \param stores the stores.
/// \param caller whose job it is.
/// \param job_id the job's id.
/// \param transaction_id unique for each call.
/// \param done receives the job as it stands; a final job stays as it is.
void cancel_job(const platform_stores& stores, const std::string& caller,
                const std::string& job_id, const std::string& transaction_id,
                callback<job_info> done);

/// Where a chunk stands. `committed` and `dropped` are final; the items of a
/// dropped chunk are cancelled.
enum class chunk_state { unleased, leased, committed, dropped };

inline constexpr std::array<named<chunk_state>, 4> chunk_state_names{{
    {chunk_state::unleased, "unleased"},
    {chunk_state::leased, "leased"},
    {chunk_state::committed, "committed"},
    {chunk_state::dropped, "dropped"},
}};

/// A chunk, as its row holds it; an absent row is an unleased chunk.
struct chunk_info {
  std::uint64_t number = 0;
  chunk_state state = chunk_state::unleased;
  /// Fencing number: one more for each lease of the chunk.
  std::uint64_t fence = 0;
  std::string holder;
  instant until{};
  /// The committed output object.
  std::string object;
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;
  /// Version of the row that was read; not part of its value.
  std::uint64_t version = 0;
};

/// How far a job has come, from its final chunks.
struct job_progress {
  std::uint64_t items = 0;
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t chunks = 0;
  std::uint64_t final_chunks = 0;
};

/// Counts a job's final chunks and their items.
/// \param stores the stores.
/// \param job the job.
/// \param done receives the counts.
void find_progress(const platform_stores& stores, const job_info& job,
                   callback<job_progress> done);

/// Which of a job's two results files.
enum class content_kind { output, errors };

/// Reads the results file of a final job, one chunk at a time. Output and error
/// file together hold each custom_id exactly once.
class job_content {
 public:
  job_content(platform_stores stores, job_info job, content_kind kind);

  /// Reads on.
  /// \param done receives the next chunk's lines, perhaps none; nothing after
  ///   the last chunk; `conflict` when the job is not final. After another
  ///   failure the same chunk may be read again.
  void next(callback<std::optional<std::string>> done);

  struct state;

 private:
  std::shared_ptr<state> state_;
};

/// \param state where a job stands.
/// \return whether every item has its result.
constexpr bool is_final(job_state state) {
  return state == job_state::completed || state == job_state::cancelled;
}

/// \param state where a chunk stands.
/// \return whether every item of it has its result.
constexpr bool is_final(chunk_state state) {
  return state == chunk_state::committed || state == chunk_state::dropped;
}

namespace detail {

/// First character of each line of a chunk's output object.
inline constexpr char output_mark = 'o';
inline constexpr char error_mark = 'e';

std::string job_key(std::string_view caller, std::string_view id);
std::string open_key(const job_info& job);
std::string chunk_prefix(const job_info& job);
std::string chunk_key(const job_info& job, std::uint64_t number);
std::string job_value(const job_info& job);
absl::StatusOr<job_info> parse_job(const table_row& row);
std::string chunk_value(const chunk_info& chunk);
absl::StatusOr<chunk_info> parse_chunk_row(const table_row& row);

}  // namespace detail
}  // namespace fulmar
