#include "fulmarpitch/order/succession.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

struct candidate {
  std::string line;
  digest previous{};
  digest hash{};
};

struct kept_line {
  std::uint64_t number = 0;
  std::string line;
};

/// The tail of an epoch while it is rebuilt.
struct tail {
  /// The newest number that is in the object store.
  std::uint64_t durable = 0;
  std::uint64_t last = 0;
  /// Digest of record `last`, whether or not holes come after it.
  digest hash{};
  segment_link link;
  std::map<std::uint64_t, std::vector<candidate>> candidates;
  std::vector<kept_line> kept;
  std::vector<record_hole> holes;
  std::vector<std::string> rejected;
};

std::optional<order_record> record_in(std::string_view line) {
  auto decoded = decode_record(line);
  auto* record = std::get_if<order_record>(&decoded);
  if (record == nullptr) return std::nullopt;
  return std::move(*record);
}

/// Whether a collected record may stand in the tail.
bool belongs(const order_record& record, const close_inputs& inputs,
             const tail& out) {
  return record.pool == inputs.pool && record.epoch == inputs.epoch &&
         record.number <= out.durable + inputs.window &&
         record.kind != record_kind::epoch_close;
}

void collect(const close_inputs& inputs, const std::string& line, tail& out) {
  auto record = record_in(line);
  if (!record || !belongs(*record, inputs, out)) {
    out.rejected.push_back(line);
    return;
  }
  if (record->number <= out.durable) return;
  auto& rows = out.candidates[record->number];
  auto same = [&](const candidate& it) { return it.line == line; };
  if (std::any_of(rows.begin(), rows.end(), same)) return;
  rows.push_back({line, record->previous, sha256(line)});
}

/// Finds the candidate that the chain demands; after a hole, one that the
/// next number's records name as their predecessor.
const candidate* fitting(const tail& out, std::uint64_t number, bool linked) {
  const auto& rows = out.candidates.at(number);
  if (linked) {
    for (const auto& it : rows) {
      if (it.previous == out.hash) return &it;
    }
    return nullptr;
  }
  auto next = out.candidates.find(number + 1);
  if (next == out.candidates.end()) return &rows.front();
  for (const auto& it : rows) {
    for (const auto& after : next->second) {
      if (after.previous == it.hash) return &it;
    }
  }
  return &rows.front();
}

void keep(tail& out, std::uint64_t number, const candidate& chosen) {
  for (const auto& it : out.candidates.at(number)) {
    if (&it != &chosen) out.rejected.push_back(it.line);
  }
  out.kept.push_back({number, chosen.line});
  out.hash = chosen.hash;
  out.last = number;
}

void rebuild(tail& out, hole_kind missing) {
  auto add_hole = [&](std::uint64_t to) {
    if (to > out.last) out.holes.push_back({out.last + 1, to, missing});
  };
  for (const auto& [number, rows] : out.candidates) {
    auto linked = number == out.last + 1;
    const auto* chosen = fitting(out, number, linked);
    if (chosen == nullptr) {
      for (const auto& it : rows)
        out.rejected.push_back(it.line);
      continue;
    }
    add_hole(number - 1);
    keep(out, number, *chosen);
  }
}

absl::Status read_durable(const stored_segment& stored, epoch_end& end,
                          bool& closed, tail& out) {
  auto decoded = decode_segment(stored.bytes);
  const auto* segment = std::get_if<order_segment>(&decoded);
  auto last = segment != nullptr ? record_in(segment->lines.back())
                                 : std::optional<order_record>();
  if (!last || last->number != segment->last) {
    return make_error(error_code::internal,
                      concat("segment ", stored.name, " can't be read"));
  }
  out.durable = segment->last;
  out.last = segment->last;
  out.hash = sha256(segment->lines.back());
  out.link = link_to(stored);
  if (const auto* detail = std::get_if<close_detail>(&last->detail)) {
    closed = true;
    end = {.holes = detail->holes,
           .last_number = out.last,
           .last_hash = out.hash,
           .last_segment = out.link};
  }
  return {};
}

absl::Status read_opening(const close_inputs& inputs, tail& out) {
  auto record = record_in(inputs.opening_line);
  auto* detail = record ? std::get_if<open_detail>(&record->detail) : nullptr;
  if (detail == nullptr || record->epoch != inputs.epoch ||
      record->pool != inputs.pool) {
    return make_error(error_code::not_found,
                      "the epoch's opening record is missing");
  }
  out.durable = record->number - 1;
  out.last = out.durable;
  out.hash = record->previous;
  out.link = detail->previous_segment;
  collect(inputs, inputs.opening_line, out);
  return {};
}

void add_close(const close_inputs& inputs, instant now, tail& out) {
  if (auto furthest = out.durable + inputs.window;
      !inputs.silent_members.empty() && out.last < furthest) {
    out.holes.push_back({out.last + 1, furthest, hole_kind::lost});
    out.last = furthest;
  }
  auto record = order_record();
  record.pool = inputs.pool;
  record.epoch = inputs.epoch;
  record.number = ++out.last;
  record.time = now;
  record.kind = record_kind::epoch_close;
  record.origin = inputs.closer;
  record.previous = out.hash;
  record.detail = close_detail{.holes = out.holes};
  auto line = encode_record(record);
  out.hash = sha256(line);
  out.kept.push_back({record.number, std::move(line)});
}

std::vector<stored_segment> cut_segments(const close_inputs& inputs,
                                         tail& out) {
  auto segments = std::vector<stored_segment>();
  auto covered = out.durable;
  for (std::size_t at = 0; at < out.kept.size();) {
    auto segment = order_segment{.pool = inputs.pool,
                                 .epoch = inputs.epoch,
                                 .first = covered + 1,
                                 .previous = out.link};
    std::size_t bytes = 0;
    while (at < out.kept.size()) {
      auto& it = out.kept[at++];
      bytes += it.line.size();
      covered = it.number;
      segment.lines.push_back(std::move(it.line));
      auto full = segment.lines.size() >= inputs.limits.records ||
                  bytes >= inputs.limits.bytes;
      if (full) break;
    }
    segment.last = covered;
    segments.push_back(encode_segment(segment));
    out.link = link_to(segments.back());
  }
  return segments;
}

}  // namespace

std::vector<std::string> silent_members(
    const std::vector<stored_segment>& durable,
    const std::vector<member_sighting>& sightings,
    const std::vector<std::string>& answered, instant clock_margin) {
  auto since = instant::min();
  if (!durable.empty()) {
    auto decoded = decode_segment(durable.back().bytes);
    const auto* segment = std::get_if<order_segment>(&decoded);
    auto last = segment != nullptr ? record_in(segment->lines.back())
                                   : std::optional<order_record>();
    if (last) since = last->time - clock_margin;
  }
  auto out = std::vector<std::string>();
  for (const auto& it : sightings) {
    auto found = std::find(answered.begin(), answered.end(), it.name);
    auto is_silent = found == answered.end() && it.last_seen >= since;
    if (is_silent) out.push_back(it.name);
  }
  return out;
}

absl::StatusOr<epoch_end> close_epoch(const close_inputs& inputs, instant now) {
  auto end = epoch_end();
  auto rebuilt = tail();
  auto closed = false;
  auto ec = inputs.durable.empty()
                ? read_opening(inputs, rebuilt)
                : read_durable(inputs.durable.back(), end, closed, rebuilt);
  if (!ec.ok()) return ec;
  if (closed) return end;
  for (const auto& it : inputs.collected)
    collect(inputs, it, rebuilt);
  auto missing =
      inputs.silent_members.empty() ? hole_kind::unsent : hole_kind::lost;
  rebuild(rebuilt, missing);
  add_close(inputs, now, rebuilt);
  end.segments = cut_segments(inputs, rebuilt);
  end.holes = std::move(rebuilt.holes);
  end.last_number = rebuilt.last;
  end.last_hash = rebuilt.hash;
  end.last_segment = rebuilt.link;
  end.rejected = std::move(rebuilt.rejected);
  return end;
}

epoch_start next_epoch(const epoch_end& end, const epoch_id& before,
                       std::string pool, std::string owner,
                       std::string incarnation) {
  return {
      .pool = std::move(pool),
      .epoch = {.number = before.number + 1,
                .incarnation = std::move(incarnation)},
      .owner = std::move(owner),
      .first_number = end.last_number + 1,
      .previous = end.last_hash,
      .detail = {.predecessor = before, .previous_segment = end.last_segment}};
}

}  // namespace fulmar
