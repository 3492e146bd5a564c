// End-to-end tests over loopback of streams that are resumed while targets of
// several software versions serve one service.

#include <absl/strings/escaping.h>

#include <catch2/catch.hpp>

#include "serving-fixture.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

/// Time for all daemons to read a change of the list of targets.
constexpr auto list_time = 1500ms;

std::string text_of(const std::string& version, int first, int last) {
  auto out = std::string();
  for (auto n = first; n <= last; ++n)
    out += concat("id: ", n, "\ndata: ", version, ".", n, "\n\n");
  return out;
}

std::string whole_text_of(const std::string& version) {
  return text_of(version, 1, last_event);
}

/// Sends the whole stream, or the rest of a resumed one.
scripted_target::script serve(const std::string& version) {
  return [version](const std::string& head) {
    auto text = text_of(version, first_event(head), last_event);
    return scripted_answer{.bytes = stream_head(id_of(head)) +
                                    (text.empty() ? text : chunk(text)) +
                                    "0\r\n\r\n"};
  };
}

/// Breaks new streams off after two events, and goes on with resumed ones.
scripted_target::script break_off(const std::string& version) {
  return [version](const std::string& head) {
    if (first_event(head) > 1) return serve(version)(head);
    return scripted_answer{.bytes = stream_head(id_of(head)) +
                                    chunk(text_of(version, 1, 2) + "id: 3\nda"),
                           .close = true};
  };
}

/// Breaks off and goes on with nothing.
scripted_target::script break_off_always(const std::string& version) {
  return [version](const std::string& head) {
    if (first_event(head) > 1) return refuse_to_run(head);
    return break_off(version)(head);
  };
}

/// What a client received of a stream.
struct received {
  int status = 0;
  std::string text;
  bool whole = false;
};

received stream(fixture& it, std::vector<http_header> headers,
                std::chrono::milliseconds deadline = 500ms) {
  auto out = received();
  headers.push_back({"Host", "h"});
  headers.push_back({"Fulmarpitch-Deadline-Ms", concat(deadline.count())});
  auto call = start_call(
      it.loop,
      {.address = it.client_address,
       .request = {.method = "POST",
                   .target = "/again/1",
                   .headers = std::move(headers),
                   .body = "prompt"}},
      {.on_head = [&](const http_response& head) { out.status = head.status; },
       .on_data = [&](std::string_view piece) { out.text += piece; },
       .on_end =
           [&](const absl::Status& status) {
             out.whole = status.ok();
             it.loop.stop();
           }});
  it.loop.run();
  return out;
}

received begin(fixture& it, const std::string& id,
               std::chrono::milliseconds deadline = 500ms) {
  return stream(it, {{"Fulmarpitch-Attempt-Id", id}}, deadline);
}

received resume(fixture& it, const std::string& id, const std::string& first,
                int last = 2) {
  return stream(it, {{"Fulmarpitch-Attempt-Id", id},
                     {"Resumes", first},
                     {"Last-Event-Id", concat(last)}});
}

/// Sends requests to another daemon from now on.
void use_daemon(fixture& it, const std::string& ip) {
  it.client_address = concat(ip, ":", it.ports.client);
  it.until([&] {
    auto answer = it.get("/none/");
    return answer.ok() && answer->status == 404;
  });
}

/// Starts a daemon that knows nothing of before. It lives as long as the
/// process, like its fixture.
void start_new(fixture& it) {
  static auto* all = new std::deque<std::unique_ptr<serving::serving_daemon>>();
  all->push_back(it.start_daemon("vm-3", "127.0.0.3", it.store.address()));
  use_daemon(it, "127.0.0.3");
  it.run_for(100ms);
}

bool is_not_run(const received& it) {
  return it.status == 503;
}

}  // namespace

TEST_CASE("a broken stream goes on at its own version only") {
  auto& it = make_fixture();
  for (const auto* version : {"v1", "v1", "v2", "v2"})
    it.add_target(break_off(version), version);
  it.start();
  for (auto n = 0; n < 2; ++n) {
    auto answer = begin(it, concat("a", n));
    CHECK(answer.whole);
    CHECK((answer.text == whole_text_of("v1") ||
           answer.text == whole_text_of("v2")));
  }
  auto resumed = 0;
  for (const auto& target : it.targets) {
    for (const auto& head : target.heads)
      resumed += first_event(head) > 1 ? 1 : 0;
  }
  CHECK(resumed == 2);
}

TEST_CASE("a broken stream ends at once if its version has no target left") {
  const auto* other = GENERATE("v2", "");
  auto& it = make_fixture();
  it.add_target(
      [&it, other](const std::string& head) {
        it.store.remove("servers", "t1");
        it.list_target(2, 0, other);
        return scripted_answer{
            .bytes = stream_head(id_of(head)) + chunk(text_of("v1", 1, 2)),
            .close = true,
            .pause = list_time,
            .rest = chunk("id: 3\nda")};
      },
      "v1");
  it.add_target(serve("v2"));
  it.store.remove("servers", "t2");
  it.start();
  auto answer = begin(it, "a1", list_time + 1s);
  CHECK_FALSE(answer.whole);
  CHECK(answer.text == text_of("v1", 1, 2));
  CHECK(is_not_run(resume(it, "a2", "a1")));
}

TEST_CASE("any daemon goes on with a stream at the version that began it") {
  auto& it = make_fixture();
  it.add_target(break_off_always("v1"), "v1");
  it.add_target(break_off_always("v2"), "v2");
  it.start(true);
  auto first = std::vector<received>();
  for (auto n = 0; n < 2; ++n)
    first.push_back(begin(it, concat("a", n)));
  it.targets[0].answer = serve("v1");
  it.targets[1].answer = serve("v2");
  // Targets that broke off are avoided for a moment.
  it.run_for(1s);
  SECTION("the one that forwarded it") {}
  SECTION("another one") {
    use_daemon(it, "127.0.0.2");
  }
  SECTION("one that has just started") {
    start_new(it);
  }
  for (auto n = 0; n < 2; ++n) {
    REQUIRE_FALSE(first[n].whole);
    auto rest = resume(it, concat("b", n), concat("a", n));
    CHECK(rest.whole);
    auto text = first[n].text + rest.text;
    CHECK((text == whole_text_of("v1") || text == whole_text_of("v2")));
  }
}

TEST_CASE("a stream of an unknown version is refused at once") {
  auto& it = make_fixture();
  it.add_target(serve("v1"), "v1");
  it.add_target(serve("v2"), "v2");
  it.start();
  CHECK(is_not_run(resume(it, "b1", "not-known")));
  CHECK(is_not_run(
      stream(it, {{"Fulmarpitch-Attempt-Id", "b2"}, {"Last-Event-Id", "2"}})));
  CHECK(begin(it, "b3").whole);
}

TEST_CASE("a stream of an unknown version goes on if it can be but one") {
  const auto* version = GENERATE("", "v1");
  auto& it = make_fixture();
  it.add_target(serve("v1"), version);
  it.start();
  SECTION("the daemon has served for a while") {}
  SECTION("the daemon has just started") {
    start_new(it);
  }
  auto rest = resume(it, "b1", "not-known");
  CHECK(rest.whole);
  CHECK(rest.text == text_of("v1", 3, 4));
}

// The daemon is out of step: its list does not have the version yet that began
// the stream, and the stream's row was never written.
TEST_CASE("a stream does not go on where another version has just joined") {
  auto& it = make_fixture();
  it.add_target(serve("v1"), "v1");
  it.start();
  SECTION("its list of targets is read at intervals") {}
  SECTION("its question for changes is never answered") {
    it.proxy->set(soak::link_fault::silenced);
    it.run_for(1s);
    it.proxy->set(soak::link_fault::none);
  }
  it.add_target(serve("v2"), "v2");
  SECTION("it serves still") {}
  SECTION("it has left again") {
    it.store.remove("servers", "t2");
  }
  CHECK(is_not_run(resume(it, "b1", "not-known")));
  CHECK(begin(it, "b2").whole);
}

TEST_CASE("a daemon that has just started knows a version that has left") {
  auto& it = make_fixture();
  it.add_target(break_off_always("v1"), "v1");
  it.start();
  it.run_for(list_time);
  auto first = begin(it, "a1");
  REQUIRE_FALSE(first.whole);
  it.add_target(serve("v2"), "v2");
  it.store.remove("servers", "t1");
  it.run_for(list_time);
  start_new(it);
  CHECK(is_not_run(resume(it, "a2", "a1")));
  CHECK(begin(it, "a3").text == whole_text_of("v2"));
  SECTION("and that has come back") {
    it.targets[0].answer = serve("v1");
    it.list_target(1, 7, "v1");
    it.store.remove("servers", "t2");
    it.run_for(list_time);
    auto rest = resume(it, "a4", "a1");
    CHECK((is_not_run(rest) || rest.text == text_of("v1", 3, 4)));
    CHECK(is_not_run(resume(it, "a5", "a3", 3)));
  }
}

TEST_CASE("without the store a stream goes on where it is known") {
  auto& it = make_fixture();
  it.add_target(break_off_always("v1"), "v1");
  it.add_target(break_off_always("v2"), "v2");
  it.start(true);
  auto first = begin(it, "a1");
  REQUIRE_FALSE(first.whole);
  it.run_for(200ms);
  it.targets[0].answer = serve("v1");
  it.targets[1].answer = serve("v2");
  auto fault = GENERATE(store_fault::down, store_fault::busy,
                        store_fault::reset, store_fault::silent);
  it.store.set_fault(fault);
  it.run_for(2500ms);
  auto rest = resume(it, "b1", "a1");
  CHECK(rest.whole);
  auto text = first.text + rest.text;
  CHECK((text == whole_text_of("v1") || text == whole_text_of("v2")));
  use_daemon(it, "127.0.0.2");
  CHECK(is_not_run(resume(it, "b2", "a1")));
}

TEST_CASE("three versions serve one service") {
  auto& it = make_fixture();
  for (const auto* version : {"v1", "v2", "v3"})
    it.add_target(break_off(version), version);
  for (const auto* version : {"v1", "v2", "v3"})
    it.add_target(serve(version), version);
  it.start();
  for (auto n = 0; n < 9; ++n) {
    auto answer = begin(it, concat("a", n));
    if (!answer.whole)
      answer.text += resume(it, concat("b", n), concat("a", n)).text;
    CHECK((answer.text == whole_text_of("v1") ||
           answer.text == whole_text_of("v2") ||
           answer.text == whole_text_of("v3")));
  }
}

namespace {

/// Submits a job of one item and waits for its result.
/// \return the item's output; empty if it is not done.
std::string run_job(fixture& it, const std::function<void()>& meanwhile) {
  auto job = concat(
      R"({"requests":[{"id":"i1","path":"/jobs/1/i1","headers":{},"body":")",
      absl::Base64Escape("p"), R"(","tokens":10}]})");
  REQUIRE(it.post("/jobs/1", "j1", job)->status == 202);
  meanwhile();
  auto results = std::string();
  auto is_done = [&] {
    auto answer = it.get("/v1/lots/j1?after=0");
    if (answer.ok()) results = answer->body;
    return results.find("done") != std::string::npos;
  };
  it.until(is_done);
  it.until(is_done);
  return results;
}

std::string output_of(const std::string& version) {
  return concat(R"("output":")", version, ".1\\n", version, ".2\\n", version,
                ".3\\n", version, R"(.4")");
}

}  // namespace

TEST_CASE("an item goes on at its own version only") {
  auto& it = make_fixture();
  it.add_target(break_off("v1"), "v1");
  it.start();
  it.add_target(serve("v2"), "v2");
  it.run_for(list_time);
  auto results = run_job(it, [] {});
  auto is_v1 = results.find(output_of("v1")) != std::string::npos;
  auto is_v2 = results.find(output_of("v2")) != std::string::npos;
  CHECK((is_v1 || is_v2));
}

TEST_CASE("an item begins anew if its version has no target left") {
  auto& it = make_fixture();
  it.add_target(break_off_always("v1"), "v1");
  it.start();
  auto results = run_job(it, [&] {
    it.until([&] { return !it.targets[0].heads.empty(); });
    it.add_target(serve("v2"), "v2");
    it.store.remove("servers", "t1");
  });
  CHECK(results.find(output_of("v2")) != std::string::npos);
}

TEST_CASE("an item begins anew if no target of its version continues it") {
  auto& it = make_fixture();
  it.add_target(break_off_always("v1"), "v1");
  it.start();
  auto results = run_job(it, [&] {
    it.until([&] { return !it.targets[0].heads.empty(); });
    it.add_target(serve("v2"), "v2");
    it.targets[0].answer = [](const auto&) {
      return scripted_answer{.silent = true};
    };
  });
  CHECK(results.find(output_of("v2")) != std::string::npos);
}
