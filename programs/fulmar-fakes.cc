// Stand-ins for the systems around the daemons, for trials and tests.

#include <glog/logging.h>

#include <cstdio>
#include <memory>
#include <vector>

#include "fulmarpitch/core/settings.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/fakes/engine.h"
#include "fulmarpitch/stores/http-stores.h"
#include "fulmarpitch/stores/memory-stores.h"

namespace {

constexpr auto usage = R"(Stand-ins for the platform's stores and for targets.

Usage:
  fulmar-fakes [options]
  fulmar-fakes --help
  fulmar-fakes --version

Options:
  --platform-port PORT   Port of the table service and object store; 0 for none
                         [default: 18090].
  --engine-port PORT     Port of the first engine; 0 for none [default: 18100].
  --engines N            Engines on consecutive ports [default: 1].
  --first-token TIME     Time to an engine's first token [default: 20ms].
  --between-tokens TIME  Time between an engine's tokens [default: 5ms].
  --poison TEXT          A prompt with this text ends the engine.
  --fail-per-mille N     Store calls that fail before they take effect
                         [default: 0].
  --lose-per-mille N     Store calls whose reply is lost after they took effect
                         [default: 0].
  --store-delay TIME     Most time that a store call takes each way
                         [default: 0ms].
  --fault-seed N         Seed of the injected faults [default: 1].
  --help                 Show this text.
  --version              Show the version.
)";

constexpr std::int64_t most_port = 65'535;
constexpr auto deliver_period = std::chrono::milliseconds(1);

using engine_list = std::vector<std::unique_ptr<fulmar::fake_engine>>;

int fail(const absl::Status& status) {
  std::fprintf(stderr, "fulmar-fakes: %s\n",
               std::string(status.message()).c_str());
  return 1;
}

fulmar::store_fault_plan read_plan(fulmar::settings& from) {
  using namespace std::chrono_literals;
  auto out = fulmar::store_fault_plan();
  out.seed =
      static_cast<std::uint64_t>(from.number("--fault-seed", 0, 1'000'000'000));
  out.fail_before_per_mille =
      static_cast<std::uint32_t>(from.number("--fail-per-mille", 0, 1000));
  out.lose_reply_per_mille =
      static_cast<std::uint32_t>(from.number("--lose-per-mille", 0, 1000));
  out.most_delay = from.duration("--store-delay", 0s, 1min);
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace std::chrono_literals;
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  auto values = fulmar::settings::parse(usage, {argv + 1, argv + argc});
  auto plan = read_plan(values);
  auto platform_port = values.number("--platform-port", 0, most_port);
  auto engine_port = values.number("--engine-port", 0, most_port);
  auto engines_wanted = values.number("--engines", 0, 100);
  auto engine = fulmar::fake_engine_options{
      .first_token_after = values.duration("--first-token", 0s, 1min),
      .between_tokens = values.duration("--between-tokens", 0s, 1min),
      .poison = values.text("--poison")};
  if (!values.errors().empty()) return fulmar::report_errors(values);

  auto loop = fulmar::event_loop();
  auto data = fulmar::make_memory_stores(plan);
  auto table = fulmar::make_table_store(data);
  auto objects = fulmar::make_object_store(data);
  auto stores =
      fulmar::http_server(loop,
                          {.port = static_cast<std::uint16_t>(platform_port),
                           .max_body_bytes = std::size_t{64} * 1024 * 1024},
                          [&](const auto& it) {
                            fulmar::serve_stores(table, objects, it);
                            fulmar::deliver(*data, fulmar::event_loop::now());
                          });
  if (platform_port != 0) {
    if (auto status = stores.start(); !status.ok()) return fail(status);
  }
  loop.every(deliver_period,
             [&] { fulmar::deliver(*data, fulmar::event_loop::now()); });
  auto engines = engine_list();
  for (auto i = 0; engine_port != 0 && i < engines_wanted; ++i) {
    engine.port = static_cast<std::uint16_t>(engine_port + i);
    engines.push_back(std::make_unique<fulmar::fake_engine>(loop, engine));
    if (auto status = engines.back()->start(); !status.ok()) {
      return fail(status);
    }
  }
  loop.on_termination([&] { loop.stop(); });
  LOG(INFO) << "stores on port " << platform_port << ", " << engines.size()
            << " engines from port " << engine_port;
  loop.run();
  return 0;
}
