#include "gossip-wire.h"

#include <algorithm>

#include "fulmarpitch/net/peer_generated.h"

namespace fulmar {
namespace {

std::unique_ptr<wire::member_entryT> to_wire(const member_record& from) {
  auto out = std::make_unique<wire::member_entryT>();
  out->name = from.name;
  out->peer_address = from.peer_address;
  out->http_address = from.http_address;
  out->incarnation = from.incarnation;
  out->start = from.start;
  out->config_version = from.config_version;
  out->state = static_cast<std::uint8_t>(from.state);
  out->ready = from.ready;
  out->leaving = from.leaving;
  return out;
}

member_record from_wire(const wire::member_entryT& from) {
  return {.name = from.name,
          .peer_address = from.peer_address,
          .http_address = from.http_address,
          .incarnation = from.incarnation,
          .start = from.start,
          .config_version = from.config_version,
          .state = static_cast<member_state>(from.state),
          .ready = from.ready,
          .leaving = from.leaving};
}

std::unique_ptr<wire::target_entryT> to_wire(const target_record& from) {
  auto out = std::make_unique<wire::target_entryT>();
  out->name = from.name;
  out->version = from.version;
  out->state = static_cast<std::uint8_t>(from.state);
  return out;
}

target_record from_wire(const wire::target_entryT& from) {
  return {.name = from.name,
          .version = from.version,
          .state = static_cast<target_state>(from.state)};
}

std::unique_ptr<wire::summary_entryT> to_wire(const data_centre_summary& from) {
  auto out = std::make_unique<wire::summary_entryT>();
  out->data_centre = from.data_centre;
  out->version = from.version;
  out->config_version = from.config_version;
  out->live_members = from.live_members;
  out->delegates = from.delegates;
  return out;
}

data_centre_summary from_wire(const wire::summary_entryT& from) {
  return {.data_centre = from.data_centre,
          .version = from.version,
          .config_version = from.config_version,
          .live_members = from.live_members,
          .delegates = from.delegates};
}

constexpr auto last_kind =
    static_cast<std::uint8_t>(membership_message_kind::summary_reply);

bool has_valid_enums(const wire::gossipT& it) {
  if (it.kind > last_kind) return false;
  for (const auto& each : it.members) {
    if (each->state > static_cast<std::uint8_t>(member_state::dead)) {
      return false;
    }
  }
  for (const auto& each : it.targets) {
    if (each->state > static_cast<std::uint8_t>(target_state::gone)) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string encode_gossip(const membership_message& from) {
  auto out = wire::gossipT();
  out.kind = static_cast<std::uint8_t>(from.kind);
  out.sequence = from.sequence;
  out.from = from.from;
  out.data_centre = from.data_centre;
  out.incarnation = from.incarnation;
  out.digest.assign(from.digest.begin(), from.digest.end());
  out.highest_config_version = from.highest_config_version;
  out.target = from.target;
  out.target_address = from.target_address;
  for (const auto& it : from.members)
    out.members.push_back(to_wire(it));
  for (const auto& it : from.targets)
    out.targets.push_back(to_wire(it));
  for (const auto& it : from.summaries)
    out.summaries.push_back(to_wire(it));
  auto builder = flatbuffers::FlatBufferBuilder();
  builder.Finish(wire::gossip::Pack(builder, &out));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::optional<membership_message> decode_gossip(std::string_view bytes) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  auto verifier = flatbuffers::Verifier(data, bytes.size());
  if (!verifier.VerifyBuffer<wire::gossip>(nullptr)) return std::nullopt;
  auto from = wire::gossipT();
  flatbuffers::GetRoot<wire::gossip>(data)->UnPackTo(&from);
  if (!has_valid_enums(from)) return std::nullopt;
  if (from.digest.size() != membership_digest().size()) return std::nullopt;
  auto out = membership_message{
      .kind = static_cast<membership_message_kind>(from.kind),
      .sequence = from.sequence,
      .from = from.from,
      .data_centre = from.data_centre,
      .incarnation = from.incarnation,
      .highest_config_version = from.highest_config_version,
      .target = from.target,
      .target_address = from.target_address};
  for (const auto& it : from.members)
    out.members.push_back(from_wire(*it));
  for (const auto& it : from.targets)
    out.targets.push_back(from_wire(*it));
  for (const auto& it : from.summaries)
    out.summaries.push_back(from_wire(*it));
  return out;
}

}  // namespace fulmar
