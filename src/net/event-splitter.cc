#include "fulmarpitch/net/event-splitter.h"

#include <absl/strings/numbers.h>

#include <algorithm>

namespace fulmar {
namespace {

/// Finds the end of the first event, behind its empty line.
std::size_t event_end(std::string_view text) {
  auto unix_end = text.find("\n\n");
  auto dos_end = text.find("\r\n\r\n");
  if (unix_end == std::string_view::npos && dos_end == std::string_view::npos)
    return std::string_view::npos;
  if (unix_end < dos_end) return unix_end + 2;
  return dos_end + 4;
}

std::string_view value_of(std::string_view line, std::string_view name) {
  line.remove_prefix(name.size());
  if (line.starts_with(' ')) line.remove_prefix(1);
  return line;
}

void take_line(stream_event& event, std::string_view line) {
  constexpr auto id_name = std::string_view("id:");
  constexpr auto data_name = std::string_view("data:");
  if (line.starts_with(id_name)) {
    auto value = value_of(line, id_name);
    auto id = std::uint64_t{0};
    if (absl::SimpleAtoi(std::string(value), &id)) event.id = id;
  } else if (line.starts_with(data_name)) {
    if (event.has_data) event.data += '\n';
    event.has_data = true;
    event.data += value_of(line, data_name);
  }
}

}  // namespace

std::optional<stream_event> event_splitter::next() {
  auto end = event_end(rest_);
  if (end == std::string_view::npos) return std::nullopt;
  auto out = stream_event{.raw = rest_.substr(0, end)};
  rest_.erase(0, end);
  auto text = std::string_view(out.raw);
  while (!text.empty()) {
    auto line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    if (line.ends_with('\r')) line.remove_suffix(1);
    take_line(out, line);
  }
  if (out.id || out.has_data) has_events_ = true;
  return out;
}

bool event_splitter::is_inside_event() const {
  return rest_.find_first_not_of("\r\n") != std::string::npos;
}

}  // namespace fulmar
