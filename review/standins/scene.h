#pragma once

/// \file
/// A small deployment on loopback, and clients that hand in batch jobs there.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "platform.h"

namespace review {

inline constexpr auto host = "nony24.example";
inline constexpr auto batch_prefix = "/pule252/";
inline constexpr auto second_prefix = "/sive408/";

/// Exit codes of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

struct batch_route {
  std::uint32_t due_ms = 18000;
  std::uint32_t max_wait_s = 60;
  std::uint64_t max_queued = 2'000'000;
};

/// Everything that a case runs.
struct scene {
  scene(const std::string& record_path, bool with_trouble);
  scene(const scene&) = delete;
  scene& operator=(const scene&) = delete;

  /// Ends all daemons and removes the folder.
  void close();

  /// Adds a daemon; it is not started.
  front& add_daemon(const std::string& name, const std::string& zone);
  runner& add_runner(runner_options options);
  /// Starts all daemons and waits until they are ready.
  bool start();
  /// Writes a configuration as the operator does.
  /// \param batch what the batch routes have.
  /// \param with_second whether there is a second batch route.
  void configure(std::uint64_t version, const batch_route& batch,
                 bool with_second = false);
  /// \return whether all daemons still run.
  bool all_alive();
  void say(const std::string& line) { log.add(line); }

  bool trouble = true;
  std::string folder;
  record log;
  store rows;
  std::vector<std::unique_ptr<front>> daemons;
  std::vector<std::unique_ptr<runner>> runners;
};

/// A batch job as a client knows it.
struct job {
  std::string id;
  std::vector<std::string> items;
  std::uint64_t tokens_each = 1000;
  std::string prefix = batch_prefix;
  std::uint64_t tokens() const { return tokens_each * items.size(); }
};

job make_job(const std::string& id, std::size_t items,
             std::uint64_t tokens_each);

/// Hands in a job.
/// \return the status; 0 for no complete answer.
int submit(scene& in, const front& to, const job& it, double timeout_s);

struct listed {
  std::string id;
  std::string state;
  std::string output;
};

/// Reads the results from a position on.
/// \return nothing unless the answer is a complete 200.
std::optional<std::vector<listed>> read_from(const front& at, const job& it,
                                             std::size_t position);

/// Reads all results of a job, from the start.
std::optional<std::vector<listed>> read_all(const front& at, const job& it);

}  // namespace review
