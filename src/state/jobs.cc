#include "fulmarpitch/state/jobs.h"

#include <boost/json.hpp>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/state/content-hash.h"

namespace fulmar {
namespace detail {
namespace {

namespace json = boost::json;

constexpr std::size_t chunk_digits = 8;
constexpr std::size_t job_id_digits = 32;
constexpr std::size_t progress_page = 500;

absl::Status damaged_job() {
  return make_error(error_code::internal, "a stored job is damaged",
                    outcome::unknown);
}

template <typename E, std::size_t N>
E read_name(const json::value& value, const std::array<named<E>, N>& names) {
  const auto& text = value.as_string();
  return value_in(names, {text.data(), text.size()}).value();
}

/// Derives a job's id from what makes two requests the same job.
std::string job_id(const job_request& request) {
  auto hash = content_hash();
  const auto keyed = !request.key.empty();
  hash.add(keyed ? "key" : "content");
  hash.add({"\0", 1});
  hash.add(request.file.caller);
  hash.add({"\0", 1});
  hash.add(keyed ? request.key : request.file.content_hash);
  return concat("job_", hash.finish().substr(0, job_id_digits));
}

job_info make_job(const job_request& request) {
  return {.id = job_id(request),
          .caller = request.file.caller,
          .file_id = request.file.id,
          .content_hash = request.file.content_hash,
          .url = request.url,
          .chunks = request.file.chunks,
          .items = request.file.items,
          .due = request.due,
          .created = request.now};
}

/// Answers with the job that an earlier request created.
void answer_existing(const platform_stores& stores, const job_info& job,
                     callback<job_created> done) {
  find_job(stores, job.caller, job.id,
           [hash = job.content_hash,
            done = std::move(done)](const absl::StatusOr<job_info>& found) {
             if (!found.ok()) return done(found.status());
             if (found->content_hash != hash) {
               return done(make_error(error_code::key_reused,
                                      "the key stands for other content"));
             }
             done(job_created{.job = *found, .existed = true});
           });
}

void commit_cancel(const platform_stores& stores, job_info job,
                   const std::string& transaction_id, callback<job_info> done) {
  const auto key = job_key(job.caller, job.id);
  job.state = job_state::cancelling;
  stores.table.commit({.id = transaction_id,
                       .conditions = {{key, job.version}},
                       .writes = {{key, job_value(job)}}},
                      [stores, job, done = std::move(done)](
                          const absl::StatusOr<commit_result>& result) {
                        if (!result.ok()) return done(result.status());
                        if (result->committed) return done(job);
                        // Another VM closed or cancelled the job in between.
                        find_job(stores, job.caller, job.id, done);
                      });
}

absl::StatusOr<job_info> job_of_row(const table_row& row) {
  if (row.version > 0) return parse_job(row);
  return make_error(error_code::not_found, "no such job");
}

/// Counts one page of chunk rows after the other.
void count_chunks(const platform_stores& stores, const job_info& job,
                  const std::string& after, job_progress counted,
                  callback<job_progress> done) {
  stores.table.scan(
      chunk_prefix(job), after, progress_page,
      [=](const absl::StatusOr<std::vector<table_row>>& page) mutable {
        if (!page.ok()) return done(page.status());
        for (const auto& row : *page) {
          const auto chunk = parse_chunk_row(row);
          if (!chunk.ok()) return done(chunk.status());
          counted.completed += chunk->completed;
          counted.failed += chunk->failed;
          counted.cancelled += chunk->cancelled;
          counted.final_chunks += is_final(chunk->state) ? 1 : 0;
        }
        if (page->size() < progress_page) return done(counted);
        count_chunks(stores, job, page->back().key, counted, std::move(done));
      });
}

}  // namespace

std::string job_key(std::string_view caller, std::string_view id) {
  return concat("job/", key_part(caller), '/', key_part(id));
}

std::string open_key(const job_info& job) {
  return concat("open/", padded(static_cast<std::uint64_t>(job.due.count())),
                '/', key_part(job.caller), '/', key_part(job.id));
}

std::string chunk_prefix(const job_info& job) {
  return concat("chunk/", key_part(job.id), '/');
}

std::string chunk_key(const job_info& job, std::uint64_t number) {
  return concat(chunk_prefix(job), padded(number, chunk_digits));
}

std::string job_value(const job_info& job) {
  auto out = json::object();
  out["id"] = job.id;
  out["caller"] = job.caller;
  out["file"] = job.file_id;
  out["content_hash"] = job.content_hash;
  out["url"] = job.url;
  out["chunks"] = job.chunks;
  out["items"] = job.items;
  out["due"] = job.due.count();
  out["created"] = job.created.count();
  out["state"] = std::string(name_in(job_state_names, job.state));
  return json::serialize(out);
}

absl::StatusOr<job_info> parse_job(const table_row& row) {
  try {
    const auto value = json::parse(row.value).as_object();
    auto out = job_info();
    out.id = value.at("id").as_string().c_str();
    out.caller = value.at("caller").as_string().c_str();
    out.file_id = value.at("file").as_string().c_str();
    out.content_hash = value.at("content_hash").as_string().c_str();
    out.url = value.at("url").as_string().c_str();
    out.chunks = value.at("chunks").to_number<std::uint64_t>();
    out.items = value.at("items").to_number<std::uint64_t>();
    out.due = instant(value.at("due").to_number<std::int64_t>());
    out.created = instant(value.at("created").to_number<std::int64_t>());
    out.state = read_name(value.at("state"), job_state_names);
    out.version = row.version;
    return out;
  } catch (const std::exception&) {
    return damaged_job();
  }
}

std::string chunk_value(const chunk_info& chunk) {
  auto out = json::object();
  out["number"] = chunk.number;
  out["state"] = std::string(name_in(chunk_state_names, chunk.state));
  out["fence"] = chunk.fence;
  out["holder"] = chunk.holder;
  out["until"] = chunk.until.count();
  out["object"] = chunk.object;
  out["completed"] = chunk.completed;
  out["failed"] = chunk.failed;
  out["cancelled"] = chunk.cancelled;
  return json::serialize(out);
}

absl::StatusOr<chunk_info> parse_chunk_row(const table_row& row) {
  if (row.version == 0) return chunk_info();
  try {
    const auto value = json::parse(row.value).as_object();
    auto out = chunk_info();
    out.number = value.at("number").to_number<std::uint64_t>();
    out.state = read_name(value.at("state"), chunk_state_names);
    out.fence = value.at("fence").to_number<std::uint64_t>();
    out.holder = value.at("holder").as_string().c_str();
    out.until = instant(value.at("until").to_number<std::int64_t>());
    out.object = value.at("object").as_string().c_str();
    out.completed = value.at("completed").to_number<std::uint64_t>();
    out.failed = value.at("failed").to_number<std::uint64_t>();
    out.cancelled = value.at("cancelled").to_number<std::uint64_t>();
    out.version = row.version;
    return out;
  } catch (const std::exception&) {
    return damaged_job();
  }
}

}  // namespace detail

void create_job(const platform_stores& stores, const job_request& request,
                callback<job_created> done) {
  const auto job = detail::make_job(request);
  const auto key = detail::job_key(job.caller, job.id);
  auto transaction = table_transaction{
      .id = request.transaction_id,
      .conditions = {{key, 0}},
      .writes = {{key, detail::job_value(job)},
                 {detail::open_key(job), detail::job_value(job)}}};
  stores.table.commit(std::move(transaction),
                      [stores, job, done = std::move(done)](
                          const absl::StatusOr<commit_result>& result) {
                        if (!result.ok()) return done(result.status());
                        if (result->committed)
                          return done(job_created{.job = job});
                        detail::answer_existing(stores, job, done);
                      });
}

void find_job(const platform_stores& stores, const std::string& caller,
              const std::string& job_id, callback<job_info> done) {
  stores.table.read(
      detail::job_key(caller, job_id),
      [done = std::move(done)](const absl::StatusOr<table_row>& row) {
        if (!row.ok()) return done(row.status());
        done(detail::job_of_row(*row));
      });
}

void list_jobs(const platform_stores& stores, const std::string& caller,
               const std::string& after, std::size_t limit,
               callback<std::vector<job_info>> done) {
  const auto prefix = detail::job_key(caller, "");
  const auto from = after.empty() ? "" : detail::job_key(caller, after);
  stores.table.scan(prefix, from, limit,
                    [done = std::move(done)](
                        const absl::StatusOr<std::vector<table_row>>& page) {
                      if (!page.ok()) return done(page.status());
                      auto out = std::vector<job_info>();
                      for (const auto& row : *page) {
                        auto job = detail::parse_job(row);
                        if (!job.ok()) return done(job.status());
                        out.push_back(*std::move(job));
                      }
                      done(std::move(out));
                    });
}

void cancel_job(const platform_stores& stores, const std::string& caller,
                const std::string& job_id, const std::string& transaction_id,
                callback<job_info> done) {
  const auto cancel_found = [stores, transaction_id, done = std::move(done)](
                                const absl::StatusOr<job_info>& found) {
    if (!found.ok()) return done(found.status());
    if (found->state != job_state::open) return done(*found);
    detail::commit_cancel(stores, *found, transaction_id, done);
  };
  find_job(stores, caller, job_id, cancel_found);
}

void find_progress(const platform_stores& stores, const job_info& job,
                   callback<job_progress> done) {
  detail::count_chunks(stores, job, "",
                       {.items = job.items, .chunks = job.chunks},
                       std::move(done));
}

}  // namespace fulmar
