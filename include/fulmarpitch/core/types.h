#pragma once

/// \file
/// Identifiers, time and enumerations shared by every module.

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fulmar {

/// A point in time or a span, in microseconds. The daemon counts from the Unix
/// epoch, virtual-time runs count from zero.
using instant = std::chrono::microseconds;

/// Services by name.
using service_names = std::set<std::string, std::less<>>;

/// One value of an enumeration with its spelling.
template <typename E>
using named = std::pair<E, std::string_view>;

/// Finds the spelling of a value.
/// \param names the enumeration's table of names.
/// \param value the value to spell.
/// \return the spelling, or "unknown" for a value outside the table.
template <typename E, std::size_t N>
constexpr std::string_view name_in(const std::array<named<E>, N>& names,
                                   E value) {
  for (const auto& [it, name] : names) {
    if (it == value) return name;
  }
  return "unknown";
}

/// Finds the value with a spelling.
/// \param names the enumeration's table of names.
/// \param text the spelling to look for.
/// \return the value, or nothing for a spelling outside the table.
template <typename E, std::size_t N>
constexpr std::optional<E> value_in(const std::array<named<E>, N>& names,
                                    std::string_view text) {
  for (const auto& [it, name] : names) {
    if (name == text) return it;
  }
  return std::nullopt;
}

/// What is known about whether a request ran.
enum class outcome { not_run, ran, unknown };

inline constexpr std::array<named<outcome>, 3> outcome_names{{
    {outcome::not_run, "not_run"},
    {outcome::ran, "ran"},
    {outcome::unknown, "unknown"},
}};

/// The kind of work a request is.
enum class work_kind { online, batch, service };

inline constexpr std::array<named<work_kind>, 3> work_kind_names{{
    {work_kind::online, "online"},
    {work_kind::batch, "batch"},
    {work_kind::service, "service"},
}};

/// Every reason for which a request, job, ticket or call can fail.
enum class error_code {
  none,
  bad_request,
  unauthorized,
  not_found,
  conflict,
  too_large,
  key_reused,
  rate_limited,
  overloaded,
  deadline_exceeded,
  quarantined,
  cancelled,
  attempt_failed,
  outcome_unknown,
  store_unavailable,
  shutting_down,
  internal,
};

inline constexpr std::array<named<error_code>, 17> error_code_names{{
    {error_code::none, "none"},
    {error_code::bad_request, "bad_request"},
    {error_code::unauthorized, "unauthorized"},
    {error_code::not_found, "not_found"},
    {error_code::conflict, "conflict"},
    {error_code::too_large, "too_large"},
    {error_code::key_reused, "key_reused"},
    {error_code::rate_limited, "rate_limited"},
    {error_code::overloaded, "overloaded"},
    {error_code::deadline_exceeded, "deadline_exceeded"},
    {error_code::quarantined, "quarantined"},
    {error_code::cancelled, "cancelled"},
    {error_code::attempt_failed, "attempt_failed"},
    {error_code::outcome_unknown, "outcome_unknown"},
    {error_code::store_unavailable, "store_unavailable"},
    {error_code::shutting_down, "shutting_down"},
    {error_code::internal, "internal"},
}};

/// The HTTP status that reports a failure to a caller.
/// \param code the failure.
/// \return an HTTP status, 200 for `none`.
int http_status(error_code code);

/// A request or batch item as the decisions see it: no prompt text.
struct work_item {
  std::string id;
  std::string caller;
  std::string class_name;
  std::string model;
  std::string adapter;
  work_kind kind = work_kind::online;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;
  /// Hashes of the prompt's leading blocks, the first block first. Each hash
  /// covers the whole prefix up to its block.
  std::vector<std::uint64_t> prefix_blocks;
  /// Hash of the whole request body; recognises a request that is sent again.
  std::uint64_t content_hash = 0;
  instant arrival{};
  instant deadline{};
  bool no_repeat = false;
};

}  // namespace fulmar
