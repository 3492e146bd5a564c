#pragma once

/// \file
/// The configuration in force on one VM. It follows the head row in the table
/// service and what peers tell, and its version never decreases.

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/config/tickets.h"

namespace fulmar {

struct watcher_options {
  std::string vm;
  std::uint64_t random_seed = 1;
  /// Mean time between two reads of the head row; each is jittered.
  instant poll_interval = std::chrono::seconds(3);
  /// A call without a reply for so long counts as lost.
  instant call_timeout = std::chrono::seconds(2);
  /// The same, while the VM has no configuration.
  instant start_poll_interval = std::chrono::milliseconds(500);
  /// After its start a VM waits so long for the platform, whose head row it can
  /// confirm, and then takes its first configuration from a peer.
  instant start_wait = std::chrono::seconds(5);
};

/// What the watcher needs and whom it tells.
struct watcher_links {
  config_stores stores;
  /// Asks a peer for the bytes of the snapshot that it has in force.
  std::function<void(const std::string& peer, callback<std::string>)>
      fetch_from_peer;
  /// A configuration came into force.
  std::function<void(const configuration&)> on_change;
};

/// Why a known version is not in force.
enum class watcher_fault {
  none,
  not_fetched,
  refused,
};

inline constexpr std::array<named<watcher_fault>, 3> watcher_fault_names{{
    {watcher_fault::none, "none"},
    {watcher_fault::not_fetched, "not_fetched"},
    {watcher_fault::refused, "refused"},
}};

/// One VM's configuration, as `fulmarctl state` shows it.
struct watcher_status {
  std::string vm;
  /// Version in force; 0 before the first.
  std::uint64_t version = 0;
  /// The highest version that the VM has heard of.
  std::uint64_t known_version = 0;
  /// How long a higher version has been known.
  instant lag{};
  watcher_fault fault = watcher_fault::none;
  /// The version that could not be applied; 0 when there is none.
  std::uint64_t refused_version = 0;
  std::vector<declaration_fault> faults;
};

/// Keeps the configuration in force on one VM.
class config_watcher {
 public:
  config_watcher(watcher_options options, watcher_links links);

  /// Starts what is due: reads of the head row and fetches of snapshots.
  /// \param now the time; never runs backwards.
  void tick(instant now);

  /// Takes in the version that a peer has in force. A lower version than
  /// before is taken as the peer's restart.
  void heard(const std::string& peer, std::uint64_t version, instant now);

  /// Forgets a peer that is gone; the highest known version stays.
  void forget(const std::string& peer);

  /// \return the configuration in force, or null before the first. It stays
  ///   valid while the pointer is held.
  std::shared_ptr<const configuration> in_force() const;

  /// \return the snapshot in force, for peers; empty before the first.
  const std::string& snapshot_bytes() const;

  watcher_status status(instant now) const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace fulmar
