#include "fulmarpitch/config/operator-api.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <optional>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/url.h"

namespace fulmar {
namespace {

namespace json = boost::json;

constexpr auto api_root = std::string_view("/operator/v1/");
constexpr std::size_t default_page = 100;
constexpr std::size_t max_page = 1000;

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_conflict = 409;
constexpr int status_too_large = 413;
constexpr int status_unprocessable = 422;

using answer_callback = std::function<void(http_response)>;

http_response json_response(int status, std::string body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = std::move(body)};
}

http_response json_response(int status, const json::value& body) {
  return json_response(status, json::serialize(body));
}

http_response error_response(const absl::Status& status) {
  const auto code = code_of(status);
  const auto message = status.message();
  auto error =
      json::object({{"code", name_in(error_code_names, code)},
                    {"message", json::string(message.data(), message.size())},
                    {"outcome", name_in(outcome_names, outcome_of(status))}});
  return json_response(http_status(code),
                       json::object({{"error", std::move(error)}}));
}

json::array json_of(const std::vector<declaration_fault>& faults) {
  auto out = json::array();
  for (const auto& it : faults) {
    out.push_back(
        json::object({{"kind", name_in(declaration_fault_kind_names, it.kind)},
                      {"file", it.file},
                      {"path", it.path},
                      {"allowed", it.allowed}}));
  }
  return out;
}

json::array json_of(const std::vector<ticket_conflict>& conflicts) {
  auto out = json::array();
  for (const auto& it : conflicts) {
    out.push_back(json::object({{"object", to_string(it.key)},
                                {"base_version", it.base_version},
                                {"current_version", it.current_version},
                                {"ticket", it.winner}}));
  }
  return out;
}

json::object json_of(const ticket_answer& answer) {
  return {{"verdict", name_in(ticket_verdict_names, answer.verdict)},
          {"version", answer.version},
          {"conflicts", json_of(answer.conflicts)},
          {"faults", json_of(answer.faults)}};
}

json::object json_of(const ticket_record& record) {
  auto objects = json::array();
  for (const auto& it : record.objects)
    objects.emplace_back(to_string(it));
  return {{"number", record.number},
          {"author", record.author},
          {"version", record.version},
          {"accepted_at_us", record.accepted_at.count()},
          {"object_count", record.object_count},
          {"objects", std::move(objects)}};
}

json::object json_of(const watcher_status& status) {
  return {{"vm", status.vm},
          {"version", status.version},
          {"known_version", status.known_version},
          {"lag_us", status.lag.count()},
          {"fault", name_in(watcher_fault_names, status.fault)},
          {"refused_version", status.refused_version},
          {"faults", json_of(status.faults)}};
}

int status_of(ticket_verdict verdict) {
  switch (verdict) {
    case ticket_verdict::accepted:
      return status_created;
    case ticket_verdict::already_accepted:
      return status_ok;
    case ticket_verdict::conflict:
    case ticket_verdict::number_taken:
      return status_conflict;
    case ticket_verdict::invalid:
      return status_unprocessable;
    case ticket_verdict::too_large:
      return status_too_large;
  }
  return status_unprocessable;
}

std::string_view key_of(const http_request& request) {
  constexpr auto scheme = std::string_view("Bearer ");
  const auto value = find_header(request.headers, "Authorization");
  return value.starts_with(scheme) ? value.substr(scheme.size())
                                   : std::string_view();
}

bool is_first_key(const operator_api& api, std::string_view key) {
  const auto hash = sha256_hex(key);
  auto found = false;
  for (const auto& it : api.first_key_hashes) {
    if (it.size() != hash.size()) continue;
    found |= CRYPTO_memcmp(it.data(), hash.data(), hash.size()) == 0;
  }
  return found;
}

bool is_allowed(const operator_api& api, const http_request& request) {
  const auto key = key_of(request);
  if (key.empty()) return false;
  const auto in_force = api.in_force();
  if (in_force == nullptr) return is_first_key(api, key);
  return find_operator_by_key(*in_force, key) != nullptr;
}

std::optional<std::uint64_t> number_in(std::string_view text) {
  auto value = std::uint64_t(0);
  const auto* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || it != end) return std::nullopt;
  return value;
}

/// A number in the query; nothing for a value that is no number.
std::optional<std::uint64_t> query_number(std::string_view target,
                                          std::string_view name,
                                          std::uint64_t fallback) {
  const auto text = query_parameter(target, name);
  return text.empty() ? fallback : number_in(text);
}

void post_ticket(const operator_api& api, const http_request& request,
                 instant now, const answer_callback& done) {
  auto answer = ticket_answer{.verdict = ticket_verdict::invalid};
  auto value = parse_ticket(request.body, answer.faults);
  if (!value) {
    return done(json_response(status_of(answer.verdict), json_of(answer)));
  }
  submit_ticket(api.stores, *std::move(value), now,
                [done](const absl::StatusOr<ticket_answer>& it) {
                  if (!it.ok()) return done(error_response(it.status()));
                  done(json_response(status_of(it->verdict), json_of(*it)));
                });
}

void get_ticket(const operator_api& api, std::string_view text,
                const answer_callback& done) {
  const auto number = number_in(text);
  if (!number) {
    return done(error_response(make_error(error_code::bad_request,
                                          "a ticket's number is a whole "
                                          "number of at least 1")));
  }
  read_ticket(api.stores, *number,
              [done](const absl::StatusOr<ticket_record>& it) {
                if (!it.ok()) return done(error_response(it.status()));
                done(json_response(status_ok, json_of(*it)));
              });
}

void get_tickets(const operator_api& api, std::string_view target,
                 const answer_callback& done) {
  const auto after = query_number(target, "after", 0);
  const auto limit = query_number(target, "limit", default_page);
  if (!after || !limit || *limit == 0 || *limit > max_page) {
    return done(error_response(
        make_error(error_code::bad_request,
                   concat("after and limit are whole numbers, limit from 1 to ",
                          max_page))));
  }
  list_tickets(
      api.stores, *after, *limit,
      [done](const absl::StatusOr<std::vector<ticket_record>>& it) {
        if (!it.ok()) return done(error_response(it.status()));
        auto tickets = json::array();
        for (const auto& record : *it) {
          tickets.push_back(json_of(record));
        }
        done(json_response(status_ok,
                           json::object({{"tickets", std::move(tickets)}})));
      });
}

void get_state(const operator_api& api, const answer_callback& done) {
  const auto in_force = api.in_force();
  auto known = std::uint64_t(0);
  auto vms = json::array();
  for (const auto& it : api.vms()) {
    known = std::max(known, it.known_version);
    vms.push_back(json_of(it));
  }
  done(json_response(
      status_ok,
      json::object({{"version", in_force == nullptr ? 0 : in_force->version},
                    {"known_version", known},
                    {"vms", std::move(vms)}})));
}

/// The newest version may not be in force on this VM yet.
void get_newest(const operator_api& api, const answer_callback& done) {
  read_head(api.stores, [stores = api.stores,
                         done](const absl::StatusOr<config_head>& head) {
    if (!head.ok()) return done(error_response(head.status()));
    read_snapshot(stores, *head,
                  [done](const absl::StatusOr<config_snapshot>& it) {
                    if (!it.ok()) return done(error_response(it.status()));
                    done(json_response(status_ok, to_json(*it)));
                  });
  });
}

void get_configuration(const operator_api& api, const answer_callback& done) {
  auto bytes = api.snapshot();
  if (bytes.empty()) bytes = to_json(config_snapshot());
  done(json_response(status_ok, std::move(bytes)));
}

void answer_get(const operator_api& api, std::string_view path,
                std::string_view target, const answer_callback& done) {
  constexpr auto one_ticket = std::string_view("tickets/");
  if (path == "tickets") return get_tickets(api, target, done);
  if (path.starts_with(one_ticket)) {
    return get_ticket(api, path.substr(one_ticket.size()), done);
  }
  if (path == "state") return get_state(api, done);
  if (path == "configuration" && !query_parameter(target, "newest").empty()) {
    return get_newest(api, done);
  }
  if (path == "configuration") return get_configuration(api, done);
  done(error_response(make_error(error_code::not_found, "no such path")));
}

}  // namespace

bool is_operator_path(std::string_view target) {
  return target.starts_with(api_root);
}

void answer_operator(const operator_api& api, const http_request& request,
                     instant now,
                     const std::function<void(http_response)>& done) {
  if (!is_allowed(api, request)) {
    return done(error_response(
        make_error(error_code::unauthorized, "an operator's key is needed")));
  }
  const auto path = path_of(request.target);
  if (!is_operator_path(path)) {
    return done(
        error_response(make_error(error_code::not_found, "no such path")));
  }
  const auto name = path.substr(api_root.size());
  if (request.method == "GET") {
    return answer_get(api, name, request.target, done);
  }
  if (request.method == "POST" && name == "tickets") {
    return post_ticket(api, request, now, done);
  }
  done(error_response(make_error(error_code::not_found, "no such method")));
}

}  // namespace fulmar
