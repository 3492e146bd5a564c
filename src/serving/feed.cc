#include "fulmarpitch/serving/feed.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <utility>

#include "fulmarpitch/serving/feed_generated.h"

namespace fulmar::serving {
namespace {

/// Wire value for a sender that observed no outage.
constexpr auto no_outage = std::numeric_limits<std::uint32_t>::max();

std::uint32_t encode_outage(const std::optional<instant>& it) {
  if (!it) return no_outage;
  auto n = std::chrono::duration_cast<std::chrono::milliseconds>(*it).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(n, 0, no_outage - 1));
}

std::unique_ptr<wire::feed_rowT> encode_row(const stored_row& from) {
  auto out = std::make_unique<wire::feed_rowT>();
  out->part = from.name.part;
  out->key = from.name.key;
  out->value = from.value;
  out->version = from.version;
  out->removed = from.removed;
  return out;
}

/// Encodes the rows [first, last) as a separate page.
std::string encode_rows(const feed_page& page, std::size_t first,
                        std::size_t last, std::uint64_t after,
                        std::uint64_t version) {
  auto out = wire::feed_pageT();
  out.data_centre = page.data_centre;
  out.table_name = page.table;
  out.after = after;
  out.version = version;
  out.outage_ended_ms = encode_outage(page.outage_ended);
  for (auto it = first; it < last; ++it)
    out.rows.push_back(encode_row(page.rows[it]));
  auto builder = flatbuffers::FlatBufferBuilder();
  wire::Finishfeed_pageBuffer(builder, wire::feed_page::Pack(builder, &out));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

/// Encoded size of a row without its strings: offsets, lengths and padding.
constexpr std::size_t row_overhead = 64;

/// Encoded size of a page without rows.
constexpr std::size_t page_overhead = 256;

std::size_t size_of(const stored_row& it) {
  return it.name.part.size() + it.name.key.size() + it.value.size() +
         row_overhead;
}

/// \return the end of the rows from `first` on that fit into a datagram without
///     splitting a version; `first` if not even one version fits.
std::size_t end_of_datagram(const std::vector<stored_row>& rows,
                            std::size_t first, std::size_t max_bytes) {
  auto end = first;
  auto size = page_overhead;
  for (auto it = first; it < rows.size(); ++it) {
    size += size_of(rows[it]);
    if (size > max_bytes) return end;
    auto last_of_version =
        it + 1 == rows.size() || rows[it + 1].version != rows[it].version;
    if (last_of_version) end = it + 1;
  }
  return end;
}

/// Advances a table to a version, and removes rows that were applied already.
void advance_to(feed_state& state, std::vector<stored_row>& rows,
                std::uint64_t version) {
  auto known = [&](const auto& it) { return it.version <= state.version; };
  rows.erase(std::remove_if(rows.begin(), rows.end(), known), rows.end());
  state.version = std::max(state.version, version);
}

}  // namespace

bool shows_absence(const feed_state& it, instant now) {
  return now - it.confirmed <= settle_time - settle_margin;
}

bool must_poll(const feed_state& it, bool reads, instant now) {
  if (it.version == 0 || it.gap || reads) return true;
  return now - it.confirmed > feed_expiry;
}

std::vector<stored_row> apply_forwarded(feed_state& state, feed_page page,
                                        instant now) {
  if (state.version == 0) return {};
  if (page.after > state.version) {
    state.gap = true;
    return {};
  }
  advance_to(state, page.rows, page.version);
  if (!state.gap) state.confirmed = now;
  return std::move(page.rows);
}

void apply_reply(feed_state& state, row_page& page, instant now,
                 bool is_current) {
  advance_to(state, page.rows, page.version);
  if (!is_current) return;
  state.confirmed = now;
  state.gap = false;
}

void note_pause(feed_state& state) {
  state.confirmed = {};
  state.gap = true;
}

std::vector<std::string> encode_feed(const feed_page& page,
                                     std::size_t max_bytes) {
  auto out = std::vector<std::string>();
  auto after = page.after;
  auto first = std::size_t{0};
  do {
    auto end = end_of_datagram(page.rows, first, max_bytes);
    if (end == first && end < page.rows.size()) break;
    auto last = end == page.rows.size();
    auto version = last ? page.version : page.rows[end - 1].version;
    out.push_back(encode_rows(page, first, end, after, version));
    after = version;
    first = end;
  } while (first < page.rows.size());
  return out;
}

bool is_feed(std::string_view bytes) {
  // The identifier follows the offset of the root table.
  constexpr auto min_size =
      sizeof(flatbuffers::uoffset_t) +
      flatbuffers::FlatBufferBuilder::kFileIdentifierLength;
  return bytes.size() >= min_size &&
         wire::feed_pageBufferHasIdentifier(bytes.data());
}

std::optional<feed_page> decode_feed(std::string_view bytes) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  auto verifier = flatbuffers::Verifier(data, bytes.size());
  if (!is_feed(bytes) || !wire::Verifyfeed_pageBuffer(verifier))
    return std::nullopt;
  auto in =
      std::unique_ptr<wire::feed_pageT>(wire::Getfeed_page(data)->UnPack());
  auto out = feed_page{.data_centre = std::move(in->data_centre),
                       .table = std::move(in->table_name),
                       .after = in->after,
                       .version = in->version};
  if (in->outage_ended_ms != no_outage)
    out.outage_ended = std::chrono::milliseconds(in->outage_ended_ms);
  for (auto& it : in->rows) {
    if (it == nullptr) continue;
    out.rows.push_back({.name = {.table = out.table,
                                 .part = std::move(it->part),
                                 .key = std::move(it->key)},
                        .value = std::move(it->value),
                        .version = it->version,
                        .removed = it->removed});
  }
  return out;
}

}  // namespace fulmar::serving
