#pragma once

/// \file
/// The members of the data centre: membership over authenticated UDP.

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fulmarpitch/core/membership.h"
#include "fulmarpitch/net/event-loop.h"

namespace fulmar {

struct roster_options {
  membership_options membership;
  std::string host = "127.0.0.1";
  /// The UDP port; membership datagrams use the peers' TCP port number.
  std::uint16_t port = 0;
  std::string secret;
};

/// What the roster tells.
struct roster_handlers {
  /// A member can be reached at an address.
  std::function<void(const member_record&)> on_up;
  std::function<void(const member_record&)> on_dead;
  /// The set of members that may hold roles may have changed.
  std::function<void()> on_roles_changed;
  std::function<void(const target_record&)> on_target;
};

/// Runs the membership of this process.
class roster {
 public:
  struct impl;

  roster(event_loop& loop, roster_options options, roster_handlers handlers);
  ~roster();
  roster(const roster&) = delete;
  roster& operator=(const roster&) = delete;

  absl::Status start();

  membership& members();
  /// Names the owner of a role by rendezvous hashing; empty when nobody may.
  std::string owner_of(const std::string& role) const;
  /// Datagram bytes sent so far.
  std::uint64_t bytes_sent() const;

 private:
  std::shared_ptr<impl> impl_;
};

}  // namespace fulmar
