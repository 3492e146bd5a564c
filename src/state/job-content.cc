#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/state/chunk-lease.h"
#include "fulmarpitch/state/jobs.h"

namespace fulmar {

struct job_content::state {
  platform_stores stores;
  job_info job;
  content_kind kind = content_kind::output;
  std::uint64_t next_chunk = 0;
};

namespace detail {
namespace {

using content_ptr = std::shared_ptr<job_content::state>;
using lines_callback = callback<std::optional<std::string>>;

/// Picks the lines that belong to one of the two files.
std::string pick_lines(std::string_view bytes, content_kind kind) {
  const auto mark = kind == content_kind::output ? output_mark : error_mark;
  auto out = std::string();
  while (!bytes.empty()) {
    const auto end = std::min(bytes.find('\n'), bytes.size() - 1);
    if (bytes.front() == mark) out += bytes.substr(1, end);
    bytes.remove_prefix(end + 1);
  }
  return out;
}

void read_committed(const content_ptr& it, const chunk_info& chunk,
                    lines_callback done) {
  it->stores.objects.get(
      chunk.object,
      [it, done = std::move(done)](const absl::StatusOr<std::string>& bytes) {
        if (!bytes.ok()) return done(bytes.status());
        ++it->next_chunk;
        done(pick_lines(*bytes, it->kind));
      });
}

/// A dropped chunk has no output object: its items are read again.
void read_dropped(const content_ptr& it, lines_callback done) {
  if (it->kind == content_kind::output) {
    ++it->next_chunk;
    return done(std::string());
  }
  it->stores.objects.get(
      chunk_object_name(it->job.file_id, it->next_chunk),
      [it, done = std::move(done)](const absl::StatusOr<std::string>& bytes) {
        if (!bytes.ok()) return done(bytes.status());
        const auto items = parse_chunk(*bytes);
        if (!items.ok()) return done(items.status());
        auto out = std::string();
        for (const auto& item : *items) {
          out += concat(cancelled_line(item.custom_id), '\n');
        }
        ++it->next_chunk;
        done(std::move(out));
      });
}

void read_chunk(const content_ptr& it, lines_callback done) {
  it->stores.table.read(
      chunk_key(it->job, it->next_chunk),
      [it, done = std::move(done)](const absl::StatusOr<table_row>& row) {
        if (!row.ok()) return done(row.status());
        const auto chunk = parse_chunk_row(*row);
        if (!chunk.ok()) return done(chunk.status());
        if (chunk->state == chunk_state::dropped) {
          return read_dropped(it, done);
        }
        if (chunk->state == chunk_state::committed) {
          return read_committed(it, *chunk, done);
        }
        done(make_error(error_code::internal, "a final job's chunk is open"));
      });
}

}  // namespace
}  // namespace detail

job_content::job_content(platform_stores stores, job_info job,
                         content_kind kind)
    : state_(std::make_shared<state>(
          state{std::move(stores), std::move(job), kind})) {}

void job_content::next(callback<std::optional<std::string>> done) {
  if (!is_final(state_->job.state)) {
    return done(make_error(error_code::conflict, "the job is not final"));
  }
  if (state_->next_chunk >= state_->job.chunks) {
    return done(std::optional<std::string>());
  }
  detail::read_chunk(state_, std::move(done));
}

}  // namespace fulmar
