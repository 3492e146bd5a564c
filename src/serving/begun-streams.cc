#include "fulmarpitch/serving/begun-streams.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/core/text.h"
#include "platform/json-fields.h"

namespace fulmar::serving {
namespace {

namespace json = boost::json;

constexpr auto service_field = "service";
constexpr auto version_field = "version";
constexpr auto begun_field = "begun_ms";
constexpr auto left_field = "left_ms";

std::int64_t to_ms(instant it) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
}

json::object origin_fields(const stream_origin& it) {
  return {{service_field, it.service}, {version_field, it.version}};
}

/// \return the origin; `bad_request` if the row names no service.
absl::StatusOr<stream_origin> decode_origin(const json::object& in) {
  auto out = stream_origin{.service = platform::text_field(in, service_field),
                           .version = platform::text_field(in, version_field)};
  if (out.service.empty())
    return make_error(error_code::bad_request, "the row names no service");
  return out;
}

}  // namespace

void note_begun(begun_streams& streams, const std::string& id,
                const stream_origin& origin, instant now) {
  auto [it, added] =
      streams.rows.try_emplace(id, begun_stream{.origin = origin, .at = now});
  if (!added) return;
  streams.order.push_back(id);
  streams.unrecorded.push_back(id);
  if (streams.order.size() <= streams.max_rows) return;
  streams.rows.erase(streams.order.front());
  streams.order.pop_front();
}

const stream_origin* find_origin(const begun_streams& streams,
                                 const std::string& id) {
  auto it = streams.rows.find(id);
  return it == streams.rows.end() ? nullptr : &it->second.origin;
}

std::vector<std::string> take_unrecorded(
    begun_streams& streams,
    const std::function<bool(const std::string& service)>& must_record,
    std::size_t max) {
  auto out = std::vector<std::string>();
  auto kept = std::deque<std::string>();
  auto decided = absl::flat_hash_map<std::string, bool>();
  for (auto& id : streams.unrecorded) {
    const auto* origin = find_origin(streams, id);
    if (origin == nullptr) continue;
    auto [it, added] = decided.try_emplace(origin->service, false);
    if (added) it->second = must_record(origin->service);
    if (it->second && out.size() < max) {
      out.push_back(std::move(id));
    } else {
      kept.push_back(std::move(id));
    }
  }
  streams.unrecorded = std::move(kept);
  return out;
}

void put_back(begun_streams& streams, const std::vector<std::string>& ids) {
  streams.unrecorded.insert(streams.unrecorded.begin(), ids.begin(), ids.end());
}

void forget_streams(begun_streams& streams, instant before) {
  while (!streams.order.empty()) {
    auto it = streams.rows.find(streams.order.front());
    if (it != streams.rows.end() && it->second.at >= before) break;
    if (it != streams.rows.end()) streams.rows.erase(it);
    streams.order.pop_front();
  }
  while (!streams.unrecorded.empty() &&
         !streams.rows.contains(streams.unrecorded.front()))
    streams.unrecorded.pop_front();
}

row_name begun_row_name(const std::string& id) {
  return {.table = begun_table, .part = version_part, .key = id};
}

std::string encode_begun(const recorded_stream& it) {
  auto out = origin_fields(it.origin);
  out[begun_field] = to_ms(it.at);
  return json::serialize(out);
}

absl::StatusOr<recorded_stream> decode_begun(std::string_view value) {
  auto in = platform::parse_object(value);
  if (!in.ok()) return in.status();
  auto origin = decode_origin(*in);
  if (!origin.ok()) return origin.status();
  return recorded_stream{
      .origin = std::move(*origin),
      .at = std::chrono::milliseconds(platform::count_field(*in, begun_field))};
}

row_name version_row_name(const stream_origin& origin) {
  // A service and a version may together be longer than a key.
  auto key = concat(hex(stable_hash(origin.service)), "/",
                    hex(stable_hash(origin.version)));
  return {.table = version_table, .part = version_part, .key = std::move(key)};
}

std::string encode_version(const recorded_version& it) {
  auto out = origin_fields(it.origin);
  if (it.left) out[left_field] = to_ms(*it.left);
  return json::serialize(out);
}

absl::StatusOr<recorded_version> decode_version(std::string_view value) {
  auto in = platform::parse_object(value);
  if (!in.ok()) return in.status();
  auto origin = decode_origin(*in);
  if (!origin.ok()) return origin.status();
  auto out = recorded_version{.origin = std::move(*origin)};
  if (platform::field(*in, left_field) != nullptr)
    out.left =
        std::chrono::milliseconds(platform::count_field(*in, left_field));
  return out;
}

}  // namespace fulmar::serving
