#include "batch-api.h"

#include <boost/json.hpp>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/secret.h"
#include "fulmarpitch/net/url.h"
#include "fulmarpitch/state/jobs.h"
#include "wire.h"

namespace json = boost::json;

namespace fulmar {

using exchange_ptr = std::shared_ptr<http_exchange>;

/// A file that is being uploaded.
struct upload : std::enable_shared_from_this<upload> {
  upload(event_loop& event_loop, exchange_ptr from, platform_stores stores,
         file_upload_options options)
      : loop(event_loop),
        exchange(std::move(from)),
        content(std::move(stores), std::move(options)) {}

  void read() {
    exchange->read_body(
        [self = shared_from_this()](const absl::StatusOr<std::string>& piece) {
          self->take(piece);
        });
  }

  void take(const absl::StatusOr<std::string>& piece);
  void finish();

  event_loop& loop;
  exchange_ptr exchange;
  file_upload content;
  bool waits = false;
  bool ended = false;
};

namespace {

constexpr auto json_type = "application/json";
constexpr std::string_view output_suffix = "-output";
constexpr std::string_view errors_suffix = "-errors";
constexpr std::size_t list_page = 100;
/// Bytes a slow reader may leave unsent before the next chunk is read.
constexpr std::size_t content_window_bytes = std::size_t{4} * 1024 * 1024;
constexpr auto content_pause = std::chrono::milliseconds(20);

void answer(const exchange_ptr& it, const json::object& body) {
  it->respond({.headers = {{"Content-Type", json_type}},
               .body = json::serialize(body)});
}

std::int64_t seconds(instant at) {
  return std::chrono::duration_cast<std::chrono::seconds>(at).count();
}

json::object job_json(const job_info& job) {
  auto state = name_in(job_state_names, job.state);
  return {{"id", job.id},
          {"object", "batch"},
          {"endpoint", job.url},
          {"input_file_id", job.file_id},
          {"status", json::string(state.data(), state.size())},
          {"created_at", seconds(job.created)},
          {"due", seconds(job.due)},
          {"output_file_id", concat(job.id, output_suffix)},
          {"error_file_id", concat(job.id, errors_suffix)}};
}

json::object file_json(const file_info& file) {
  return {{"id", file.id},
          {"object", "file"},
          {"filename", file.name},
          {"bytes", file.bytes},
          {"items", file.items},
          {"purpose", "batch"},
          {"created_at", seconds(file.created)}};
}

template <typename T, typename Write>
callback<T> answer_with(const exchange_ptr& it, Write write) {
  return [it, write](const absl::StatusOr<T>& got) {
    if (!got.ok()) {
      refuse(it, got.status());
      return;
    }
    write(*got);
  };
}

struct batch_request {
  std::string file_id;
  std::string url;
  instant due{};
};

absl::StatusOr<batch_request> parse_batch(const std::string& body, instant now,
                                          instant window) {
  auto ec = json::error_code();
  auto value = json::parse(body, ec);
  if (ec || !value.is_object()) {
    return make_error(error_code::bad_request, "the body is no JSON object");
  }
  const auto& object = value.as_object();
  auto out = batch_request{.due = now + window};
  const auto* file = object.if_contains("input_file_id");
  const auto* url = object.if_contains("endpoint");
  if (file == nullptr || !file->is_string() || url == nullptr ||
      !url->is_string()) {
    return make_error(error_code::bad_request,
                      "input_file_id and endpoint must be texts");
  }
  out.file_id = std::string(file->as_string());
  out.url = std::string(url->as_string());
  if (out.url != "/v1/completions" && out.url != "/v1/chat/completions") {
    return make_error(
        error_code::bad_request,
        "endpoint must be /v1/completions or /v1/chat/completions");
  }
  if (const auto* due = object.if_contains("due")) {
    if (!due->is_int64() || std::chrono::seconds(due->as_int64()) <= now) {
      return make_error(error_code::bad_request,
                        "due must be a time to come, in seconds since 1970");
    }
    out.due = std::chrono::seconds(due->as_int64());
  }
  return out;
}

/// Sends a results file chunk by chunk.
struct content_sender : std::enable_shared_from_this<content_sender> {
  content_sender(event_loop& event_loop, exchange_ptr to, job_content from)
      : loop(event_loop), exchange(std::move(to)), content(std::move(from)) {}

  void start() {
    exchange->on_closed([self = shared_from_this()] { self->gone = true; });
    next();
  }

  void next() {
    if (gone) return;
    if (exchange->unsent_bytes() > content_window_bytes) {
      loop.after(content_pause, [self = shared_from_this()] { self->next(); });
      return;
    }
    content.next([self = shared_from_this()](
                     const absl::StatusOr<std::optional<std::string>>& lines) {
      self->take(lines);
    });
  }

  void take(const absl::StatusOr<std::optional<std::string>>& lines) {
    if (!lines.ok() && !started) {
      refuse(exchange, lines.status());
      return;
    }
    if (!lines.ok()) {
      loop.after(content_pause, [self = shared_from_this()] { self->next(); });
      return;
    }
    if (!started) {
      started = true;
      exchange->start_stream(
          {.headers = {{"Content-Type", "application/jsonl"}}});
    }
    if (!lines->has_value()) {
      exchange->finish();
      return;
    }
    exchange->write(**lines);
    loop.post([self = shared_from_this()] { self->next(); });
  }

  event_loop& loop;
  exchange_ptr exchange;
  job_content content;
  bool started = false;
  bool gone = false;
};

}  // namespace

void upload::take(const absl::StatusOr<std::string>& piece) {
  if (!piece.ok()) {
    ended = true;
    return;
  }
  if (piece->empty()) {
    finish();
    return;
  }
  if (auto status = content.feed(*piece); !status.ok()) {
    ended = true;
    refuse(exchange, status);
    return;
  }
  waits = !content.ready();
  if (!waits) read();
}

void upload::finish() {
  content.finish(event_loop::now(),
                 [self = shared_from_this()](const auto& file) {
                   self->ended = true;
                   if (!file.ok()) {
                     refuse(self->exchange, file.status());
                     return;
                   }
                   answer(self->exchange, file_json(*file));
                 });
}

batch_api::batch_api(event_loop& loop, platform_stores stores, std::string self)
    : loop_(loop), stores_(std::move(stores)), self_(std::move(self)) {}

std::string batch_api::unique_id(std::string_view kind) {
  return concat(kind, "-", event_loop::now().count(), "-",
                random_nonce().substr(0, 8), "-", ++last_id_);
}

bool batch_api::serve(const exchange_ptr& it, const std::string& caller,
                      const configuration& in_force) {
  const auto& method = it->request().method;
  auto path = path_of(it->request().target);
  if (path == "/v1/files" && method == "POST") {
    upload_file(it, caller, in_force);
  } else if (path == "/v1/batches" && method == "POST") {
    create_batch(it, caller, in_force);
  } else if (path == "/v1/batches" && method == "GET") {
    list_batches(it, caller);
  } else if (auto file = after_prefix(path, "/v1/files/")) {
    constexpr auto suffix = std::string_view("/content");
    if (!file->ends_with(suffix) || method != "GET") return false;
    file->remove_suffix(suffix.size());
    send_content(it, caller, std::string(*file));
  } else if (auto job = after_prefix(path, "/v1/batches/")) {
    constexpr auto suffix = std::string_view("/cancel");
    if (method == "POST" && job->ends_with(suffix)) {
      job->remove_suffix(suffix.size());
      cancel_batch(it, caller, std::string(*job));
    } else if (method == "GET") {
      show_batch(it, caller, std::string(*job));
    } else {
      return false;
    }
  } else {
    return false;
  }
  return true;
}

void batch_api::tick() {
  auto now = event_loop::now();
  for (auto it = uploads_.begin(); it != uploads_.end();) {
    auto each = *it;
    each->content.tick(now);
    if (each->waits && each->content.ready()) {
      each->waits = false;
      each->read();
    }
    it = each->ended ? uploads_.erase(it) : std::next(it);
  }
}

void batch_api::upload_file(const exchange_ptr& it, const std::string& caller,
                            const configuration& in_force) {
  auto made = std::make_shared<upload>(
      loop_, it, stores_,
      file_upload_options{
          .file_id = unique_id("file"),
          .caller = caller,
          .name = query_parameter(it->request().target, "filename"),
          .most_items = in_force.batch.max_items_per_job,
          .chunk_items = in_force.batch.chunk_items});
  uploads_.insert(made);
  made->read();
}

void batch_api::create_batch(const exchange_ptr& it, const std::string& caller,
                             const configuration& in_force) {
  auto now = event_loop::now();
  auto asked =
      parse_batch(it->request().body, now, in_force.batch.default_window);
  if (!asked.ok()) {
    refuse(it, asked.status());
    return;
  }
  auto key = std::string(find_header(it->request().headers, "idempotency-key"));
  auto request = job_request{.key = std::move(key),
                             .url = asked->url,
                             .due = asked->due,
                             .now = now,
                             .transaction_id = unique_id("job")};
  find_file(stores_, caller, asked->file_id,
            answer_with<file_info>(it, [it, request, stores = stores_](
                                           const file_info& file) {
              auto whole = request;
              whole.file = file;
              create_job(stores, whole,
                         answer_with<job_created>(it, [it](const auto& made) {
                           answer(it, job_json(made.job));
                         }));
            }));
}

void batch_api::list_batches(const exchange_ptr& it,
                             const std::string& caller) {
  auto after = query_parameter(it->request().target, "after");
  list_jobs(stores_, caller, after, list_page,
            answer_with<std::vector<job_info>>(it, [it](const auto& jobs) {
              auto data = json::array();
              for (const auto& job : jobs)
                data.push_back(job_json(job));
              answer(it, {{"object", "list"},
                          {"has_more", jobs.size() == list_page},
                          {"data", std::move(data)}});
            }));
}

void batch_api::show_batch(const exchange_ptr& it, const std::string& caller,
                           const std::string& id) {
  auto stores = stores_;
  auto write = [it, stores](const job_info& job) {
    auto send = [it, job](const job_progress& progress) {
      auto body = job_json(job);
      body["request_counts"] = {{"total", job.items},
                                {"completed", progress.completed},
                                {"failed", progress.failed},
                                {"cancelled", progress.cancelled}};
      answer(it, body);
    };
    find_progress(stores, job, answer_with<job_progress>(it, send));
  };
  find_job(stores_, caller, id, answer_with<job_info>(it, write));
}

void batch_api::cancel_batch(const exchange_ptr& it, const std::string& caller,
                             const std::string& id) {
  cancel_job(stores_, caller, id, unique_id("cancel"),
             answer_with<job_info>(
                 it, [it](const auto& job) { answer(it, job_json(job)); }));
}

void batch_api::send_content(const exchange_ptr& it, const std::string& caller,
                             const std::string& file_id) {
  auto id = std::string_view(file_id);
  auto kind = content_kind::output;
  if (id.ends_with(output_suffix)) {
    id.remove_suffix(output_suffix.size());
  } else if (id.ends_with(errors_suffix)) {
    kind = content_kind::errors;
    id.remove_suffix(errors_suffix.size());
  } else {
    refuse(it, make_error(error_code::not_found, "no such results file"));
    return;
  }
  find_job(stores_, caller, std::string(id),
           answer_with<job_info>(
               it, [it, kind, this, stores = stores_](const job_info& job) {
                 std::make_shared<content_sender>(
                     loop_, it, job_content(stores, job, kind))
                     ->start();
               }));
}

void refuse(const exchange_ptr& it, error_code code, outcome what,
            std::string_view message, instant retry_after) {
  auto answer = http_response{.status = http_status(code),
                              .headers = {{"Content-Type", json_type}},
                              .body = error_body(code, what, message)};
  if (retry_after > instant{}) {
    answer.headers.push_back(
        {"Retry-After", std::to_string(1 + seconds(retry_after))});
  }
  it->respond(std::move(answer));
}

void refuse(const exchange_ptr& it, const absl::Status& status) {
  refuse(it, code_of(status), outcome_of(status),
         std::string(status.message()));
}

}  // namespace fulmar
