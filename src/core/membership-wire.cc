#include "fulmarpitch/core/membership.h"

namespace fulmar {
namespace {

// UDP and IPv4 headers, and the code that authenticates a datagram.
constexpr std::size_t transport_bytes = 28 + 16;
constexpr std::size_t offset_bytes = 4;
// Root offset, vtables, and the message's own scalars and offsets.
constexpr std::size_t message_bytes = 120;
constexpr std::size_t member_bytes = 60;
constexpr std::size_t target_bytes = 52;
constexpr std::size_t summary_bytes = 64;

// Length, characters, terminator, padding to four bytes.
std::size_t text_bytes(const std::string& text) {
  constexpr std::size_t alignment = 4;
  if (text.empty()) return 0;
  return offset_bytes +
         (text.size() + 1 + alignment - 1) / alignment * alignment;
}

std::size_t record_bytes(const member_record& it) {
  return member_bytes + text_bytes(it.name) + text_bytes(it.peer_address) +
         text_bytes(it.http_address);
}

std::size_t record_bytes(const target_record& it) {
  return target_bytes + text_bytes(it.name);
}

std::size_t record_bytes(const data_centre_summary& it) {
  auto n = summary_bytes + text_bytes(it.data_centre);
  for (const auto& address : it.delegates) {
    n += offset_bytes + text_bytes(address);
  }
  return n;
}

template <typename T>
std::size_t vector_bytes(const std::vector<T>& records) {
  if (records.empty()) return 0;
  auto n = offset_bytes;
  for (const auto& it : records)
    n += offset_bytes + record_bytes(it);
  return n;
}

}  // namespace

std::size_t wire_bytes(const membership_message& message) {
  return transport_bytes + message_bytes + text_bytes(message.from) +
         text_bytes(message.data_centre) + text_bytes(message.target) +
         text_bytes(message.target_address) + vector_bytes(message.members) +
         vector_bytes(message.targets) + vector_bytes(message.summaries);
}

}  // namespace fulmar
