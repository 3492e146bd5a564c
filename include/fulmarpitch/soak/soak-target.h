#pragma once

/// \file
/// A target that streams events, keeps count of what it runs, and resumes.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "fulmarpitch/net/event-loop.h"
#include "fulmarpitch/net/http.h"

namespace fulmar::soak {

/// The output of a request whose id begins so is longer than a row of the
/// store.
inline constexpr std::string_view long_output_prefix = "long-";

/// How a target answers.
struct soak_target_options {
  std::string id;
  /// Version of its software, which marks the data of its events.
  std::string version;
  std::uint32_t slots = 4;
  std::uint32_t events = 12;
  instant event_time = std::chrono::milliseconds(15);
};

/// The whole output that targets of a version give to a request: every event.
std::string whole_stream(const std::string& request, std::uint32_t events,
                         const std::string& version = {});

/// The data of all events, joined by line feeds.
std::string whole_output(const std::string& request, std::uint32_t events,
                         const std::string& version = {});

/// One target.
class soak_target {
 public:
  using on_run =
      std::function<void(const std::string& request, const std::string& path)>;

  /// \param loop the loop.
  /// \param options how it answers.
  /// \param run is told of each request that begins to run.
  soak_target(event_loop& loop, soak_target_options options, on_run run);
  ~soak_target();
  soak_target(const soak_target&) = delete;
  soak_target& operator=(const soak_target&) = delete;

  std::string address() const;

  /// From now on each answer says that the target leaves.
  void leave();

  /// Sets whether answers bring bytes without end instead of events.
  void set_endless(bool endless);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace fulmar::soak
