#pragma once

/// \file
/// Decides when a daemon fetches the configuration from another daemon. Answers
/// a store that turns some daemons away while the operator changes the
/// configuration: the others have the new version and say so in their reports.

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fulmarpitch/core/types.h"

namespace fulmar::teams {

struct news_options {
  /// Time that the store has to bring a version that another daemon has. Where
  /// it answers, it does so within 10 ms.
  instant store_delay = std::chrono::milliseconds(300);
  /// Pause before a daemon is asked again that did not give its version.
  instant retry_delay = std::chrono::milliseconds(1000);
  /// A daemon that did not report its version for this long is not asked.
  instant expiry = std::chrono::milliseconds(5000);
  /// Most daemons that are kept.
  std::size_t max_holders = 32;
};

/// A daemon that has a newer configuration.
struct configuration_holder {
  std::uint64_t version = 0;
  /// When it first reported this version, and when it last did, on the steady
  /// clock.
  instant first_heard{};
  instant heard{};
  instant retry_after{};
};

/// What a daemon heard of newer configurations.
struct configuration_news {
  news_options options;
  /// By the IP address of the daemon.
  absl::flat_hash_map<std::string, configuration_holder> holders;
  bool fetching = false;
  /// Configurations that other daemons brought.
  std::uint64_t fetched = 0;
};

/// Records the version that another daemon reports.
/// \param own the version in force here; others count only if they are newer.
/// \param now current time on the steady clock.
void note_holder(configuration_news& in, const std::string& address,
                 std::uint64_t version, std::uint64_t own, instant now);

/// Chooses the daemon from which to fetch the configuration.
/// \param own the version in force here.
/// \param self this daemon's name; daemons that ask spread over those that have
///     the version.
/// \param store_lost the store will not bring it.
/// \param now current time on the steady clock.
/// \return its IP address; nothing if there is nothing to fetch.
std::optional<std::string> choose_holder(const configuration_news& in,
                                         std::uint64_t own,
                                         std::string_view self, bool store_lost,
                                         instant now);

/// Records the end of a fetch. Forgets the daemons that have nothing newer.
/// \param own the version in force now.
void end_fetch(configuration_news& in, const std::string& address,
               std::uint64_t own, instant now);

}  // namespace fulmar::teams
