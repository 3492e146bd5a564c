#pragma once

/// \file
/// A loopback proxy that harms the connections through it.

#include <array>
#include <list>
#include <memory>
#include <string>

#include "fulmarpitch/net/coroutine.h"

namespace fulmar::soak {

/// What a proxy does to bytes.
enum class link_fault {
  none,
  /// Bytes arrive late.
  delayed,
  /// Connections are reset, and new ones, too.
  reset,
  /// Bytes from the far side wait, as those that TCP sends again; a closed
  /// connection loses them.
  cut_one_way,
  /// Open connections carry nothing any more; new ones work.
  silenced,
  /// Nothing is carried, and new connections hang.
  cut,
};

inline constexpr std::array<named<link_fault>, 6> link_fault_names{{
    {link_fault::none, "none"},
    {link_fault::delayed, "delayed"},
    {link_fault::reset, "reset"},
    {link_fault::cut_one_way, "cut_one_way"},
    {link_fault::silenced, "silenced"},
    {link_fault::cut, "cut"},
}};

/// Carries connections to one address.
class fault_proxy {
 public:
  /// \param loop the loop.
  /// \param to IP address and port of the far side.
  fault_proxy(event_loop& loop, std::string to);
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  /// \return IP address and port to connect to.
  std::string address() const;

  /// Changes what is done to bytes from now on.
  void set(link_fault fault);
  link_fault fault() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace fulmar::soak
