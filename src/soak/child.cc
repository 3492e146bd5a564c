#include "fulmarpitch/soak/child.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include "fulmarpitch/core/invariant.h"

namespace fulmar::soak {
namespace {

std::vector<char*> pointers(const std::vector<std::string>& texts) {
  auto out = std::vector<char*>();
  for (const auto& it : texts)
    out.push_back(const_cast<char*>(it.c_str()));
  out.push_back(nullptr);
  return out;
}

}  // namespace

child::child(const std::vector<std::string>& arguments,
             const std::vector<std::string>& variables,
             const std::string& log) {
  auto files = posix_spawn_file_actions_t();
  ::posix_spawn_file_actions_init(&files);
  constexpr auto flags = O_WRONLY | O_CREAT | O_APPEND;
  constexpr auto mode = 0644;
  ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(), flags,
                                     mode);
  ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  auto argv = pointers(arguments);
  auto envp = pointers(variables);
  auto failed = ::posix_spawn(&id_, arguments.front().c_str(), &files, nullptr,
                              argv.data(), envp.data());
  ::posix_spawn_file_actions_destroy(&files);
  ensure(failed == 0, invariant::limit_holds, "a program can't be started");
}

child::~child() {
  if (ended()) return;
  send(SIGKILL);
  ::waitpid(id_, nullptr, 0);
}

void child::send(int signal) const {
  if (!code_) ::kill(id_, signal);
}

std::optional<int> child::ended() {
  constexpr auto signal_base = 128;
  if (code_) return code_;
  auto status = 0;
  if (::waitpid(id_, &status, WNOHANG) != id_) return std::nullopt;
  code_ =
      WIFEXITED(status) ? WEXITSTATUS(status) : signal_base + WTERMSIG(status);
  return code_;
}

}  // namespace fulmar::soak
