#include "peer-system.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "caller-system.h"
#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/url.h"
#include "src/serving/reports.h"

namespace fulmar::teams {
namespace {

using serving::front;
using serving::request_source;

/// Names the team that was found, percent-encoded; empty for none.
constexpr std::string_view team_header = "Fulmar-Team";

/// Names the configuration in which the team was found.
constexpr std::string_view configuration_header = "Fulmar-Configuration";

constexpr auto daemon_headers = std::array<std::string_view, 3>{
    forwarded_by_header, team_header, configuration_header};

/// Answers with the configuration if it is newer than the version in `after`.
/// With `confirm` an empty answer says that there is none newer.
constexpr std::string_view configuration_path = "/configuration";
constexpr std::string_view after_parameter = "after";
constexpr std::string_view confirm_parameter = "confirm";

/// Time limit for an answer: several times the duration of two trips between
/// regions and a call to the store.
constexpr auto peer_timeout = std::chrono::milliseconds(250);

/// Daemons that are asked in one look-up.
constexpr int max_peers_asked = 2;

/// A configuration is far smaller: about 50 KB for 360 teams.
constexpr std::size_t max_configuration_bytes = std::size_t{4} * 1024 * 1024;

/// Room for the headers that are added to a client's.
constexpr std::uint32_t added_header_bytes = 4096;

/// Links that the daemons of all data centres may keep here.
constexpr std::size_t max_peer_connections = 512;

bool is_daemon_header(std::string_view name) {
  auto text = absl::string_view(name.data(), name.size());
  return std::any_of(daemon_headers.begin(), daemon_headers.end(),
                     [&](std::string_view it) {
                       return absl::EqualsIgnoreCase(
                           text, absl::string_view(it.data(), it.size()));
                     });
}

task<void> answer_configuration(front& in,
                                std::shared_ptr<http_exchange> client) {
  const auto& target = client->request().target;
  auto after = std::uint64_t{0};
  if (!absl::SimpleAtoi(query_parameter(target, after_parameter), &after)) {
    serving::refuse(*client, serving::status_not_run, "no version is named");
    co_return;
  }
  auto confirms = !query_parameter(target, confirm_parameter).empty();
  auto current = !confirms;
  if (confirms && in.configuration->version <= after)
    current = co_await confirm_by_store(in);
  auto is_newer = in.configuration->version > after;
  if (is_newer && in.configuration_text != nullptr) {
    client->respond({.body = *in.configuration_text});
  } else if (!is_newer && current) {
    client->respond({});
  } else {
    serving::refuse(*client, serving::status_not_run,
                    "it is not known whether there is a newer configuration");
  }
}

void handle_peer_call(front& in, const std::shared_ptr<http_exchange>& client) {
  auto from = client->remote_address();
  const auto& target = client->request().target;
  if (!in.reports->knows(from)) {
    in.log.add("peer_call_refused", {{"from", from}, {"path", target}});
    serving::refuse(*client, serving::status_not_run,
                    "the sender is not a daemon known here");
    return;
  }
  if (path_of(target) != configuration_path)
    return serving::handle_request(in, client, request_source::daemon);
  asio::co_spawn(in.io, answer_configuration(in, client), report_failure);
}

http_server_options server_options(const front& in) {
  const auto& limits = in.configuration->limits;
  return {.host = in.settings.address,
          .port = in.settings.first_peer_port,
          .max_body_bytes = limits.max_body_bytes,
          .max_header_bytes = limits.max_header_bytes + added_header_bytes,
          .max_connections = max_peer_connections,
          .max_all_unsent_bytes = serving::answer_budget(in.settings)};
}

/// Asks another daemon for a configuration.
task<absl::StatusOr<http_response>> call_peer(front& in, std::string ip,
                                              std::string target) {
  auto address = peer_address(in, ip);
  auto link = in.peer_links.take(address);
  link->expire_at(event_loop::steady() + peer_timeout);
  auto status = absl::OkStatus();
  if (!link->is_open()) status = co_await link->connect();
  auto head =
      concat("GET ", target, " HTTP/1.1\r\nHost: ", address, "\r\n\r\n");
  if (status.ok()) status = co_await link->send(head, {});
  if (!status.ok()) co_return status;
  auto out = co_await read_response(*link, max_configuration_bytes);
  if (out.ok()) in.peer_links.give_back(link);
  co_return out;
}

/// \return why a daemon gave no configuration; empty if it gave an answer.
std::string fault_of(const absl::StatusOr<http_response>& answer) {
  if (!answer.ok()) return std::string(answer.status().message());
  return answer->status == serving::status_ok
             ? std::string()
             : concat("status ", answer->status);
}

task<void> fetch_configuration(front& in, std::string from) {
  auto before = in.configuration->version;
  auto target = concat(configuration_path, "?", after_parameter, "=", before);
  auto answer = co_await call_peer(in, from, target);
  auto why = fault_of(answer);
  if (why.empty() && !answer->body.empty())
    serving::apply_configuration(in, answer->body);
  auto version = in.configuration->version;
  in.news.fetched += version > before ? 1 : 0;
  in.log.add("configuration_fetched", {{"from", from},
                                       {"before", before},
                                       {"version", version},
                                       {"why_not", why}});
  end_fetch(in.news, from, version, event_loop::steady());
}

}  // namespace

void update_peer_server(front& in) {
  if (in.peer_server != nullptr)
    return in.peer_server->set_limits(server_options(in));
  if (!in.configuration->teams.requires_keys) return;
  in.peer_server = std::make_unique<http_server>(
      in.loop, server_options(in),
      [&in](const auto& client) { handle_peer_call(in, client); });
  auto status = in.peer_server->start();
  if (status.ok()) return;
  in.peer_server.reset();
  auto why = std::string(status.message());
  in.log.add("peer_server_not_started", {{"why", why}});
}

std::string peer_address(const front& in, std::string_view ip) {
  return concat(ip, ":", in.settings.first_peer_port);
}

std::string caller_header_lines(const std::vector<http_header>& headers,
                                const job_caller& caller) {
  auto own = headers;
  std::erase_if(own, [](const auto& it) { return is_daemon_header(it.name); });
  return concat(
      serving::forwarded_header_lines(own, serving::identity_headers::dropped),
      team_header, ": ", percent_encode(caller.team), "\r\n",
      configuration_header, ": ", caller.configuration, "\r\n");
}

checked_caller read_checked_caller(const http_request& request) {
  // What can't be read is newer than any configuration, and so not known.
  constexpr auto unknown = std::numeric_limits<std::uint64_t>::max();
  auto out = checked_caller();
  auto team = percent_decode(find_header(request.headers, team_header));
  auto version = find_header(request.headers, configuration_header);
  if (!team || !absl::SimpleAtoi(std::string(version), &out.configuration))
    return {.configuration = unknown};
  out.team = std::move(*team);
  return out;
}

task<absl::StatusOr<http_response>> read_response(http_link& link,
                                                  std::size_t max_bytes) {
  auto head = co_await link.read_head();
  if (!head.ok()) co_return head.status();
  auto body = co_await link.read_rest(max_bytes);
  if (!body.ok()) co_return body.status();
  auto out = http_response{.status = head->status,
                           .headers = serving::forwarded_headers(*head),
                           .body = std::move(*body)};
  co_return out;
}

task<lookup_end> ask_peers(front& in) {
  for (auto n = 0; n < max_peers_asked; ++n) {
    auto asked = event_loop::steady();
    auto helper =
        serving::find_store_helper(in.board, ++in.request_count, asked);
    if (!helper) break;
    auto before = in.configuration->version;
    auto target = concat(configuration_path, "?", after_parameter, "=", before,
                         "&", confirm_parameter, "=1");
    auto answer = co_await call_peer(in, *helper, target);
    auto why = fault_of(answer);
    if (!why.empty()) {
      in.log.add("peer_gave_no_answer", {{"to", *helper}, {"why", why}});
      continue;
    }
    if (!answer->body.empty()) serving::apply_configuration(in, answer->body);
    if (in.configuration->version > before) co_return lookup_end::newer;
    auto confirmed = answer->body.empty() && serving::is_current(in, asked);
    if (confirmed) co_return lookup_end::current;
  }
  co_return lookup_end::unconfirmed;
}

void fetch_reported_configuration(front& in, instant now) {
  auto from = choose_holder(in.news, in.configuration->version,
                            in.settings.name, serving::store_lost(in), now);
  if (!from) return;
  in.news.fetching = true;
  asio::co_spawn(in.io, fetch_configuration(in, std::move(*from)),
                 report_failure);
}

}  // namespace fulmar::teams
