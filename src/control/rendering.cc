#include "fulmarpitch/control/rendering.h"

#include <algorithm>
#include <boost/json.hpp>

#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

namespace json = boost::json;

constexpr std::size_t column_gap = 2;
constexpr std::size_t progress_columns = 40;
constexpr std::uint64_t whole_percent = 100;

bool is_plain(const json::value& value) {
  return !value.is_structured();
}

std::string plain_text(const json::value& value) {
  if (const auto* it = value.if_string()) return {it->data(), it->size()};
  return value.is_null() ? "-" : json::serialize(value);
}

std::vector<std::string> columns_of(const json::array& rows) {
  auto columns = std::vector<std::string>();
  for (const auto& row : rows) {
    const auto* fields = row.if_object();
    if (fields == nullptr) continue;
    for (const auto& it : *fields) {
      const auto name = std::string(it.key());
      const auto is_new =
          std::find(columns.begin(), columns.end(), name) == columns.end();
      if (is_new && is_plain(it.value())) columns.push_back(name);
    }
  }
  return columns;
}

std::vector<std::string> cells_of(const json::value& row,
                                  const std::vector<std::string>& columns) {
  auto cells = std::vector<std::string>();
  const auto* fields = row.if_object();
  for (const auto& it : columns) {
    const auto* value = fields == nullptr ? nullptr : fields->if_contains(it);
    const auto is_shown = value != nullptr && is_plain(*value);
    cells.push_back(is_shown ? plain_text(*value) : "-");
  }
  return cells;
}

void append_line(std::string& out, const std::vector<std::string>& cells,
                 const std::vector<std::size_t>& widths) {
  for (std::size_t n = 0; n < cells.size(); ++n) {
    out += cells[n];
    if (n + 1 == cells.size()) break;
    out.append(widths[n] + column_gap - cells[n].size(), ' ');
  }
  out += '\n';
}

void append_field_changes(std::string& out, const std::string& from,
                          const std::string& to) {
  const auto before = json::parse(from).as_object();
  const auto after = json::parse(to).as_object();
  for (const auto& it : after) {
    const auto* old = before.if_contains(it.key());
    if (old != nullptr && *old == it.value()) continue;
    out += concat("    ", std::string_view(it.key()), ": ",
                  old == nullptr ? "-" : json::serialize(*old), " -> ",
                  json::serialize(it.value()), "\n");
  }
}

}  // namespace

std::string render_table(const json::array& rows) {
  const auto columns = columns_of(rows);
  auto lines = std::vector<std::vector<std::string>>{columns};
  for (const auto& it : rows)
    lines.push_back(cells_of(it, columns));
  auto widths = std::vector<std::size_t>(columns.size());
  for (const auto& line : lines) {
    for (std::size_t n = 0; n < line.size(); ++n) {
      widths[n] = std::max(widths[n], line[n].size());
    }
  }
  auto out = std::string();
  for (const auto& it : lines)
    append_line(out, it, widths);
  return out;
}

std::string render_fields(const json::object& fields) {
  auto out = std::string();
  for (const auto& it : fields) {
    const auto& value = it.value();
    out += concat(std::string_view(it.key()), ": ",
                  is_plain(value) ? plain_text(value) : json::serialize(value),
                  "\n");
  }
  return out;
}

std::string render_changes(const config_snapshot& from,
                           const std::vector<object_change>& changes) {
  auto out = std::string();
  for (const auto& it : changes) {
    const auto found = from.objects.find(it.key);
    const auto is_present =
        found != from.objects.end() && found->second.body.has_value();
    const auto* mark = !it.body ? "- " : is_present ? "~ " : "+ ";
    out += concat(mark, to_string(it.key), "\n");
    if (is_present && it.body) {
      append_field_changes(out, *found->second.body, *it.body);
    }
  }
  return out;
}

std::string render_progress(std::uint64_t done, std::uint64_t total) {
  const auto least = std::max<std::uint64_t>(total, 1);
  const auto shown = std::min(done, least);
  const auto filled = progress_columns * shown / least;
  return concat("[", std::string(filled, '#'),
                std::string(progress_columns - filled, ' '), "] ",
                whole_percent * shown / least, "% ", done, "/", total);
}

}  // namespace fulmar
