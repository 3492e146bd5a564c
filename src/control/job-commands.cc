#include <algorithm>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>

#include "fulmarpitch/control/rendering.h"
#include "fulmarpitch/control/session.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/url.h"

namespace fulmar {
namespace {

namespace json = boost::json;

constexpr instant poll_pause = std::chrono::seconds(1);
constexpr auto batches_path = std::string_view("/v1/batches");

std::string text_in(const json::object& fields, std::string_view name) {
  const auto* it = fields.if_contains(name);
  return it != nullptr && it->is_string() ? std::string(it->as_string())
                                          : std::string();
}

std::uint64_t count_in(const json::object& fields, std::string_view name) {
  const auto* it = fields.if_contains(name);
  auto ec = boost::system::error_code();
  return it == nullptr ? 0 : it->to_number<std::uint64_t>(ec);
}

/// Sends a request and reads the object in the answer.
std::optional<json::object> ask(const control_session& session,
                                http_request request, exit_status& result) {
  const auto answer =
      call_daemon(session, control_port::callers, std::move(request));
  result = exit_for(answer);
  if (result != exit_status::ok) {
    report_failure(session, answer);
    return std::nullopt;
  }
  auto ec = boost::system::error_code();
  auto body = json::parse(answer->body, ec);
  if (body.is_object()) return std::move(body.as_object());
  session.links.warn("the answer is not a JSON object\n");
  result = exit_status::unavailable;
  return std::nullopt;
}

exit_status print_object(const control_session& session,
                         const std::optional<json::object>& body,
                         exit_status result) {
  if (!body) return result;
  session.links.print(session.wants_json() ? json::serialize(*body) + "\n"
                                           : render_fields(*body));
  return result;
}

std::string job_path(const control_session& session) {
  return concat(batches_path, "/", percent_encode(session.values.text("<id>")));
}

bool has_ended(const json::object& job) {
  const auto status = text_in(job, "status");
  constexpr auto ended = std::array<std::string_view, 4>{
      "completed", "cancelled", "failed", "expired"};
  return std::find(ended.begin(), ended.end(), status) != ended.end();
}

void draw_progress(const control_session& session, const json::object& job) {
  if (!session.links.is_terminal) return;
  const auto* counts = job.if_contains("request_counts");
  const auto* fields = counts == nullptr ? nullptr : counts->if_object();
  if (fields == nullptr) return;
  const auto done =
      count_in(*fields, "completed") + count_in(*fields, "failed");
  session.links.warn("\r" + render_progress(done, count_in(*fields, "total")));
}

/// Follows a job until it has ended.
std::optional<json::object> wait_for(const control_session& session,
                                     const std::string& id,
                                     exit_status& result) {
  const auto path = concat(batches_path, "/", percent_encode(id));
  for (;;) {
    auto job = ask(session, {.target = path}, result);
    if (!job) return job;
    draw_progress(session, *job);
    if (!has_ended(*job)) {
      session.links.pause(poll_pause);
      continue;
    }
    if (session.links.is_terminal) session.links.warn("\n");
    return job;
  }
}

std::optional<std::string> read_whole(const std::string& path) {
  auto in = std::ifstream(path, std::ios::binary);
  if (!in) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(in), {});
}

}  // namespace

exit_status show_jobs(control_session& session) {
  auto result = exit_status::ok;
  const auto body = ask(session, {.target = std::string(batches_path)}, result);
  if (!body || session.wants_json()) {
    return print_object(session, body, result);
  }
  const auto* data = body->if_contains("data");
  const auto* rows = data == nullptr ? nullptr : data->if_array();
  session.links.print(rows == nullptr || rows->empty() ? "none\n"
                                                       : render_table(*rows));
  return result;
}

exit_status show_job(control_session& session) {
  auto result = exit_status::ok;
  const auto body = ask(session, {.target = job_path(session)}, result);
  return print_object(session, body, result);
}

exit_status cancel_job(control_session& session) {
  auto result = exit_status::ok;
  const auto body =
      ask(session,
          {.method = "POST", .target = concat(job_path(session), "/cancel")},
          result);
  return print_object(session, body, result);
}

exit_status upload_file(control_session& session) {
  const auto path = session.values.text("<file>");
  auto content = read_whole(path);
  if (!content) {
    session.links.warn(concat(path, " cannot be read\n"));
    return exit_status::refused;
  }
  const auto name = std::filesystem::path(path).filename().string();
  auto result = exit_status::ok;
  const auto file =
      ask(session,
          {.method = "POST",
           .target = concat("/v1/files?name=", percent_encode(name)),
           .headers = {{"Content-Type", "application/jsonl"}},
           .body = *std::move(content)},
          result);
  if (!file) return result;
  const auto request =
      json::object({{"input_file_id", text_in(*file, "id")},
                    {"endpoint", session.values.text("--endpoint")}});
  auto job = ask(session,
                 {.method = "POST",
                  .target = std::string(batches_path),
                  .headers = {{"Content-Type", "application/json"}},
                  .body = json::serialize(request)},
                 result);
  if (job && session.values.has("--wait")) {
    job = wait_for(session, text_in(*job, "id"), result);
  }
  return print_object(session, job, result);
}

}  // namespace fulmar
