#pragma once

/// \file
/// The sequencers that this daemon owns, each with its epoch and order log.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fulmarpitch/core/sequencer.h"
#include "fulmarpitch/net/peer.h"
#include "fulmarpitch/order/succession.h"
#include "fulmarpitch/stores/stores.h"

namespace fulmar {

/// What the pool host asks of the daemon around it.
struct pool_host_links {
  event_loop* loop = nullptr;
  peer_network* peers = nullptr;
  table_store table;
  object_store objects;
  std::string self;
  std::string data_centre;
  std::string region;
  /// Names the daemon that owns a pool.
  std::function<std::string(const std::string& pool)> owner_of;
  /// Live members of the data centre, this one included.
  std::function<std::vector<std::string>()> members;
  /// Every member that was seen, also those that were lost since.
  std::function<std::vector<member_sighting>()> sightings;
  /// Records the outcome of a request whose entry was lost, unless another
  /// entry takes it over before its deadline.
  std::function<void(const std::string& request_id, const std::string& caller,
                     instant deadline)>
      record_lost;
  /// What the configuration in force says of a pool.
  std::function<pool_policy(const std::string& pool)> policy;
  std::function<std::vector<target_info>(const std::string& pool)> targets;
};

/// A pool as the operators see it.
struct pool_status {
  std::string pool;
  std::string epoch;
  std::size_t queued = 0;
  std::size_t running = 0;
  std::uint64_t last_number = 0;
  std::uint64_t durable_number = 0;
  bool provisional = false;
};

/// Counts of commands since the start.
struct pool_host_counts {
  std::uint64_t admissions = 0;
  std::uint64_t refusals = 0;
  std::uint64_t preemptions = 0;
  std::uint64_t cancellations = 0;
  std::uint64_t epochs_opened = 0;
};

/// Runs the sequencers of the pools whose owner this daemon is.
class pool_host {
 public:
  explicit pool_host(pool_host_links links);
  ~pool_host();
  pool_host(const pool_host&) = delete;
  pool_host& operator=(const pool_host&) = delete;

  /// Takes a message of an entry or a member in.
  /// \return false when the message is not for a sequencer.
  bool take(const std::string& from, const wire::bodyUnion& body);

  /// The configuration or the state of a target changed.
  void configuration_changed();
  /// A daemon was lost for good with the requests it held.
  void member_dead(const std::string& name);

  /// Stops the sequencer of an epoch that a successor is about to close.
  /// \param pool the pool's name across data centres.
  /// \param epoch the epoch.
  /// \return every record that is not in the object store, or nothing when this
  ///   daemon does not run the epoch.
  std::optional<std::vector<std::string>> surrender(const std::string& pool,
                                                    const epoch_id& epoch);

  /// Runs every sequencer and log.
  void tick();

  /// Closes every epoch in good order and takes no more requests.
  void close();
  /// Whether every record is in the object store.
  bool flushed() const;

  std::vector<pool_status> status() const;
  const pool_host_counts& counts() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace fulmar
