#include "fulmarpitch/core/settings.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <regex>

#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

constexpr std::int64_t highest_port = 65535;

struct duration_unit {
  std::string_view name;
  instant length;
};

constexpr std::array<duration_unit, 5> duration_units{{
    {"us", std::chrono::microseconds(1)},
    {"ms", std::chrono::milliseconds(1)},
    {"s", std::chrono::seconds(1)},
    {"m", std::chrono::minutes(1)},
    {"h", std::chrono::hours(1)},
}};

std::string spell(instant value) {
  auto best = duration_units.front();
  for (const auto& it : duration_units) {
    if (value % it.length == instant(0)) best = it;
  }
  return concat(value / best.length, best.name);
}

std::optional<std::int64_t> parse_number(std::string_view text) {
  auto value = std::int64_t(0);
  const auto* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || it != end) return std::nullopt;
  return value;
}

std::optional<instant> parse_duration(std::string_view text) {
  const auto digits =
      std::min(text.find_first_not_of("0123456789"), text.size());
  const auto count = parse_number(text.substr(0, digits));
  const auto unit = text.substr(digits);
  for (const auto& it : duration_units) {
    if (it.name != unit || !count) continue;
    if (*count > instant::max() / it.length) return std::nullopt;
    return it.length * *count;
  }
  return std::nullopt;
}

bool is_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  const auto host = text.substr(0, colon);
  const auto is_bracketed = host.starts_with('[') && host.ends_with(']');
  if (host.find(':') != std::string_view::npos && !is_bracketed) return false;
  const auto port = parse_number(text.substr(colon + 1));
  return port && *port >= 0 && *port <= highest_port;
}

std::vector<std::string> split(const std::string& text) {
  auto parts = std::vector<std::string>();
  for (std::size_t begin = 0; begin < text.size();) {
    const auto end = std::min(text.find(',', begin), text.size());
    if (end > begin) parts.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

std::vector<std::string> texts_of(const docopt::value& value) {
  if (value.isString()) return {value.asString()};
  if (value.isStringList()) return value.asStringList();
  if (value.isLong()) return {std::to_string(value.asLong())};
  return {};
}

/// The usage without its defaults shows which flags were given.
std::string without_defaults(const std::string& usage) {
  static const auto defaults = std::regex(R"(\[default: [^\]]*\])");
  return std::regex_replace(usage, defaults, "");
}

bool is_given(const docopt::value& value) {
  if (value.isBool()) return value.asBool();
  if (value.isLong()) return value.asLong() != 0;
  return !texts_of(value).empty();
}

[[noreturn]] void print_and_leave(const std::string& text) {
  std::fputs(text.c_str(), stdout);
  std::fputs("\n", stdout);
  std::exit(EXIT_SUCCESS);
}

}  // namespace

std::string to_string(const setting_error& error) {
  return concat(error.flag, ": \"", error.value,
                "\" is not allowed; allowed: ", error.allowed);
}

environment process_environment() {
  return [](std::string_view name) -> std::optional<std::string> {
    const auto* value = std::getenv(std::string(name).c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
  };
}

std::string variable_for(std::string_view flag) {
  auto name = std::string("FULMAR_");
  for (const auto it :
       flag.substr(std::min(flag.find_first_not_of('-'), flag.size()))) {
    name +=
        it == '-'
            ? '_'
            : static_cast<char>(std::toupper(static_cast<unsigned char>(it)));
  }
  return name;
}

settings settings::parse(const std::string& usage,
                         const std::vector<std::string>& args,
                         const environment& env, const std::string& version) {
  auto result = settings();
  try {
    const auto given =
        docopt::docopt_parse(without_defaults(usage), args, true, true);
    for (const auto& [name, value] : docopt::docopt_parse(usage, args)) {
      auto variable = std::optional<std::string>();
      if (name.starts_with("--") && !is_given(given.at(name))) {
        variable = env(variable_for(name));
      }
      result.switches_[name] = is_given(value);
      result.values_[name] = texts_of(value);
      if (!variable) continue;
      result.set_from_variable(name, *variable, value.isBool(),
                               value.isStringList());
    }
  } catch (const docopt::DocoptExitHelp&) {
    print_and_leave(usage);
  } catch (const docopt::DocoptExitVersion&) {
    print_and_leave(version);
  } catch (const docopt::DocoptArgumentError& error) {
    auto line = std::string();
    for (const auto& it : args)
      line.append(line.empty() ? "" : " ") += it;
    result.add_error("command line", line,
                     concat("what --help shows (", error.what(), ")"));
  }
  return result;
}

void settings::set_from_variable(const std::string& name,
                                 const std::string& value, bool is_switch,
                                 bool is_list) {
  if (!is_switch) {
    values_[name] = is_list ? split(value) : std::vector{value};
    return;
  }
  if (value != "0" && value != "1") {
    add_error(concat(name, " (", variable_for(name), ")"), value, "0 or 1");
  }
  switches_[name] = value == "1";
}

bool settings::has(const std::string& name) const {
  const auto it = switches_.find(name);
  return it != switches_.end() && it->second;
}

std::string settings::text(const std::string& name) const {
  const auto it = values_.find(name);
  if (it == values_.end() || it->second.empty()) return {};
  return it->second.front();
}

std::string settings::required(const std::string& name) {
  auto value = text(name);
  if (value.empty()) add_error(name, value, "a text that is not empty");
  return value;
}

std::int64_t settings::number(const std::string& name, std::int64_t least,
                              std::int64_t most) {
  const auto value = text(name);
  const auto it = parse_number(value);
  if (it && *it >= least && *it <= most) return *it;
  add_error(name, value, concat("a whole number from ", least, " to ", most));
  return least;
}

instant settings::duration(const std::string& name, instant least,
                           instant most) {
  const auto value = text(name);
  const auto it = parse_duration(value);
  if (it && *it >= least && *it <= most) return *it;
  add_error(name, value,
            concat("a time with its unit (us, ms, s, m, h) from ", spell(least),
                   " to ", spell(most)));
  return least;
}

std::string settings::address(const std::string& name) {
  auto value = text(name);
  if (!is_address(value)) {
    add_error(name, value, "a host and port such as 127.0.0.1:8080");
  }
  return value;
}

std::vector<std::string> settings::list(const std::string& name) const {
  const auto it = values_.find(name);
  return it == values_.end() ? std::vector<std::string>() : it->second;
}

void settings::add_error(std::string flag, std::string value,
                         std::string allowed) {
  errors_.push_back({std::move(flag), std::move(value), std::move(allowed)});
}

int report_errors(const settings& values) {
  for (const auto& it : values.errors()) {
    std::fputs(concat(to_string(it), "\n").c_str(), stderr);
  }
  return usage_exit_code;
}

}  // namespace fulmar
