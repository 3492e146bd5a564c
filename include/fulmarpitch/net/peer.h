#pragma once

/// \file
/// Authenticated TCP links between daemons that carry FlatBuffers messages.

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "fulmarpitch/net/event-loop.h"
#include "fulmarpitch/net/peer_generated.h"

namespace fulmar {

struct peer_options {
  /// This daemon's name, unique for each start.
  std::string name;
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  /// Known to every daemon; proves that a peer is one.
  std::string secret;
  /// A link that was silent this long is closed.
  instant silence_limit = std::chrono::seconds(3);
  instant keep_alive_period = std::chrono::milliseconds(500);
};

/// Links to the other daemons, made on demand.
class peer_network {
 public:
  struct impl;
  using take_message =
      std::function<void(const std::string& from, wire::envelopeT message)>;
  using take_loss = std::function<void(const std::string& peer)>;

  /// \param loop the loop to run on.
  /// \param options name, address and secret.
  /// \param on_message receives each message, never inside `send`.
  /// \param on_loss told that messages to or from a peer may be lost.
  peer_network(event_loop& loop, peer_options options, take_message on_message,
               take_loss on_loss);
  ~peer_network();
  peer_network(const peer_network&) = delete;
  peer_network& operator=(const peer_network&) = delete;

  /// Binds and starts to accept.
  absl::Status start();
  std::uint16_t port() const;

  /// States where a peer listens.
  void set_address(const std::string& peer, const std::string& address);

  /// Closes the links to a peer and forgets its address.
  void forget(const std::string& peer);

  /// Sends a message; a peer that can't be reached gives `on_loss`.
  template <typename Message>
  void send(const std::string& peer, Message message) {
    auto out = wire::envelopeT();
    out.body.Set(std::move(message));
    send_envelope(peer, out);
  }

 private:
  void send_envelope(const std::string& peer, const wire::envelopeT& message);

  std::shared_ptr<impl> impl_;
};

}  // namespace fulmar
