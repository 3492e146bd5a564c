// End-to-end tests over loopback of batch work for targets in a data centre
// whose daemons send no summaries: none was ever there, or all are lost.

#include <catch2/catch.hpp>

#include "fulmarpitch/net/coroutine.h"
#include "fulmarpitch/serving/report-wire.h"
#include "job-calls.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

/// Longer than a data centre counts as unreported, and than a load is believed.
constexpr auto settle_time = 9500ms;

/// Answers the question for the load, and requests by running them.
struct loaded_target {
  std::string load;
  /// Sends the first event, and then comments only.
  bool stops = false;
  int asked = 0;
  int runs = 0;
  int most = 0;
  std::vector<instant> started;

  scripted_answer operator()(const std::string& head) {
    if (head.starts_with("GET /v1/report ")) {
      ++asked;
      if (load.empty()) {
        return {.bytes = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"};
      }
      return {.bytes = concat("HTTP/1.1 200 OK\r\nContent-Length: ",
                              load.size(), "\r\n\r\n", load)};
    }
    ++runs;
    auto out = whole(head);
    out.delay = 300ms;
    if (stops) {
      out = {.bytes = stream_head(id_of(head)) + chunk(event(1)),
             .endless = chunk(": wait\n\n"),
             .endless_interval = 100ms};
    }
    note_start();
    return out;
  }

  /// Counts the requests that began within the time that one takes.
  void note_start() {
    started.push_back(event_loop::steady());
    auto recent = 0;
    for (auto it : started)
      recent += started.back() - it < 300ms ? 1 : 0;
    most = std::max(most, recent);
  }
};

/// Adds a target in a data centre that has no daemon.
std::shared_ptr<loaded_target> add_far_target(fixture& it,
                                              const std::string& load) {
  auto out = std::make_shared<loaded_target>();
  out->load = load;
  it.add_target([out](const auto& head) { return (*out)(head); });
  it.store.put("servers", concat("t", it.targets.size()),
               concat(R"({"service":"s","zone":"far","slots":8,)",
                      R"("state":"ready","addr":")",
                      it.targets.back().address(), R"("})"));
  return out;
}

}  // namespace

TEST_CASE("items run in a data centre that has no daemon") {
  auto& it = make_fixture();
  auto target = add_far_target(it, R"({"running":0,"waiting":0})");
  it.start();
  REQUIRE(it.post("/jobs/1", "j1", job_body(10, "prompt", 6))->status == 202);
  it.run_for(settle_time);
  it.until([&] { return listed(it, "j1") == 6; });
  CHECK(listed(it, "j1") == 6);
  CHECK(target->asked > 0);
}

TEST_CASE("a target that states no load gets few items of other data centres") {
  auto& it = make_fixture();
  auto target = add_far_target(it, "");
  it.start();
  REQUIRE(it.post("/jobs/1", "j1", job_body(10, "prompt", 6))->status == 202);
  it.run_for(settle_time);
  it.until([&] { return listed(it, "j1") == 6; });
  CHECK(listed(it, "j1") == 6);
  CHECK(target->most <= 2);
}

TEST_CASE("a target that states requests of daemons unheard gets no items") {
  auto& it = make_fixture();
  auto target = add_far_target(it, R"({"running":8,"waiting":1})");
  it.start();
  REQUIRE(it.post("/jobs/1", "j1", job_body(10, "prompt", 4))->status == 202);
  it.run_for(settle_time);
  CHECK(target->asked > 0);
  CHECK(target->runs == 0);
  target->load = R"({"running":0,"waiting":0})";
  it.until([&] { return listed(it, "j1") == 4; });
  CHECK(listed(it, "j1") == 4);
}

namespace {

/// \return the items that the daemon preempted.
int preemptions(fixture& it) {
  constexpr auto name = std::string_view("preemptions_total ");
  auto clients =
      std::exchange(it.client_address, concat("127.0.0.1:", it.ports.metrics));
  auto answer = it.get("/metrics");
  it.client_address = clients;
  auto at = answer.ok() ? answer->body.rfind(name) : std::string::npos;
  return at == std::string::npos
             ? 0
             : std::atoi(answer->body.c_str() + at + name.size());
}

}  // namespace

// They were placed while the data centre was idle; others' requests come later.
TEST_CASE("items give way to requests of daemons unheard") {
  auto& it = make_fixture();
  auto target = add_far_target(it, R"({"running":0,"waiting":0})");
  target->stops = true;
  it.start();
  REQUIRE(it.post("/jobs/1", "j1", job_body(10, "prompt", 4))->status == 202);
  it.run_for(settle_time);
  it.until([&] { return target->runs >= 4; });
  REQUIRE(target->runs >= 4);
  target->load = R"({"running":8,"waiting":2})";
  it.until([&] { return preemptions(it) >= 2; });
  CHECK(preemptions(it) >= 2);
}

namespace {

/// Sends the summaries of a data centre whose daemons are idle.
struct summary_sender {
  udp::socket socket;
  udp::endpoint to;
  std::uint64_t sequence = 0;
  bool silent = false;
  /// The summary names this many members.
  int members = 0;

  void send() {
    if (silent) return;
    auto summary = serving::load_summary{
        .data_centre = "far", .gatherer = 1, .sequence = ++sequence};
    for (auto n = 1; n <= members; ++n) {
      auto ip = concat("127.0.9.", n);
      summary.members.push_back({.name = ip, .incarnation = 1, .address = ip});
    }
    auto bytes = serving::encode_summary({.sender_data_centre = "far",
                                          .sender_address = "127.0.0.9",
                                          .summary = std::move(summary)});
    socket.send_to(asio::buffer(bytes), to);
  }
};

std::shared_ptr<summary_sender> send_summaries(fixture& it) {
  auto address = asio::ip::make_address("127.0.0.1");
  auto out = std::make_shared<summary_sender>(
      summary_sender{.socket = udp::socket(io_of(it.loop), udp::v4()),
                     .to = {address, it.ports.peer}});
  it.loop.every(100ms, [out] { out->send(); });
  return out;
}

}  // namespace

// Its daemons may be cut off from this one and not hear of its items.
TEST_CASE("items give way once their data centre has fallen silent") {
  auto& it = make_fixture();
  auto target = add_far_target(it, R"({"running":0,"waiting":0})");
  target->stops = true;
  it.start();
  auto far = send_summaries(it);
  REQUIRE(it.post("/jobs/1", "j1", job_body(10, "prompt", 4))->status == 202);
  it.until([&] { return target->runs >= 4; });
  REQUIRE(target->runs >= 4);
  CHECK(target->asked == 0);
  far->silent = true;
  target->load = R"({"running":8,"waiting":2})";
  it.until([&] { return preemptions(it) >= 2; });
  CHECK(preemptions(it) >= 2);
}

// The table of addresses grew while its rows were being chosen.
TEST_CASE("a summary that names many new members is answered") {
  auto& it = make_fixture();
  it.add_target(whole);
  it.start();
  auto far = send_summaries(it);
  for (far->members = 4; far->members < 200; far->members *= 2)
    it.run_for(1200ms);
  auto answer = it.post("/once/1", "a1");
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_text());
}
