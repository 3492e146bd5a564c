#pragma once

/// \file
/// The surroundings of real daemons in a review case: the store, runners,
/// clients, and the record of what each of them saw.

#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fulmarpitch/fakes/platform-store.h"
#include "fulmarpitch/net/coroutine.h"
#include "fulmarpitch/net/http.h"
#include "fulmarpitch/net/link-pool.h"
#include "fulmarpitch/soak/child.h"

namespace review {

using fulmar::instant;
using fulmar::task;

/// Bounds of the small deployment, as its sheet states them.
constexpr auto heartbeat = std::chrono::milliseconds(1200);
constexpr auto finish_time = std::chrono::seconds(18);

struct runner_options {
  std::string id;
  std::string service;
  std::string zone = "erie-toledo";
  std::uint32_t slots = 8;
  std::uint32_t events = 50;
  instant event_time = std::chrono::milliseconds(20);
  /// Version of the software, which each event names.
  std::string version = "v1";
  /// Version of the weights.
  int weights = 1;
  /// Prompt tokens read in a millisecond; 0 for no time at all.
  double prefill_per_ms = 0;
};

class stage;

/// A part of a prompt.
struct prompt_part {
  std::string id;
  double tokens = 0;
};

/// A sound runner: streams numbered events, resumes, refuses when full.
class runner : public std::enable_shared_from_this<runner> {
 public:
  runner(stage& on, runner_options options);

  void start();
  /// Ends for good: connections close, and nothing listens any more.
  void crash();

  /// Ends, and starts again under the same id, at the same address, with
  /// another version of the software.
  void restart(instant down, std::string version);
  const runner_options& options() const { return options_; }
  std::string address() const;
  std::uint32_t running() const { return running_; }
  /// \return how long a request has run here; 0 if it doesn't.
  instant has_for(const std::string& id) const;

 private:
  struct run {
    std::shared_ptr<fulmar::http_exchange> client;
    std::string id;
    std::string target;
    std::vector<prompt_part> parts;
    instant began{};
    bool reads = false;
    bool gone = false;
  };

  void listen(std::uint16_t port);
  /// Ends all that runs, and listens no more.
  void stop(std::string_view how);
  void take(const std::shared_ptr<fulmar::http_exchange>& client);
  /// \return how many tokens of a prompt are not kept here.
  double unread_tokens(const std::vector<prompt_part>& parts) const;
  /// Keeps what was read of a prompt until now.
  void keep_read(const run& it);
  void begin(const std::shared_ptr<run>& it, std::uint32_t event);
  void step(const std::shared_ptr<run>& it, std::uint32_t event);
  void end(run& it, std::string_view how);
  void renew();
  void put_entry();

  stage& stage_;
  runner_options options_;
  std::unique_ptr<fulmar::http_server> server_;
  std::list<std::weak_ptr<run>> runs_;
  /// Tokens that are kept of each part.
  std::map<std::string, double> kept_;
  std::uint32_t running_ = 0;
  std::uint32_t sequence_ = 0;
  std::uint64_t born_ = 1'780'000'000'000;
  bool down_ = false;
  bool ended_ = false;
};

/// The data of a request's event.
std::string event_data(const std::string& id, std::uint32_t event,
                       const std::string& version);

struct call_result {
  bool complete = false;
  int status = 0;
  std::string body;
};

struct outgoing {
  std::string method = "GET";
  std::string target;
  std::string id;
  std::string body;
  std::string headers;
};

/// Carries a daemon's connections to the store, whose answers take 4 ms.
class store_path : public std::enable_shared_from_this<store_path> {
 public:
  store_path(fulmar::event_loop& loop, std::string store);

  void start();
  std::string address() const;
  /// Open connections carry nothing any more, and are not reset; new ones work.
  /// \return how many there are.
  std::size_t silence();

 private:
  struct carried;

  task<void> accept();
  task<void> carry(std::shared_ptr<carried> it);
  task<void> pump(std::shared_ptr<carried> it, bool outward);

  fulmar::asio::io_context& io_;
  fulmar::tcp::acceptor acceptor_;
  std::string store_;
  std::list<std::weak_ptr<carried>> open_;
};

struct daemon {
  std::string name;
  std::string ip;
  /// Carries its connections to the store.
  std::shared_ptr<store_path> store;
  std::unique_ptr<fulmar::soak::child> process;
};

class stage {
 public:
  /// \param folder the case's folder, for the record.
  explicit stage(std::string folder);
  ~stage();

  fulmar::event_loop& loop() { return loop_; }
  fulmar::platform_store_fake& store() { return store_; }
  std::deque<daemon>& daemons() { return daemons_; }

  /// Writes a line of the record.
  void note(const std::string& text);

  void put_configuration(const std::string& text);
  std::shared_ptr<runner> add_runner(runner_options options);
  /// Starts daemons of one data centre with the deploy file's command. Before
  /// any runner listens, or the daemons would inherit its socket.
  void start_daemons(std::size_t count);
  /// Waits until all are ready.
  /// \return false when one is not after 15 s.
  task<bool> wait_until_ready();

  /// Calls the front address of a daemon on a new connection.
  task<call_result> call(std::size_t daemon, outgoing request);

  /// Runs a case to its end.
  /// \return the exit code.
  int run(task<int> work);

  /// When the last item was finished at a runner.
  instant last_finished{};
  /// When a runner last had each request.
  std::map<std::string, instant> last_had;
  /// Ids of the requests that a runner began to run, and when it last did.
  std::map<std::string, instant> ran;
  /// Requests that a runner finished.
  std::set<std::string> finished;

 private:
  std::string folder_;
  std::string temporary_;
  std::ofstream record_;
  fulmar::event_loop loop_;
  fulmar::platform_store_fake store_;
  std::deque<std::shared_ptr<runner>> runners_;
  std::deque<daemon> daemons_;
  instant began_;
};

}  // namespace review
