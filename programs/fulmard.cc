// The daemon that runs on every entry VM.

#include <glog/logging.h>

#include <cstdio>
#include <memory>

#include "fulmarpitch/config/configuration.h"
#include "fulmarpitch/core/settings.h"
#include "fulmarpitch/daemon/daemon.h"
#include "fulmarpitch/daemon/logging.h"
#include "fulmarpitch/fakes/engine.h"
#include "fulmarpitch/stores/http-stores.h"
#include "fulmarpitch/stores/memory-stores.h"

namespace {

constexpr auto usage = R"(The fulmarpitch daemon; one runs on each entry VM.

Usage:
  fulmard [options] [--seed ADDRESS]... [--remote-seed ADDRESS]...
  fulmard --help
  fulmard --version

Every flag may be given as an environment variable too: --data-centre as
FULMAR_DATA_CENTRE.

Options:
  --vm NAME              Name of this VM [default: vm].
  --data-centre NAME     Data centre of this VM [default: local-1].
  --region NAME          Region of this VM [default: local].
  --host IP              Address to listen on [default: 127.0.0.1].
  --caller-port PORT     Port for callers [default: 8080].
  --operator-port PORT   Port for operators [default: 8081].
  --peer-port PORT       Port for other daemons, TCP and UDP [default: 8082].
  --secret TEXT          Secret that all daemons share.
  --platform ADDRESS     Host and port of the platform's stores
                         [default: 127.0.0.1:18090].
  --seed ADDRESS         Peer address of a daemon in this data centre.
  --remote-seed ADDRESS  Peer address of a daemon in another data centre.
  --operator-key-hash H  SHA-256 of an operator's key that counts until the
                         first ticket is in force.
  --shutdown-limit TIME  Longest wait for open requests [default: 90s].
  --unready-wait TIME    Time for the balancer to notice the end [default: 1s].
  --embedded             Run the platform and one engine stand-in inside, for a
                         first look; nothing is kept.
  --engine-port PORT     Port of the embedded engine [default: 18100].
  --log-level N          Least severe level that is logged: 0 info, 1 warning,
                         2 error [default: 0].
  --log-format NAME      Form of log lines: text or json [default: text].
  --help                 Show this text.
  --version              Show the version.
)";

constexpr std::int64_t most_port = 65'535;

struct command_line {
  fulmar::daemon_options daemon;
  std::string platform;
  bool embedded = false;
  std::uint16_t engine_port = 0;
  fulmar::log_format log_format = fulmar::log_format::text;
};

std::uint16_t port_of(fulmar::settings& from, const std::string& flag) {
  return static_cast<std::uint16_t>(from.number(flag, 0, most_port));
}

command_line read(fulmar::settings& from) {
  using namespace std::chrono_literals;
  auto out = command_line();
  auto& it = out.daemon;
  it.vm = from.required("--vm");
  it.data_centre = from.required("--data-centre");
  it.region = from.required("--region");
  it.host = from.required("--host");
  it.caller_port = port_of(from, "--caller-port");
  it.operator_port = port_of(from, "--operator-port");
  it.peer_port = port_of(from, "--peer-port");
  it.seeds = from.list("--seed");
  it.remote_seeds = from.list("--remote-seed");
  it.shutdown_limit = from.duration("--shutdown-limit", 1s, 1h);
  it.unready_wait = from.duration("--unready-wait", 0s, 5min);
  if (auto hash = from.text("--operator-key-hash"); !hash.empty()) {
    it.first_key_hashes.push_back(hash);
  }
  out.embedded = from.has("--embedded");
  it.secret = out.embedded && from.text("--secret").empty()
                  ? "embedded"
                  : from.required("--secret");
  out.platform = from.address("--platform");
  out.engine_port = port_of(from, "--engine-port");
  out.log_format = from.choice("--log-format", fulmar::log_format_names);
  FLAGS_minloglevel = static_cast<int>(from.number("--log-level", 0, 2));
  return out;
}

fulmar::platform_stores make_stores(fulmar::event_loop& loop,
                                    const command_line& from) {
  if (from.embedded) {
    auto data = fulmar::make_memory_stores({.synchronous = true});
    return {.table = fulmar::make_table_store(data),
            .objects = fulmar::make_object_store(data)};
  }
  auto options = fulmar::http_stores_options{.address = from.platform};
  return {.table = fulmar::make_http_table_store(loop, options),
          .objects = fulmar::make_http_object_store(loop, options)};
}

int fail(const absl::Status& status) {
  std::fprintf(stderr, "fulmard: %s\n", std::string(status.message()).c_str());
  return 1;
}

int run(command_line from) {
  auto log = fulmar::logging({.program = "fulmard", .format = from.log_format});
  auto loop = fulmar::event_loop();
  auto engine = std::unique_ptr<fulmar::fake_engine>();
  if (from.embedded) {
    engine = std::make_unique<fulmar::fake_engine>(
        loop, fulmar::fake_engine_options{.port = from.engine_port});
    if (auto status = engine->start(); !status.ok()) return fail(status);
  }
  from.daemon.stores = make_stores(loop, from);
  auto daemon = fulmar::entry_daemon(loop, std::move(from.daemon));
  if (auto status = daemon.start(); !status.ok()) return fail(status);
  auto clean = false;
  loop.on_termination([&] {
    LOG(INFO) << "shutting down";
    daemon.shut_down([&](bool ended) {
      clean = ended;
      loop.stop();
    });
  });
  loop.run();
  LOG(INFO) << (clean ? "ended" : "ended with work left over");
  return clean ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  auto values = fulmar::settings::parse(usage, {argv + 1, argv + argc});
  auto from = read(values);
  if (!values.errors().empty()) return fulmar::report_errors(values);
  return run(std::move(from));
}
