#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "fulmarpitch/net/peer.h"
#include "fulmarpitch/state/results.h"

namespace fulmar {

/// What a daemon holds of a request.
struct held_answer {
  bool running = false;
  std::optional<result_record> result;
};

/// Questions to other daemons that are answered once or time out.
class peer_calls {
 public:
  peer_calls(event_loop& loop, peer_network& peers)
      : loop_(loop), peers_(peers) {}

  void claim(const std::string& to, const claim_record& claim,
             callback<claim_outcome> done);
  /// Asks what a daemon holds of a request.
  /// \param renounce whether it must never start the request from now on,
  ///   unless it runs already.
  void find_pending(const std::string& to, const std::string& request_id,
                    bool renounce, callback<held_answer> done);
  void get_snapshot(const std::string& to, callback<std::string> done);

  /// \return false when the message answers no question.
  bool take(const wire::bodyUnion& body);
  /// Fails the open questions to a daemon.
  void peer_lost(const std::string& peer);

 private:
  struct open_call {
    std::string to;
    /// Receives the answer, or null when there is none.
    std::function<void(const wire::bodyUnion*)> take;
  };

  std::uint64_t open(const std::string& to,
                     std::function<void(const wire::bodyUnion*)> take);
  void answer(std::uint64_t id, const wire::bodyUnion* body);

  event_loop& loop_;
  peer_network& peers_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, open_call> calls_;
};

}  // namespace fulmar
