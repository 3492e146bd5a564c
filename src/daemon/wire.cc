#include "wire.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace fulmar {
namespace {

std::string_view error_type(error_code code) {
  auto status = http_status(code);
  if (status == 401) return "authentication_error";
  if (status == 429) return "rate_limit_error";
  if (status < 500) return "invalid_request_error";
  return "service_error";
}

json::string text(std::string_view from) {
  return json::string(from.data(), from.size());
}

}  // namespace

wire::workT to_wire(const work_item& from) {
  auto out = wire::workT();
  out.id = from.id;
  out.caller = from.caller;
  out.class_name = from.class_name;
  out.model = from.model;
  out.adapter = from.adapter;
  out.kind = static_cast<std::uint8_t>(from.kind);
  out.prompt_tokens = from.prompt_tokens;
  out.max_tokens = from.max_tokens;
  out.prefix_blocks = from.prefix_blocks;
  out.content_hash = from.content_hash;
  out.arrival = from.arrival.count();
  out.deadline = from.deadline.count();
  out.no_repeat = from.no_repeat;
  return out;
}

work_item from_wire(const wire::workT& from) {
  return {.id = from.id,
          .caller = from.caller,
          .class_name = from.class_name,
          .model = from.model,
          .adapter = from.adapter,
          .kind = static_cast<work_kind>(from.kind),
          .prompt_tokens = from.prompt_tokens,
          .max_tokens = from.max_tokens,
          .prefix_blocks = from.prefix_blocks,
          .content_hash = from.content_hash,
          .arrival = instant(from.arrival),
          .deadline = instant(from.deadline),
          .no_repeat = from.no_repeat};
}

std::string error_body(error_code code, outcome what,
                       std::string_view message) {
  return json::serialize(
      json::object{{"error",
                    {{"type", text(error_type(code))},
                     {"code", text(name_in(error_code_names, code))},
                     {"message", text(message)},
                     {"outcome", text(name_in(outcome_names, what))}}}});
}

std::string_view failure_message(error_code code) {
  switch (code) {
    case error_code::rate_limited:
      return "the caller is over its limit";
    case error_code::overloaded:
      return "there is no capacity for the request before its deadline";
    case error_code::deadline_exceeded:
      return "the deadline passed";
    case error_code::quarantined:
      return "requests with this content were seen to crash targets";
    case error_code::cancelled:
      return "the request was cancelled";
    case error_code::attempt_failed:
      return "no target completed the request";
    case error_code::outcome_unknown:
      return "the target was lost; whether the request ran is unknown";
    case error_code::store_unavailable:
      return "the platform's stores can't be reached";
    case error_code::shutting_down:
      return "this VM is shutting down";
    default:
      return name_in(error_code_names, code);
  }
}

}  // namespace fulmar
