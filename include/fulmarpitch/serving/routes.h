#pragma once

/// \file
/// The operator's configuration: which requests go to which service, and
/// within which limits.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/teams/team.h"

namespace fulmar::serving {

/// Retry semantics and response form of a route.
enum class route_kind {
  /// One response; idempotent, so it may run more than once.
  safe,
  /// One response; runs at most once.
  at_most_once,
  /// A stream of events; runs at most once unless `route::resumable`.
  stream,
  /// Jobs of many items that run asynchronously.
  batch,
};

inline constexpr std::array<named<route_kind>, 4> route_kind_names{{
    {route_kind::safe, "safe"},
    {route_kind::at_most_once, "at_most_once"},
    {route_kind::stream, "stream"},
    {route_kind::batch, "batch"},
}};

/// A service of a route and its weight in the traffic split.
struct service_share {
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const service_share&) const = default;
};

/// Rules for the requests of one host and path prefix.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;
  route_kind kind = route_kind::at_most_once;
  /// Time limit from the request to its response; zero for no limit.
  instant timeout{};
  /// Latency goal for the response, or for a stream's first event.
  instant goal{};
  /// Streams: clients abandon one that sends nothing for this long.
  instant max_silence{};
  /// Maximum number of targets that one request is tried on.
  std::uint32_t attempts = 1;
  /// Lower values are served first.
  std::uint32_t priority = 0;
  /// Whether an interrupted stream may be resumed on another target.
  bool resumable = false;
  /// Requests need no key, and belong to no team.
  bool is_public = false;
  /// Requests share beginnings of prompts, which targets keep.
  bool sticky = false;
  std::vector<service_share> shares;
  /// Batch: time from a job's acceptance until all its results are due.
  instant due{};
  /// Batch: time after which an item may be abandoned; zero for never.
  instant max_wait{};
  /// Batch: limit on queued tokens, summed over all callers; 0 for no limit.
  std::uint64_t max_waiting_tokens = 0;

  /// \return whether a request that may already have run can be retried.
  bool repeatable() const {
    return kind == route_kind::safe || kind == route_kind::batch ||
           (kind == route_kind::stream && resumable);
  }
};

/// A service that targets offer.
struct service {
  std::string name;
  std::string health_path;
  /// Connections that one target accepts, summed over all daemons.
  std::uint32_t max_connections = 0;
};

/// Limits on client requests and connections.
struct client_limits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = std::uint64_t{4} * 1024 * 1024;
  instant header_timeout = std::chrono::seconds(3);
  instant idle_timeout = std::chrono::seconds(15);
};

/// A complete version of the configuration.
struct served_configuration {
  /// 0 until a configuration has been read.
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service> services;
  client_limits limits;
  teams::team_directory teams;
};

/// Finds the route of a request: the one of its host whose path prefix is the
/// longest match.
/// \param in the active configuration.
/// \param host the request's host, without a port.
/// \param path the request's path, with or without a query.
/// \return the route, or null when none matches.
const route* match_route(const served_configuration& in, std::string_view host,
                         std::string_view path);

/// \return the route of this name, or null.
const route* find_route(const served_configuration& in, std::string_view name);

/// \return whether a host takes batch jobs without a key.
bool has_public_jobs(const served_configuration& in, std::string_view host);

/// Chooses a service of a route by weight.
/// \param key any hash; the same key gives the same service.
/// \return the service's name; empty when the weights sum to zero.
std::string_view pick_service(const route& from, std::uint64_t key);

/// \return whether a configuration sends requests that may be resumed to other
///     services, or in other shares, than the one before.
bool moves_resumable_routes(const served_configuration& before,
                            const served_configuration& next);

/// \return whether requests of a route may go to a service.
bool leads_to(const route& from, std::string_view service);

/// \return the service of this name, or null.
const service* find_service(const served_configuration& in,
                            std::string_view name);

}  // namespace fulmar::serving
