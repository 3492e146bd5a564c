#include "pass-on.h"

#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "platform/names.h"

namespace fulmar::serving {
namespace {

/// Marks a forwarded call; its value is the name of the forwarding daemon's VM.
constexpr std::string_view forwarded_by_header = "Fulmar-Passed-On";

/// Time limit for the response, in addition to the wait that the client asked
/// for: several times the duration of two cross-region trips and a transaction.
constexpr auto response_timeout = std::chrono::milliseconds(1200);

/// Size limit of the response, which holds up to 1 MB of results, or an item's
/// body.
constexpr std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;

std::string format_call(const front& in, const http_request& request,
                        std::string_view host) {
  return concat(request.method, " ", request.target,
                " HTTP/1.1\r\nHost: ", host, "\r\n",
                forwarded_header_lines(request.headers), forwarded_by_header,
                ": ", in.settings.name,
                "\r\nContent-Length: ", request.body.size(), "\r\n\r\n");
}

task<absl::StatusOr<http_response>> read_response(http_link& link) {
  auto head = co_await link.read_head();
  if (!head.ok()) co_return head.status();
  auto body = co_await link.read_rest(max_response_bytes);
  if (!body.ok()) co_return body.status();
  auto out = http_response{.status = head->status,
                           .headers = forwarded_headers(*head),
                           .body = std::move(*body)};
  co_return out;
}

void log_call(front& in, const http_request& request,
              std::string_view destination, std::string_view why, int status,
              instant began) {
  auto took = event_loop::steady() - began;
  in.log.add("call_passed_on",
             {{"request_id",
               find_header(request.headers, platform::header::request_id)},
              {"path", request.target},
              {"to", destination},
              {"status", std::int64_t{status}},
              {"why", why},
              {"took_us", std::int64_t{took.count()}}});
}

}  // namespace

task<forwarded_call> forward_call(front& in,
                                  std::shared_ptr<http_exchange> client) {
  auto out = forwarded_call();
  const auto& request = client->request();
  if (!find_header(request.headers, forwarded_by_header).empty()) co_return out;
  auto began = event_loop::steady();
  auto destination = find_store_helper(in.board, ++in.request_count, began);
  if (!destination) co_return out;
  // All VMs use the same port for clients.
  const auto& own = in.settings.client_address;
  auto link =
      in.daemon_links.take(concat(*destination, own.substr(own.rfind(':'))));
  link->expire_at(began + requested_wait(request).value_or(instant{}) +
                  response_timeout);
  auto status = absl::OkStatus();
  if (!link->is_open()) status = co_await link->connect();
  if (!status.ok()) {
    log_call(in, request, *destination, std::string(status.message()), 0,
             began);
    co_return out;
  }
  out.sent = true;
  auto host = find_header(request.headers, "Host");
  auto text = format_call(in, request, host);
  status = co_await link->send(text, request.body);
  auto answer = absl::StatusOr<http_response>(absl::UnknownError("not sent"));
  if (status.ok()) answer = co_await read_response(*link);
  if (!answer.ok()) {
    auto why =
        std::string(status.ok() ? answer.status().message() : status.message());
    log_call(in, request, *destination, why, 0, began);
    co_return out;
  }
  in.daemon_links.give_back(link);
  log_call(in, request, *destination, "", answer->status, began);
  // This status guarantees that the call was not processed, so it counts as not
  // sent.
  if (answer->status == status_not_run) out.sent = false;
  if (answer->status < min_server_error_status) out.answer = std::move(*answer);
  co_return out;
}

task<bool> try_forward(front& in, std::shared_ptr<http_exchange> client) {
  auto forwarded = co_await forward_call(in, client);
  if (!forwarded.answer) co_return false;
  client->respond(std::move(*forwarded.answer));
  co_return true;
}

task<bool> forward_if_store_lost(front& in,
                                 std::shared_ptr<http_exchange> client) {
  if (!store_lost(in)) co_return false;
  auto answered = co_await try_forward(in, client);
  co_return answered;
}

}  // namespace fulmar::serving
