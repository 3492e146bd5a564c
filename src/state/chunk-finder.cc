#include <boost/json.hpp>
#include <random>
#include <unordered_map>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/state/chunk-lease.h"

namespace fulmar {
namespace detail {
namespace {

constexpr std::string_view open_prefix = "open/";
/// Open jobs that one search looks at; the next search goes on behind them.
constexpr std::size_t jobs_per_search = 32;
/// Chunks that one read covers.
constexpr std::size_t chunks_per_read = 64;
/// Chunks that one transaction drops; its job's condition takes a row too.
constexpr std::size_t drops_per_write = (max_transaction_rows - 1) / 2;
/// Jobs whose progress is remembered.
constexpr std::size_t most_remembered = 10'000;

}  // namespace
}  // namespace detail

struct chunk_finder::state {
  platform_stores stores;
  chunk_options options;
  std::mt19937_64 random;
  /// For each job the number below which every chunk is final.
  std::unordered_map<std::string, std::uint64_t> settled;
  /// Where the next search begins.
  std::string after;
  std::uint64_t transactions = 0;
};

namespace detail {
namespace {

using finder_ptr = std::shared_ptr<chunk_finder::state>;

/// One search under way.
struct search {
  finder_ptr finder;
  instant now{};
  chunk_finder::job_filter wants;
  callback<std::optional<chunk_candidate>> done;
  std::vector<table_row> jobs;
  std::size_t next_job = 0;
  job_info job;
  /// First chunk of the window that is looked at.
  std::uint64_t window = 0;
};

using search_ptr = std::shared_ptr<search>;

void look_at_next_job(const search_ptr& it);
void look_at_window(const search_ptr& it);

std::string next_id(chunk_finder::state& it) {
  return concat(it.options.holder, "/finder/", it.transactions++);
}

bool may_be_leased(const search& it, const chunk_info& chunk) {
  if (chunk.state == chunk_state::unleased) return true;
  if (chunk.state != chunk_state::leased) return false;
  const auto& is_lost = it.finder->options.is_lost;
  return chunk.until <= it.now || (is_lost && is_lost(chunk.holder));
}

/// Gives every chunk of the window, also those without a row.
std::vector<chunk_info> window_chunks(const search& it,
                                      const std::vector<table_row>& rows) {
  const auto end = std::min(it.job.chunks, it.window + chunks_per_read);
  auto out = std::vector<chunk_info>(end - it.window);
  for (std::size_t n = 0; n < out.size(); ++n)
    out[n].number = it.window + n;
  for (const auto& row : rows) {
    const auto chunk = parse_chunk_row(row);
    if (!chunk.ok() || chunk->number >= end) continue;
    out[chunk->number - it.window] = *chunk;
  }
  return out;
}

void remember_settled(search& it, const std::vector<chunk_info>& chunks) {
  auto& all = it.finder->settled;
  if (all.size() >= most_remembered) all.clear();
  auto& settled = all[it.job.id];
  for (const auto& chunk : chunks) {
    if (chunk.number == settled && is_final(chunk.state)) ++settled;
  }
}

/// Closes a job whose chunks are all final.
void close_job(const search_ptr& it, const job_info& found) {
  auto job = found;
  job.state = found.state == job_state::open ? job_state::completed
                                             : job_state::cancelled;
  const auto key = job_key(job.caller, job.id);
  auto transaction = table_transaction{.id = next_id(*it->finder)};
  transaction.conditions.push_back({key, found.version});
  transaction.writes.push_back({key, job_value(job)});
  transaction.writes.push_back({open_key(job), std::nullopt});
  it->finder->settled.erase(job.id);
  it->finder->stores.table.commit(
      std::move(transaction),
      [it](const absl::StatusOr<commit_result>& result) {
        if (!result.ok()) return it->done(result.status());
        look_at_next_job(it);
      });
}

/// Drops the chunks of a cancelled job that nobody holds.
void drop_chunks(const search_ptr& it, const job_info& job,
                 const std::vector<chunk_info>& chunks) {
  auto transaction = table_transaction{.id = next_id(*it->finder)};
  for (const auto& chunk : chunks) {
    if (!may_be_leased(*it, chunk)) continue;
    if (transaction.writes.size() >= drops_per_write) break;
    const auto key = chunk_key(job, chunk.number);
    auto dropped = chunk_info{.number = chunk.number,
                              .state = chunk_state::dropped,
                              .fence = chunk.fence};
    transaction.conditions.push_back({key, chunk.version});
    transaction.writes.push_back({key, chunk_value(dropped)});
  }
  it->finder->stores.table.commit(
      std::move(transaction),
      [it](const absl::StatusOr<commit_result>& result) {
        if (!result.ok()) return it->done(result.status());
        // Another VM writes the same chunks: leave the job to it.
        if (!result->committed) return look_at_next_job(it);
        look_at_window(it);
      });
}

/// Reads the job's row, whose state and version decide what may be done.
void with_job(const search_ptr& it,
              const std::function<void(const job_info&)>& then) {
  find_job(it->finder->stores, it->job.caller, it->job.id,
           [it, then](const absl::StatusOr<job_info>& found) {
             if (!found.ok()) return it->done(found.status());
             if (is_final(found->state)) return look_at_next_job(it);
             then(*found);
           });
}

void use_window(const search_ptr& it, const std::vector<chunk_info>& chunks) {
  auto open = std::vector<chunk_info>();
  for (const auto& chunk : chunks) {
    if (may_be_leased(*it, chunk)) open.push_back(chunk);
  }
  if (open.empty()) {
    it->window += chunks_per_read;
    return look_at_window(it);
  }
  with_job(it, [it, open](const job_info& job) {
    if (job.state == job_state::cancelling) return drop_chunks(it, job, open);
    // A random chunk, so that many VMs rarely try for the same one.
    const auto n = it->finder->random() % open.size();
    it->finder->after.clear();
    it->done(chunk_candidate{.job = job, .chunk = open[n]});
  });
}

void look_at_window(const search_ptr& it) {
  if (it->finder->settled[it->job.id] >= it->job.chunks) {
    return with_job(it, [it](const job_info& job) { close_job(it, job); });
  }
  if (it->window >= it->job.chunks) return look_at_next_job(it);
  const auto after = it->window == 0 ? "" : chunk_key(it->job, it->window - 1);
  it->finder->stores.table.scan(
      chunk_prefix(it->job), after, chunks_per_read,
      [it](const absl::StatusOr<std::vector<table_row>>& rows) {
        if (!rows.ok()) return it->done(rows.status());
        const auto chunks = window_chunks(*it, *rows);
        remember_settled(*it, chunks);
        use_window(it, chunks);
      });
}

void look_at_next_job(const search_ptr& it) {
  while (it->next_job < it->jobs.size()) {
    const auto job = parse_job(it->jobs[it->next_job++]);
    if (!job.ok() || !it->wants(*job)) continue;
    it->job = *job;
    it->window = it->finder->settled[job->id];
    return look_at_window(it);
  }
  const auto last = it->jobs.size() < jobs_per_search;
  it->finder->after = last ? "" : it->jobs.back().key;
  it->done(std::optional<chunk_candidate>());
}

}  // namespace
}  // namespace detail

chunk_finder::chunk_finder(platform_stores stores, chunk_options options)
    : state_(std::make_shared<state>()) {
  state_->stores = std::move(stores);
  state_->random.seed(options.random_seed);
  state_->options = std::move(options);
}

chunk_finder::~chunk_finder() = default;
chunk_finder::chunk_finder(chunk_finder&&) noexcept = default;
chunk_finder& chunk_finder::operator=(chunk_finder&&) noexcept = default;

void chunk_finder::next_chunk(instant now, job_filter wants,
                              callback<std::optional<chunk_candidate>> done) {
  auto it = std::make_shared<detail::search>();
  it->finder = state_;
  it->now = now;
  it->wants = std::move(wants);
  it->done = std::move(done);
  state_->stores.table.scan(
      std::string(detail::open_prefix), state_->after, detail::jobs_per_search,
      [it](const absl::StatusOr<std::vector<table_row>>& rows) {
        if (!rows.ok()) return it->done(rows.status());
        it->jobs = *rows;
        detail::look_at_next_job(it);
      });
}

std::string cancelled_line(std::string_view custom_id) {
  auto error = boost::json::object();
  error["code"] = "cancelled";
  error["outcome"] = "not_run";
  auto out = boost::json::object();
  out["custom_id"] =
      boost::json::string_view(custom_id.data(), custom_id.size());
  out["response"] = nullptr;
  out["error"] = std::move(error);
  return boost::json::serialize(out);
}

}  // namespace fulmar
