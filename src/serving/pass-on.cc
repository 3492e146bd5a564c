#include "pass-on.h"

#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "platform/names.h"
#include "src/teams/peer-system.h"

namespace fulmar::serving {
namespace {

/// Time limit for the response, in addition to the wait that the client asked
/// for: several times the duration of two cross-region trips and a transaction.
constexpr auto response_timeout = std::chrono::milliseconds(1200);

/// Size limit of the response, which holds up to 1 MB of results, or an item's
/// body.
constexpr std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;

std::string format_call(const front& in, const http_request& request,
                        const teams::job_caller& caller) {
  auto fields = caller.is_checked
                    ? teams::caller_header_lines(request.headers, caller)
                    : forwarded_header_lines(request.headers,
                                             identity_headers::forwarded);
  return concat(request.method, " ", request.target,
                " HTTP/1.1\r\nHost: ", find_header(request.headers, "Host"),
                "\r\n", fields, teams::forwarded_by_header, ": ",
                in.settings.name, "\r\nContent-Length: ", request.body.size(),
                "\r\n\r\n");
}

/// Takes a connection to the port on which a daemon takes forwarded calls.
link_ptr take_link(front& in, const std::string& destination,
                   const teams::job_caller& caller) {
  if (caller.is_checked)
    return in.peer_links.take(teams::peer_address(in, destination));
  // All VMs use the same port for clients.
  const auto& own = in.settings.client_address;
  return in.daemon_links.take(concat(destination, own.substr(own.rfind(':'))));
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
                                  std::shared_ptr<http_exchange> client,
                                  teams::job_caller caller) {
  auto out = forwarded_call();
  const auto& request = client->request();
  if (!find_header(request.headers, teams::forwarded_by_header).empty())
    co_return out;
  auto began = event_loop::steady();
  auto destination = find_store_helper(in.board, ++in.request_count, began);
  if (!destination) co_return out;
  auto link = take_link(in, *destination, caller);
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
  auto text = format_call(in, request, caller);
  status = co_await link->send(text, request.body);
  auto answer = absl::StatusOr<http_response>(absl::UnknownError("not sent"));
  if (status.ok())
    answer = co_await teams::read_response(*link, max_response_bytes);
  if (!answer.ok()) {
    auto why =
        std::string(status.ok() ? answer.status().message() : status.message());
    log_call(in, request, *destination, why, 0, began);
    co_return out;
  }
  (caller.is_checked ? in.peer_links : in.daemon_links).give_back(link);
  log_call(in, request, *destination, "", answer->status, began);
  // This status guarantees that the call was not processed, so it counts as not
  // sent.
  if (answer->status == status_not_run) out.sent = false;
  if (answer->status < min_server_error_status) out.answer = std::move(*answer);
  co_return out;
}

task<bool> try_forward(front& in, std::shared_ptr<http_exchange> client,
                       teams::job_caller caller) {
  auto forwarded = co_await forward_call(in, client, std::move(caller));
  if (!forwarded.answer) co_return false;
  client->respond(std::move(*forwarded.answer));
  co_return true;
}

task<bool> forward_if_store_lost(front& in,
                                 std::shared_ptr<http_exchange> client,
                                 teams::job_caller caller) {
  if (!store_lost(in)) co_return false;
  auto answered = co_await try_forward(in, client, std::move(caller));
  co_return answered;
}

}  // namespace fulmar::serving
