#pragma once

/// \file
/// Requests that can no longer meet their latency goal give way to those that
/// can. Answers the load after an outage: clients that got no answer come back
/// all at once, and engines admit in order of arrival. In the engines' queues
/// these requests would delay every new one past its goal as well, although
/// half a second more costs themselves nothing. They are held at the daemon,
/// the earliest deadline first, and start on slots that new requests leave.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/placement.h"
#include "fulmarpitch/serving/versions.h"

namespace fulmar::serving {

/// Requests by the time that their callers waited from then on.
struct time_limit_counts {
  /// Times are rounded down; the longest comes first.
  std::map<instant, std::uint32_t, std::greater<>> by_time;
  std::uint32_t all = 0;
};

/// How long the callers of a route wait for an answer, as observed in the last
/// 10 to 20 s. A route's timeout tells only how long it allows them to wait.
struct observed_time_limit {
  time_limit_counts recent;
  time_limit_counts before;
  /// When the current period of observation began, on the steady clock.
  instant began{};
};

/// Takes the time limit of a request into account.
/// \param left how long its caller waits from now on.
/// \param now current time on the steady clock.
void note_time_limit(observed_time_limit& limit, instant left, instant now);

/// Computes the time limit of first attempts: the longest one that a tenth of
/// the requests reached, so that a few callers that wait longer do not count.
/// \return zero if no request was observed.
instant time_limit(const observed_time_limit& limit);

/// \return the longest time limit of any request; zero if none was observed.
instant longest_time_limit(const observed_time_limit& limit);

/// Bounds of holding a late request.
struct late_options {
  /// Time that must be left after holding until the client gives up: a wait of
  /// 0.6 s in a target's queue and the time to the first output.
  instant min_left = std::chrono::milliseconds(800);
};

/// Decides whether a request gives way to new ones: its client has waited for
/// longer than the goal allows, and there is time to hold it.
/// \param slot_time mean time that an online request holds a slot.
bool gives_way(const caller_time& time, instant slot_time,
               const late_options& options = {});

/// Recent arrivals of requests that are in time.
struct arrival_window {
  std::deque<instant> arrivals;
  /// When the observation began, on the steady clock.
  instant began{};
};

/// Records the arrival of a request that is in time.
/// \param now current time on the steady clock.
void note_arrival(arrival_window& window, instant now);

/// \param now current time on the steady clock.
/// \return the recent arrivals per second.
double arrival_rate(const arrival_window& window, instant now);

/// Computes how many late requests a daemon may run at a time: as many as its
/// share of the slots exceeds what new requests are about to need, and one at
/// the least.
/// \param slots this daemon's share of the slots of its data centre.
/// \param rate arrivals of requests that are in time, per second.
/// \param slot_time mean time that an online request holds a slot.
std::uint32_t max_late_running(double slots, double rate, instant slot_time);

/// The late requests of a daemon. Those of one service and version wait in one
/// line, as the targets of another have no room to give them.
struct late_queue {
  /// Deadlines of those that are held, with a number that tells equal ones
  /// apart. No line is empty.
  absl::flat_hash_map<stream_origin,
                      std::set<std::pair<instant, std::uint64_t>>>
      waiting;
  std::uint64_t last_number = 0;
  /// Those that were held and run now, by service; none is 0.
  std::map<std::string, std::uint32_t, std::less<>> running;
};

/// \return the services for which late requests are held.
service_names services_waited_for(const late_queue& queue);

/// \return the requests to a service that were held and run now.
std::uint32_t count_running(const late_queue& queue, std::string_view service);

/// Scope guard that keeps a request in the queue until it ends.
class late_queue_entry {
 public:
  /// \param line the service of the request, and the version that it needs;
  ///     an empty version if any will do.
  late_queue_entry(late_queue& queue, stream_origin line, instant deadline);
  ~late_queue_entry();
  late_queue_entry(const late_queue_entry&) = delete;
  late_queue_entry& operator=(const late_queue_entry&) = delete;

  /// \return whether the request is the next of its line to start.
  bool is_first() const;

  /// The request is held no longer.
  void start();

 private:
  void leave_line();

  late_queue& queue_;
  stream_origin line_;
  std::pair<instant, std::uint64_t> key_;
  bool running_ = false;
};

}  // namespace fulmar::serving
