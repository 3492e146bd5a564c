#pragma once

/// \file
/// Kept connections by address, so that most exchanges open none.

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

#include "fulmarpitch/net/http-link.h"

namespace fulmar {

/// How connections are kept.
struct link_pool_options {
  /// A link idle for longer is closed. Shorter than the shortest idle limit
  /// that targets are known to have, for those that state none.
  instant idle = std::chrono::seconds(4);
  /// A stated idle limit is left this early, so that a request never crosses
  /// the other side's close.
  instant idle_margin = std::chrono::milliseconds(1000);
  /// Idle links kept for one address.
  std::size_t per_address = 24;
  /// A request without a byte of an answer in its time shows that the idle
  /// links to the address may be silent, too. Not where requests may queue at
  /// the other side until their deadlines.
  bool timeouts_show_silence = true;
  /// IP address to connect from; empty to let the system choose.
  std::string source{};
};

/// Idle links.
class link_pool {
 public:
  link_pool(asio::io_context& io, link_pool_options options);

  /// Gives an idle link that is still good, or a link yet to be connected. Idle
  /// links that may be silent are closed.
  link_ptr take(const std::string& address);

  /// Gives a link yet to be connected. An idle link may be closed by the other
  /// side while a request is on its way.
  link_ptr make_link(const std::string& address);

  /// \return whether an idle link to an address is kept.
  bool keeps_link(const std::string& address) const;

  /// Keeps a link after a complete exchange, or closes it.
  void give_back(link_ptr it);

  /// Closes links that were idle for too long or are not quiet.
  void close_idle(instant now);

  /// Closes every idle link to an address.
  void drop(const std::string& address);

  link_table& links() { return *links_; }

 private:
  struct idle_link {
    link_ptr link;
    /// When it was given back.
    instant since{};
    instant until{};
  };

  bool is_good(const idle_link& it, instant now) const;

  asio::io_context& io_;
  link_pool_options options_;
  std::shared_ptr<link_table> links_ = std::make_shared<link_table>();
  absl::flat_hash_map<std::string, std::vector<idle_link>> idle_;
};

}  // namespace fulmar
