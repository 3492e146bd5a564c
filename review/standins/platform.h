#pragma once

/// \file
/// Stand-ins of the platform's store, of model runners and of the machines that
/// daemons run on. They follow PROTOCOL.md and DEPLOY.md.

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include "net.h"

namespace review {

/// The record of what was sent, answered and run.
class record {
 public:
  explicit record(const std::string& path) : file_(path) {}
  void add(const std::string& line);

 private:
  std::mutex lock_;
  std::ofstream file_;
};

/// How the store treats calls.
enum class store_state {
  sound,
  /// Answers 503: nothing was done.
  down,
};

/// The platform's metadata store.
class store {
 public:
  explicit store(record& log);
  const std::string& address() const { return address_; }
  void set(store_state state);
  /// What the operator and the runners write.
  void put(const std::string& table, const std::string& key,
           const std::string& value);
  void remove(const std::string& table, const std::string& key);

 private:
  using name = std::tuple<std::string, std::string, std::string>;
  struct row {
    std::string value = {};
    std::uint64_t version = 0;
    bool removed = false;
  };

  bool take(const request& in, connection& to);
  bool transact(const request& in, connection& to);
  bool read(const request& in, connection& to);
  bool list_parts(const request& in, connection& to);
  bool wait_for_changes(const request& in, connection& to);
  bool take_object(const request& in, connection& to);
  bool refuse(connection& to, int status, const std::string& why);

  record& log_;
  std::mutex lock_;
  std::condition_variable changed_;
  store_state state_ = store_state::sound;
  std::map<name, row> rows_;
  std::map<std::string, std::string> objects_;
  std::uint64_t version_ = 0;
  std::uint64_t refused_ = 0;
  std::string address_;
};

struct runner_options {
  std::string id = {};
  std::string service = "s";
  std::string zone = "zone-a";
  std::string version = "v1";
  std::uint32_t slots = 8;
  std::uint32_t queue = 24;
  std::uint32_t events = 40;
  double event_s = 0.02;
  std::uint32_t data_bytes = 8;
  /// Requests whose path holds this are larger than the runner's memory.
  std::string too_large = {};
  /// Requests whose id ends so make `long_times` as many events.
  std::string long_suffix = {};
  std::uint32_t long_times = 1;
  /// A request whose path begins so crashes the runner, which is away for a
  /// while.
  std::string crashing_prefix = {};
  double away_s = 1.5;
  /// For a time it fails every second request with 500, whatever it is.
  bool fails_every_second = false;
  /// Version of the weights.
  std::uint32_t weights = 1;
};

/// A model runner. Each event's data is the request's id, a colon and the
/// event's number, filled up with dots to `data_bytes`.
class runner {
 public:
  runner(store& in, record& log, runner_options options);
  /// Whether a request has run to its end here.
  std::uint32_t finished() const { return finished_; }
  std::uint32_t running() const { return running_; }
  struct crashing_run {
    double at = 0;
    std::string path;
    bool crashed = false;
  };
  /// The requests that crash runners which it began to run.
  std::vector<crashing_run> crashing_runs();
  /// Until when it fails requests.
  void fail_until(double at) { fails_until_ = at; }
  /// How often it refused a request that is too large.
  std::uint32_t refused() const { return refused_; }
  /// Writes the entry in the store once more.
  void beat();

 private:
  bool take(const request& in, connection& to);
  void crash();
  bool wait_for_slot(const connection& to);
  bool stream(const request& in, connection& to);

  store& store_;
  record& log_;
  runner_options options_;
  std::string address_;
  std::mutex lock_;
  std::condition_variable freed_;
  std::uint32_t waiting_ = 0;
  std::atomic<std::uint32_t> running_ = 0;
  std::atomic<std::uint32_t> finished_ = 0;
  std::atomic<std::uint32_t> refused_ = 0;
  std::atomic<std::uint32_t> starts_ = 0;
  std::atomic<std::uint32_t> life_ = 0;
  std::atomic<bool> away_ = false;
  std::uint64_t beats_ = 0;
  std::vector<crashing_run> crashing_runs_;
  std::atomic<double> fails_until_ = 0;
};

/// \return what a sound runner makes of an item: the data of all events.
std::string whole_output(const runner_options& of, const std::string& id);

/// Calls every runner's beat each heartbeat, until the process ends.
void keep_beating(std::vector<std::unique_ptr<runner>>& runners);

struct daemon_options {
  std::string name;
  std::string zone = "zone-a";
  /// Last number of its loopback address.
  std::uint32_t number = 1;
};

/// One `fulmar-front` process, started with the deploy file's command.
class front {
 public:
  front(daemon_options options, const store& in, std::string folder);
  ~front();
  front(const front&) = delete;
  front& operator=(const front&) = delete;

  void start();
  void signal(int number) const;
  /// Ends the process and waits for it.
  void end();
  bool is_alive();
  bool is_ready() const;
  std::string client_address() const { return ip_ + ":8161"; }
  const std::string& name() const { return options_.name; }

 private:
  daemon_options options_;
  std::string store_;
  std::string folder_;
  std::string ip_;
  pid_t pid_ = -1;
};

/// \return a loopback address on which the daemons' ports are free.
std::string daemon_ip(std::uint32_t number);

/// Waits until all daemons are ready.
bool wait_ready(const std::vector<front*>& daemons, double timeout_s);

}  // namespace review
