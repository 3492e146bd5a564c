#include "fulmarpitch/control/commands.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "fulmarpitch/config/operator-api.h"
#include "fulmarpitch/control/rendering.h"
#include "fulmarpitch/core/errors.h"
#include "sample-declarations.h"

namespace fulmar {
namespace {

namespace fs = std::filesystem;

/// fulmarctl over a daemon's handlers, without sockets.
struct bench {
  std::shared_ptr<memory_stores> state =
      make_memory_stores({.synchronous = true});
  config_stores stores = stores_over(state);
  config_watcher watcher{{.vm = "vm0"}, {.stores = stores}};
  instant now{};
  std::string out;
  std::string err;
  std::uint32_t lost_replies = 0;
  /// Whether each command's change comes into force before the next.
  bool settles = true;
  std::vector<http_request> to_callers;
  std::vector<http_response> from_callers;
  fs::path folder;

  explicit bench(const std::string& name)
      : folder(fs::temp_directory_path() / ("fulmar-control-test-" + name)) {
    fs::remove_all(folder);
    write("a", sample_declarations());
  }
  ~bench() { fs::remove_all(folder); }
  bench(const bench&) = delete;
  bench& operator=(const bench&) = delete;

  std::string path(const std::string& name) const {
    return (folder / name).string();
  }

  void write(const std::string& name, const configuration& value) const {
    fs::create_directories(folder / name);
    for (const auto& it : to_declarations(value)) {
      std::ofstream(folder / name / it.name) << it.text;
    }
  }

  operator_api api() {
    return {.stores = stores,
            .in_force = [this] { return watcher.in_force(); },
            .snapshot = [this] { return watcher.snapshot_bytes(); },
            .vms = [this] { return std::vector{watcher.status(now)}; },
            .first_key_hashes = {sha256_hex("key-o")}};
  }

  absl::StatusOr<http_response> call(control_port port,
                                     const http_request& request) {
    if (port == control_port::callers) {
      to_callers.push_back(request);
      auto answer = from_callers.front();
      from_callers.erase(from_callers.begin());
      return answer;
    }
    auto answer = http_response();
    answer_operator(api(), request, now, [&](auto it) { answer = it; });
    if (lost_replies == 0) return answer;
    --lost_replies;
    return make_error(error_code::attempt_failed, "reply lost",
                      outcome::unknown);
  }

  void settle() {
    now += std::chrono::seconds(10);
    watcher.tick(now);
  }

  exit_status run(std::vector<std::string> args) {
    out.clear();
    err.clear();
    args.insert(args.end(), {"--key", "key-o"});
    auto values = settings::parse(std::string(control_usage()), args,
                                  [](auto) { return std::nullopt; });
    const auto result = run_control(
        values,
        {
            .call = [this](auto port,
                           const auto& request) { return call(port, request); },
            .pause = [](instant) {},
            .print = [this](auto it) { out += it; },
            .warn = [this](auto it) { err += it; },
            .is_terminal = true,
        });
    if (settles) settle();
    return result;
  }
};

configuration with_weight(std::size_t caller, std::uint32_t weight) {
  auto value = sample_declarations();
  value.callers[caller].weight = weight;
  return value;
}

TEST_CASE("declarations are checked, planned, applied and exported") {
  auto it = bench("apply");
  CHECK(it.run({"check", it.path("a")}) == exit_status::ok);
  CHECK(it.run({"plan", it.path("a")}) == exit_status::ok);
  CHECK_THAT(it.out, Catch::Matchers::Contains("+ caller/c0"));
  CHECK(it.run({"apply", it.path("a"), "--ticket", "1"}) == exit_status::ok);
  CHECK_THAT(it.out, Catch::Matchers::Contains("version 1"));

  it.write("a", with_weight(0, 7));
  CHECK(it.run({"plan", it.path("a")}) == exit_status::ok);
  CHECK_THAT(it.out, Catch::Matchers::Contains("weight: 1 -> 7"));
  CHECK(it.run({"apply", it.path("a"), "--ticket", "2"}) == exit_status::ok);

  CHECK(it.run({"export", it.path("b")}) == exit_status::ok);
  CHECK(it.run({"apply", it.path("b"), "--ticket", "3"}) == exit_status::ok);
  CHECK(it.out == "nothing to change\n");
  CHECK(it.run({"export", it.path("b")}) == exit_status::refused);
  CHECK(it.run({"tickets"}) == exit_status::ok);
  CHECK_THAT(it.out, Catch::Matchers::Contains("operator"));
  CHECK(it.run({"tickets", "9"}) == exit_status::not_found);
  CHECK(it.run({"state"}) == exit_status::ok);
  CHECK_THAT(it.out, Catch::Matchers::Contains("vm0"));
}

TEST_CASE("two folders that change the same object: the later is refused") {
  auto it = bench("race");
  it.run({"apply", it.path("a"), "--ticket", "1"});
  it.run({"export", it.path("b")});
  it.write("a", with_weight(0, 7));
  it.write("b", with_weight(0, 8));
  CHECK(it.run({"apply", it.path("a"), "--ticket", "2"}) == exit_status::ok);
  CHECK(it.run({"apply", it.path("b"), "--ticket", "3"}) ==
        exit_status::conflict);
  CHECK_THAT(it.err, Catch::Matchers::Contains("caller/c0"));
}

TEST_CASE("a folder leaves alone what others changed elsewhere") {
  auto it = bench("separate");
  it.run({"apply", it.path("a"), "--ticket", "1"});
  it.run({"export", it.path("b")});
  it.write("a", with_weight(0, 7));
  it.write("b", with_weight(1, 8));
  CHECK(it.run({"apply", it.path("a"), "--ticket", "2"}) == exit_status::ok);
  CHECK(it.run({"apply", it.path("b"), "--ticket", "3"}) == exit_status::ok);
  CHECK(it.watcher.in_force()->callers[0].weight == 7);
  CHECK(it.watcher.in_force()->callers[1].weight == 8);
}

TEST_CASE("a folder without a base removes nothing unless told to") {
  auto it = bench("removal");
  it.run({"apply", it.path("a"), "--ticket", "1"});
  it.write("c", sample_declarations(2));
  CHECK(it.run({"apply", it.path("c"), "--ticket", "2"}) ==
        exit_status::refused);
  CHECK_THAT(it.err, Catch::Matchers::Contains("- caller/c3"));
  CHECK(it.run({"apply", it.path("c"), "--ticket", "2", "--remove"}) ==
        exit_status::ok);
  CHECK(it.watcher.in_force()->callers.size() == 2);
}

TEST_CASE("a lost reply is settled by sending the ticket again") {
  auto it = bench("lost");
  it.run({"apply", it.path("a"), "--ticket", "1"});
  it.write("a", with_weight(0, 7));
  it.lost_replies = 2;
  CHECK(it.run({"apply", it.path("a"), "--ticket", "2"}) == exit_status::ok);
  CHECK_THAT(it.out, Catch::Matchers::Contains("already_accepted, version 2"));
  // More losses than sends: the outcome is unknown, and the same command ends
  // it.
  it.write("a", with_weight(0, 9));
  it.lost_replies = 5;
  CHECK(it.run({"apply", it.path("a"), "--ticket", "3"}) ==
        exit_status::unavailable);
  CHECK(it.run({"apply", it.path("a"), "--ticket", "3"}) == exit_status::ok);
  CHECK(it.watcher.in_force()->version == 3);
}

TEST_CASE("a target is drained by a ticket") {
  auto it = bench("drain");
  auto value = sample_declarations();
  value.targets = {{.name = "t",
                    .address = "127.0.0.1:9",
                    .region = "r",
                    .data_centre = "d",
                    .models = {"m"}}};
  it.write("a", value);
  it.run({"apply", it.path("a"), "--ticket", "1"});
  CHECK(it.run({"target", "drain", "t", "--ticket", "2"}) == exit_status::ok);
  CHECK(targets_for(*it.watcher.in_force()).at(0).leaving);
  CHECK(it.run({"targets"}) == exit_status::ok);
  CHECK_THAT(it.out, Catch::Matchers::Contains("127.0.0.1:9"));
  CHECK(it.run({"target", "drain", "x", "--ticket", "3"}) ==
        exit_status::not_found);
  // Before the VM has the first change in force.
  it.settles = false;
  CHECK(it.run({"target", "undrain", "t", "--ticket", "3"}) == exit_status::ok);
  CHECK(it.run({"target", "drain", "t", "--ticket", "4"}) == exit_status::ok);
  CHECK_THAT(it.out, Catch::Matchers::Contains("version 4"));
  CHECK(it.run({"target", "undrain", "t", "--ticket", "5"}) == exit_status::ok);
  CHECK_THAT(it.out, Catch::Matchers::Contains("version 5"));
  it.settle();
  CHECK_FALSE(targets_for(*it.watcher.in_force()).at(0).leaving);
}

TEST_CASE("wrong command lines and keys have their own exit codes") {
  auto it = bench("codes");
  CHECK(it.run({"bogus"}) == exit_status::usage);
  CHECK(it.run({"apply", it.path("a")}) == exit_status::usage);
  CHECK(it.run({"apply", it.path("a"), "--ticket", "x"}) == exit_status::usage);
  CHECK(it.run({"check", it.path("none")}) == exit_status::refused);
  auto wrong = sample_declarations();
  wrong.callers[0].class_name = "gone";
  it.write("a", wrong);
  CHECK(it.run({"check", it.path("a"), "--json"}) == exit_status::refused);
  CHECK_THAT(it.out, Catch::Matchers::Contains("dangling_reference"));
  it.write("a", sample_declarations());
  it.run({"apply", it.path("a"), "--ticket", "1"});
  auto other = sample_declarations();
  other.operators[0].key_hashes = {sha256_hex("another")};
  it.write("a", other);
  CHECK(it.run({"apply", it.path("a"), "--ticket", "2"}) == exit_status::ok);
  CHECK(it.run({"state"}) == exit_status::unauthorized);
}

TEST_CASE("an upload makes a job and waits for its end") {
  auto it = bench("upload");
  std::ofstream(it.folder / "x.jsonl") << "{}\n";
  it.from_callers = {{200, {}, R"({"id": "file-1"})"},
                     {200, {}, R"({"id": "job-1", "status": "open"})"},
                     {200, {}, R"({"id": "job-1", "status": "open",
                    "request_counts": {"total": 4, "completed": 1}})"},
                     {200, {}, R"({"id": "job-1", "status": "completed",
                    "request_counts": {"total": 4, "completed": 4}})"}};
  CHECK(it.run({"upload", it.path("x.jsonl"), "--wait"}) == exit_status::ok);
  REQUIRE(it.to_callers.size() == 4);
  CHECK(it.to_callers[0].target == "/v1/files?name=x.jsonl");
  CHECK_THAT(it.to_callers[1].body, Catch::Matchers::Contains("file-1"));
  CHECK(it.to_callers[2].target == "/v1/batches/job-1");
  CHECK_THAT(it.err, Catch::Matchers::Contains("25% 1/4"));
  CHECK_THAT(it.out, Catch::Matchers::Contains("status: completed"));
  it.from_callers = {{404, {}, R"({"error": {"message": "no such job"}})"}};
  CHECK(it.run({"job", "cancel", "j"}) == exit_status::not_found);
  CHECK(it.to_callers.back().target == "/v1/batches/j/cancel");
}

}  // namespace
}  // namespace fulmar
