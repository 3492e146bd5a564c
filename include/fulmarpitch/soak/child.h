#pragma once

/// \file
/// One process that a soak run starts, and signals by its id alone.

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace fulmar::soak {

/// A process of the run's own.
class child {
 public:
  /// Starts a program.
  /// \param arguments the program's path and its arguments.
  /// \param variables `NAME=value` entries of its environment.
  /// \param log the file that takes its output.
  child(const std::vector<std::string>& arguments,
        const std::vector<std::string>& variables, const std::string& log);
  /// Kills the process if it still runs.
  ~child();
  child(const child&) = delete;
  child& operator=(const child&) = delete;

  void send(int signal) const;
  /// Looks whether the process has ended.
  /// \return its exit code, or 128 and the signal that ended it.
  std::optional<int> ended();

 private:
  pid_t id_ = -1;
  std::optional<int> code_;
};

}  // namespace fulmar::soak
