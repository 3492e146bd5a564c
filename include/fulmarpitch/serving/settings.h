#pragma once

/// \file
/// Settings of the daemon on one VM.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/store-limits.h"

namespace fulmar::serving {

/// Start-up settings of a daemon: its VM, its peers and the platform's store.
struct vm_settings {
  std::string name;
  /// IP address of the VM.
  std::string address;
  std::string data_centre;
  std::string region;
  /// Maps each data centre to its region.
  absl::flat_hash_map<std::string, std::string> regions;
  /// Addresses for clients, the load balancer and other daemons.
  std::string client_address;
  std::string ready_address;
  std::string control_address;
  /// Port range for traffic between daemons.
  std::uint16_t first_peer_port = 0;
  std::uint16_t last_peer_port = 0;
  /// IP addresses of VMs to discover peers from; some may no longer exist.
  std::vector<std::string> seeds;
  /// Port of the metrics endpoint, as in deploy/system.toml; 0 for any free
  /// port.
  std::uint16_t metrics_port = 9464;
  /// Address of the platform's store.
  std::string store_address;
  /// What the platform's store accepts.
  store_limits limits;
  /// Memory that this process may use.
  std::size_t memory_bytes = std::size_t{140} * 1024 * 1024;
  /// Descriptors that this process may open.
  std::size_t max_descriptors = 8192;
  /// Time between SIGTERM and SIGKILL.
  instant grace = std::chrono::seconds(8);
  /// Time after which a target that is leaving gets no new requests.
  instant drain_delay = std::chrono::seconds(3);
  /// Time after a job's submission during which its results can be read.
  instant result_lifetime = std::chrono::seconds(120);
  /// Fraction by which queued tokens may exceed a route's limit.
  double quota_slack = 0.1;
  /// Window in which the requests of a team are counted against its rate.
  instant rate_window = std::chrono::seconds(5);
  /// Requests by which a team may exceed its rate in a window, in addition to
  /// the fraction `quota_slack`.
  double rate_excess = 0;
};

}  // namespace fulmar::serving
