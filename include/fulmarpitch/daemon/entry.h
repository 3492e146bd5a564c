#pragma once

/// \file
/// The entry: holds the requests that arrived here, from acceptance to their
/// recorded result.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "fulmarpitch/core/sequencer.h"
#include "fulmarpitch/daemon/attempt.h"
#include "fulmarpitch/daemon/completion.h"
#include "fulmarpitch/daemon/metrics.h"
#include "fulmarpitch/net/peer.h"
#include "fulmarpitch/order/log.h"
#include "fulmarpitch/state/entry-outbox.h"

namespace fulmar {

/// A request as the entry holds it.
struct entry_job {
  work_item item;
  /// Nothing for a plain service.
  std::optional<completion_request> completion;
  /// What goes to the target.
  http_request request;
  /// Another daemon held the request before: it may have run there.
  bool may_have_run = false;
  /// Whether the result goes to the recorder; batch items go with their chunk.
  bool records_result = true;
  /// Receives each event as it comes.
  std::function<void(const std::string& data)> on_event;
  /// Receives the one result. `recorded` is false while the result waits to be
  /// written. `retry_after` is 0 when coming back does not help.
  std::function<void(const result_record&, bool recorded, instant retry_after)>
      on_end;
};

/// What the entry asks of the daemon around it.
struct entry_links {
  event_loop* loop = nullptr;
  peer_network* peers = nullptr;
  /// Names the daemon that owns a pool's sequencer; empty when unknown.
  std::function<std::string(const std::string& pool)> sequencer_of;
  /// Names the daemon that owns the recorder; empty when unknown.
  std::function<std::string()> recorder;
  metrics* figures = nullptr;
};

/// Counts of the entry, for metrics and invariants.
struct entry_counts {
  std::uint64_t accepted = 0;
  std::uint64_t ended = 0;
  std::uint64_t attempts = 0;
  std::uint64_t resumed = 0;
  std::uint64_t recorded = 0;
};

/// The requests that this daemon holds.
class entry {
 public:
  explicit entry(entry_links links);
  ~entry();
  entry(const entry&) = delete;
  entry& operator=(const entry&) = delete;

  /// Accepts a request.
  /// \return `overloaded` with outcome `not_run` when there is no room to keep
  ///   its result, `conflict` when the request was renounced; `on_end` does not
  ///   run then.
  absl::Status start(entry_job job);

  /// Cancels a request.
  /// \return false when the entry does not hold it.
  bool cancel(const std::string& request_id);

  bool holds(const std::string& request_id) const;
  /// Makes sure that a request which is not held here is never started here.
  void renounce(const std::string& request_id);
  /// \return whether another daemon may take the request over.
  bool is_renounced(const std::string& request_id) const;
  /// Allows a renounced request to start here again, after a claim that keeps
  /// every other daemon from it.
  void reclaim(const std::string& request_id);
  /// Finds a result that is not recorded yet.
  const result_record* find_unrecorded(const std::string& request_id) const;

  /// Takes a message of a sequencer or recorder in.
  /// \param from the sending daemon.
  /// \param body the message.
  /// \return false when the message is not for an entry.
  bool take(const std::string& from, const wire::bodyUnion& body);

  /// A daemon, or a link to it, was lost: what it knew may be lost.
  void peer_lost(const std::string& peer);
  /// The owners of pools may have changed.
  void sequencers_changed();
  /// The recorder's role moved.
  void recorder_changed();

  /// Submits, resends and gives up what is due.
  void tick();

  held_records& records();
  const entry_counts& counts() const;
  /// Requests without a result.
  std::size_t open() const;
  /// Results that are not recorded yet.
  std::size_t unrecorded() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace fulmar
