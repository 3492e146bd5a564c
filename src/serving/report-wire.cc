#include "fulmarpitch/serving/report-wire.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <utility>

#include "fulmarpitch/serving/load_generated.h"
#include "fulmarpitch/serving/summary_generated.h"

namespace fulmar::serving {
namespace {

std::vector<wire::target_load> encode_loads(const load_table& from) {
  auto out = std::vector<wire::target_load>();
  out.reserve(from.size());
  for (const auto& [target, load] : from) {
    out.emplace_back(target, static_cast<std::uint16_t>(load.online),
                     static_cast<std::uint16_t>(load.batch));
  }
  return out;
}

load_table decode_loads(const std::vector<wire::target_load>& from) {
  auto out = load_table();
  for (const auto& it : from)
    out[it.target()] = {.online = it.online(), .batch = it.batch()};
  return out;
}

std::uint32_t milliseconds(instant it) {
  auto n = std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(n, 0));
}

/// Upper bound of a decoded age; larger values are invalid and could overflow
/// `instant`.
constexpr auto max_age = std::chrono::years(100);

instant decode_age(std::uint64_t us) {
  constexpr auto most = std::chrono::duration_cast<instant>(max_age).count();
  return instant(std::min<std::uint64_t>(us, most));
}

void encode_doubts(const load_report& from, wire::load_reportT& to) {
  for (const auto& [target, it] : from.doubts) {
    auto row = std::make_unique<wire::doubtT>();
    row->target = target;
    row->avoid_ms = milliseconds(it.avoid_until);
    row->trial_ms = milliseconds(it.trial_until);
    row->score = static_cast<float>(it.score);
    row->leaving = it.leaving;
    to.doubts.push_back(std::move(row));
  }
}

void decode_doubts(const wire::load_reportT& from, load_report& to) {
  for (const auto& it : from.doubts) {
    if (it == nullptr) continue;
    to.doubts[it->target] = {
        .avoid_until = std::chrono::milliseconds(it->avoid_ms),
        .trial_until = std::chrono::milliseconds(it->trial_ms),
        .score = it->score,
        .leaving = it->leaving};
  }
}

void encode_members(const load_summary& from, wire::load_summaryT& to) {
  to.names_members = from.names_members;
  if (!from.names_members) return;
  for (const auto& it : from.members) {
    auto row = std::make_unique<wire::memberT>();
    row->name = it.name;
    row->incarnation = it.incarnation;
    row->address = it.address;
    row->store_lost = it.store_lost;
    to.members.push_back(std::move(row));
  }
}

void decode_members(const wire::load_summaryT& from, load_summary& to) {
  to.names_members = from.names_members;
  for (const auto& it : from.members) {
    if (it == nullptr) continue;
    to.members.push_back({.name = it->name,
                          .incarnation = it->incarnation,
                          .address = it->address,
                          .store_lost = it->store_lost});
  }
}

/// The whole share of a data centre on the wire.
constexpr double part_steps = std::numeric_limits<std::uint16_t>::max();

std::vector<wire::team_count> encode_counts(
    const std::vector<teams::team_count>& from) {
  auto out = std::vector<wire::team_count>();
  out.reserve(from.size());
  for (const auto& it : from) {
    auto part = std::clamp(it.part, 0.0, 1.0) * part_steps;
    out.emplace_back(it.team, it.admitted, it.asked,
                     static_cast<std::uint16_t>(part));
  }
  return out;
}

std::vector<teams::team_count> decode_counts(
    const std::vector<wire::team_count>& from) {
  auto out = std::vector<teams::team_count>();
  out.reserve(from.size());
  for (const auto& it : from) {
    out.push_back({.team = it.team(),
                   .admitted = it.admitted(),
                   .asked = it.asked(),
                   .part = it.part() / part_steps});
  }
  return out;
}

std::string bytes_of(const flatbuffers::FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

/// \return whether bytes are long enough to hold a file identifier, which
///     follows the root offset.
bool may_be_identified(std::string_view bytes) {
  return bytes.size() >=
         sizeof(flatbuffers::uoffset_t) +
             flatbuffers::FlatBufferBuilder::kFileIdentifierLength;
}

const std::uint8_t* data_of(std::string_view bytes) {
  return reinterpret_cast<const std::uint8_t*>(bytes.data());
}

}  // namespace

std::string encode_report(const load_report& it) {
  auto out = wire::load_reportT();
  out.name = it.name;
  out.data_centre = it.data_centre;
  out.address = it.address;
  out.incarnation = it.incarnation;
  out.sequence = it.sequence;
  out.age_us = static_cast<std::uint64_t>(it.age.count());
  out.leaving = it.leaving;
  out.store_lost = it.store_lost;
  out.known = it.known;
  out.wants_reply = it.wants_reply;
  out.loads = encode_loads(it.loads);
  out.team_counts = encode_counts(it.team_counts);
  out.unheard = it.unheard;
  out.informed = it.informed;
  encode_doubts(it, out);
  out.configuration = it.configuration;
  auto builder = flatbuffers::FlatBufferBuilder();
  wire::Finishload_reportBuffer(builder,
                                wire::load_report::Pack(builder, &out));
  return bytes_of(builder);
}

std::optional<load_report> decode_report(std::string_view bytes) {
  auto verifier = flatbuffers::Verifier(data_of(bytes), bytes.size());
  if (!may_be_identified(bytes) || !wire::Verifyload_reportBuffer(verifier))
    return std::nullopt;
  auto in = std::unique_ptr<wire::load_reportT>(
      wire::Getload_report(bytes.data())->UnPack());
  auto out = load_report{.name = std::move(in->name),
                         .data_centre = std::move(in->data_centre),
                         .address = std::move(in->address),
                         .incarnation = in->incarnation,
                         .sequence = in->sequence,
                         .age = decode_age(in->age_us),
                         .leaving = in->leaving,
                         .store_lost = in->store_lost,
                         .loads = decode_loads(in->loads),
                         .known = std::move(in->known),
                         .wants_reply = in->wants_reply,
                         .configuration = in->configuration,
                         .team_counts = decode_counts(in->team_counts),
                         .unheard = std::move(in->unheard),
                         .informed = in->informed};
  if (out.name.empty()) return std::nullopt;
  decode_doubts(*in, out);
  return out;
}

std::string encode_summary(const sent_summary& it) {
  auto out = wire::load_summaryT();
  out.sender_data_centre = it.sender_data_centre;
  out.sender_address = it.sender_address;
  out.data_centre = it.summary.data_centre;
  out.gatherer = it.summary.gatherer;
  out.sequence = it.summary.sequence;
  out.loads = encode_loads(it.summary.loads);
  encode_members(it.summary, out);
  out.configuration = it.summary.configuration;
  auto builder = flatbuffers::FlatBufferBuilder();
  wire::Finishload_summaryBuffer(builder,
                                 wire::load_summary::Pack(builder, &out));
  return bytes_of(builder);
}

bool is_summary(std::string_view bytes) {
  return may_be_identified(bytes) &&
         wire::load_summaryBufferHasIdentifier(bytes.data());
}

std::optional<sent_summary> decode_summary(std::string_view bytes) {
  auto verifier = flatbuffers::Verifier(data_of(bytes), bytes.size());
  if (!is_summary(bytes) || !wire::Verifyload_summaryBuffer(verifier))
    return std::nullopt;
  auto in = std::unique_ptr<wire::load_summaryT>(
      wire::Getload_summary(bytes.data())->UnPack());
  auto out =
      sent_summary{.sender_data_centre = std::move(in->sender_data_centre),
                   .sender_address = std::move(in->sender_address),
                   .summary = {.data_centre = std::move(in->data_centre),
                               .gatherer = in->gatherer,
                               .sequence = in->sequence,
                               .loads = decode_loads(in->loads)}};
  decode_members(*in, out.summary);
  out.summary.configuration = in->configuration;
  return out;
}

}  // namespace fulmar::serving
