// End-to-end tests of a daemon with fakes of the store and of targets, over
// loopback.

#include "fulmarpitch/serving/daemon.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "fulmarpitch/core/errors.h"
#include "job-calls.h"
#include "serving-fixture.h"

using namespace fulmar;
using namespace fulmar::serving_test;

TEST_CASE("a stream is forwarded byte for byte") {
  auto& it = make_fixture();
  auto& target = it.add_target(whole);
  it.start();
  auto answer = it.post("/once/1?q=2", "a1");
  REQUIRE(answer.ok());
  CHECK(answer->status == 200);
  CHECK(answer->body == whole_text());
  CHECK(find_header(answer->headers, "Fulmarpitch-Server-Stamp") == "stamp");
  REQUIRE(target.heads.size() == 1);
  const auto& head = target.heads.front();
  CHECK(head.starts_with("POST /once/1?q=2 HTTP/1.1\r\n"));
  CHECK(head.find("Fulmarpitch-Expect-Instance: t1\r\n") != std::string::npos);
  CHECK(head.find("X-Kept: 1\r\n") != std::string::npos);
  CHECK(head.find("X-Private") == std::string::npos);
  CHECK(head.find("Content-Length: 6\r\n") != std::string::npos);
}

TEST_CASE("an at-most-once request is not retried after a faulty response") {
  struct fault_case {
    const char* name;
    scripted_target::script answer;
    int status;
  };
  auto it = GENERATE(values<fault_case>(
      {{"closes without an answer",
        [](const auto&) { return scripted_answer{.close = true}; }, 502},
       {"sends bytes that are no answer",
        [](const auto&) {
          return scripted_answer{.bytes = "\x01garbage\r\n\r\n", .close = true};
        },
        502},
       {"breaks off in the head",
        [](const auto&) {
          return scripted_answer{.bytes = "HTTP/1.1 200 O", .close = true};
        },
        502},
       {"answers without its signature",
        [](const auto& head) {
          return scripted_answer{
              .bytes = concat("HTTP/1.1 200 OK\r\n"
                              "Fulmarpitch-Attempt-Id: ",
                              id_of(head), "\r\nContent-Length: 2\r\n\r\nok")};
        },
        502},
       {"gives only another request's answer",
        [](const auto&) {
          return scripted_answer{
              .bytes =
                  "HTTP/1.1 200 OK\r\nFulmarpitch-Attempt-Id: other\r\n"
                  "Fulmarpitch-Server-Stamp: s\r\n"
                  "Content-Length: 2\r\n\r\nok",
              .close = true};
        },
        502}}));
  CAPTURE(it.name);
  auto& at = make_fixture();
  auto& first = at.add_target(it.answer);
  auto& second = at.add_target(it.answer);
  at.start();
  auto answer = at.post("/once/1", "a1");
  REQUIRE(answer.ok());
  CHECK(answer->status == it.status);
  CHECK(find_header(answer->headers, "Fulmarpitch-Server-Stamp").empty());
  CHECK(first.heads.size() + second.heads.size() == 1);
}

TEST_CASE("an interrupted stream does not look complete") {
  auto& it = make_fixture();
  it.add_target([](const auto& head) {
    return scripted_answer{.bytes = stream_head(id_of(head)) + chunk(event(1)),
                           .close = true};
  });
  it.start();
  CHECK_FALSE(it.post("/once/1", "a1").ok());
}

TEST_CASE("a resumable stream continues on another target") {
  auto& it = make_fixture();
  auto broken = [n = std::make_shared<int>(0)](const auto& head) {
    if ((*n)++ > 0) return whole(head);
    return scripted_answer{.bytes = stream_head(id_of(head)) +
                                    chunk(event(1) + event(2) + "id: 3\nda"),
                           .close = true};
  };
  it.add_target(broken);
  it.add_target(broken);
  it.start();
  auto answer = it.post("/again/1", "a1");
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_text());
  auto resumed = 0;
  for (const auto& target : it.targets) {
    for (const auto& head : target.heads) {
      if (head.find("Last-Event-Id: 2\r\n") != std::string::npos) ++resumed;
    }
  }
  CHECK(resumed == 1);
}

TEST_CASE("a silent target does not block a resumable stream") {
  auto& it = make_fixture();
  auto script = [n = std::make_shared<int>(0)](const auto& head) {
    if ((*n)++ > 0) return whole(head);
    return scripted_answer{.silent = true};
  };
  it.add_target(script);
  it.add_target(script);
  it.start();
  auto answer = it.post("/again/1", "a1");
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_text());
}

TEST_CASE("a refused request is tried once on each target") {
  auto& it = make_fixture();
  auto& full = it.add_target(refuse_to_run);
  auto& other = it.add_target(refuse_to_run);
  it.start();
  auto answer = it.post("/once/1", "a1");
  REQUIRE(answer.ok());
  CHECK(answer->status == 503);
  CHECK_FALSE(find_header(answer->headers, "Retry-After").empty());
  CHECK(full.heads.size() == 1);
  CHECK(other.heads.size() == 1);
}

TEST_CASE("a response to an earlier request is recognised by its id") {
  auto& it = make_fixture();
  it.add_target([](const auto& head) {
    auto stray = std::string(
        "HTTP/1.1 200 OK\r\nFulmarpitch-Attempt-Id: old\r\n"
        "Fulmarpitch-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nstray");
    return scripted_answer{.bytes = stray + whole(head).bytes};
  });
  it.start();
  auto answer = it.post("/once/1", "a1");
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_text());
}

TEST_CASE("a target that responds before reading the body gets all of it") {
  auto& it = make_fixture();
  auto& target = it.add_target(whole, answer_time::before_body);
  it.start();
  auto body = std::string(300'000, 'b');
  for (const auto* id : {"a1", "a2"}) {
    auto answer = it.post("/once/1", id, body);
    REQUIRE(answer.ok());
    CHECK(answer->body == whole_text());
  }
  it.until([&] { return target.bodies.size() == 2; });
  CHECK(target.bodies == std::vector{body, body});
}

TEST_CASE("bytes after a complete response are not taken for the next one") {
  auto& it = make_fixture();
  it.add_target([](const auto& head) {
    return scripted_answer{
        .bytes = whole(head).bytes +
                 "HTTP/1.1 200 OK\r\nFulmarpitch-Attempt-Id: x\r\n"
                 "Fulmarpitch-Server-Stamp: s\r\n"
                 "Content-Length: 5\r\n\r\nextra"};
  });
  it.start();
  for (const auto* id : {"a1", "a2", "a3"}) {
    auto answer = it.post("/once/1", id);
    REQUIRE(answer.ok());
    CHECK(answer->body == whole_text());
  }
}

TEST_CASE("a client that disconnects cancels its request at the target") {
  auto& it = make_fixture();
  auto& target = it.add_target([](const auto& head) {
    return scripted_answer{.bytes = stream_head(id_of(head)) + chunk(event(1))};
  });
  it.start();
  auto call = start_call(
      it.loop,
      {.address = it.client_address,
       .request = {.method = "POST",
                   .target = "/once/1",
                   .headers = {{"Host", "h"}, {"Fulmarpitch-Attempt-Id", "a1"}},
                   .body = "p"}},
      {.on_head = [](const auto&) {},
       .on_data = [&](auto) { it.loop.stop(); },
       .on_end = [](const auto&) {}});
  it.loop.run();
  CHECK(target.open == 1);
  call->cancel();
  it.until([&] { return target.open == 0; });
  CHECK(target.open == 0);
}

TEST_CASE("an address taken over by another target gets no second request") {
  auto& it = make_fixture();
  auto& moved = it.add_target([](const auto& head) {
    return scripted_answer{.bytes = concat("HTTP/1.1 421 Misdirected\r\n"
                                           "Fulmarpitch-Attempt-Id: ",
                                           id_of(head),
                                           "\r\nContent-Length: 0\r\n\r\n")};
  });
  it.start();
  CHECK(it.post("/once/1", "a1")->status == 503);
  CHECK(it.post("/once/1", "a2")->status == 503);
  CHECK(moved.heads.size() == 1);
}

TEST_CASE("a target that announces that it leaves gets no second request") {
  auto& it = make_fixture();
  auto& leaving = it.add_target([](const auto& head) {
    auto out = whole(head);
    auto behind_status = out.bytes.find("\r\n") + 2;
    out.bytes.insert(behind_status, "Server-Leaving: 1\r\n");
    return out;
  });
  it.start();
  auto first = it.post("/once/1", "a1");
  CHECK(first->status == 200);
  CHECK(first->body == whole_text());
  CHECK(find_header(first->headers, "Server-Leaving") == "1");
  CHECK(it.post("/once/1", "a2")->status == 503);
  it.add_target(whole);
  it.run_for(1500ms);
  CHECK(it.post("/once/1", "a3")->status == 200);
  CHECK(leaving.heads.size() == 1);
}

TEST_CASE("a newer configuration is applied, an older one is not") {
  auto& it = make_fixture();
  it.add_target(whole);
  it.start();
  auto text = std::string(configuration_text);
  auto change = [&](const char* version, const char* prefix) {
    auto next = text;
    next.replace(next.find("\"version\":3"), 11,
                 concat("\"version\":", version));
    next.replace(next.find("/once/"), 6, prefix);
    it.store.put("op", "config", next);
  };
  change("9", "/new/");
  it.until([&] { return it.post("/new/1", "a1")->status == 200; });
  CHECK(it.post("/once/1", "a2")->status == 404);
  change("5", "/old/");
  it.store.put("op", "config", "not a configuration");
  it.run_for(200ms);
  CHECK(it.post("/old/1", "a3")->status == 404);
  CHECK(it.post("/new/1", "a4")->status == 200);
}

TEST_CASE("a table is read again after its change history was dropped") {
  auto& it = make_fixture();
  it.add_target(whole);
  it.start();
  it.store.drop_history();
  it.store.put("servers", "t1", "{}");
  it.until([&] { return it.post("/once/1", "a1")->status == 503; });
  CHECK(it.post("/once/1", "a2")->status == 503);
}

TEST_CASE(
    "a job is accepted and run once, and its results keep their positions") {
  auto& it = make_fixture();
  auto& target = it.add_target(whole);
  it.start();
  CHECK(it.post("/jobs/1", "j1", job_body(100))->status == 202);
  CHECK(it.post("/jobs/1", "j1", job_body(100))->status == 202);
  it.until([&] { return listed(it, "j1") == 2; });
  auto first = results_of(it, "j1");
  CHECK(first["total"] == 2);
  CHECK(first["next"] == 2);
  CHECK(first["results"].at(0).at("state") == "done");
  CHECK(first["results"].at(0).at("output") == "d1\nd2\nd3\nd4");
  CHECK(results_of(it, "j1") == first);
  CHECK(target.heads.size() == 2);
  auto body = it.get("/v1/items/j1?id=i1");
  REQUIRE(body.ok());
  CHECK(body->body == "prompt");
  CHECK(it.get("/v1/lots/unknown?after=0")->status == 404);
}

TEST_CASE("a job whose body is too large for rows is stored as an object") {
  auto& it = make_fixture();
  it.add_target(whole);
  it.start();
  auto prompt = std::string(400'000, 'p');
  CHECK(it.post("/jobs/1", "j1", job_body(100, prompt))->status == 202);
  CHECK(it.store.value("bodies", "h", "j1/00000").empty());
  it.until([&] { return listed(it, "j1") == 2; });
  CHECK(listed(it, "j1") == 2);
  CHECK(it.get("/v1/items/j1?id=i2")->body == prompt);
}

TEST_CASE("an interrupted item resumes after its last event") {
  auto& it = make_fixture();
  auto& target =
      it.add_target([n = std::make_shared<int>(0)](const auto& head) {
        if ((*n)++ > 0) return whole(head);
        return scripted_answer{
            .bytes = stream_head(id_of(head)) + chunk(event(1) + event(2)),
            .close = true};
      });
  it.start();
  CHECK(it.post("/jobs/1", "j1", job_body(100))->status == 202);
  it.until([&] { return listed(it, "j1") == 2; });
  auto results = results_of(it, "j1");
  REQUIRE(results.contains("results"));
  for (const auto& result : results["results"].as_array())
    CHECK(result.at("output") == "d1\nd2\nd3\nd4");
  CHECK(target.heads.size() == 3);
}

TEST_CASE("an item that is rejected permanently is listed as dead") {
  auto& it = make_fixture();
  auto& target = it.add_target([](const auto& head) {
    return scripted_answer{
        .bytes = concat("HTTP/1.1 422 No\r\nFulmarpitch-Attempt-Id: ",
                        id_of(head), "\r\nContent-Length: 0\r\n\r\n")};
  });
  it.start();
  CHECK(it.post("/jobs/1", "j1", job_body(100))->status == 202);
  it.until([&] { return listed(it, "j1") == 2; });
  auto results = results_of(it, "j1");
  CHECK(results["results"].at(0).at("state") == "dead");
  CHECK(target.heads.size() == 2);
}

TEST_CASE("a job beyond the route's limit is refused, a smaller one accepted") {
  auto& it = make_fixture();
  it.add_target([](const auto&) { return scripted_answer{.silent = true}; });
  it.start();
  CHECK(it.post("/jobs/1", "j1", job_body(400))->status == 202);
  auto refused = it.post("/jobs/1", "j2", job_body(400));
  CHECK(refused->status == 429);
  CHECK_FALSE(find_header(refused->headers, "Retry-After").empty());
  CHECK(it.post("/jobs/1", "j3", job_body(100))->status == 202);
  CHECK(it.store.value("jobs", "h", "j2").empty());
}

TEST_CASE("an ended job runs no more items and can be ended again") {
  auto& it = make_fixture();
  auto& target = it.add_target(refuse_to_run);
  it.start();
  CHECK(it.post("/jobs/1", "j1", job_body(100))->status == 202);
  auto end = [&] {
    return it.call({.method = "DELETE", .target = "/v1/lots/j1"})->status;
  };
  CHECK(end() == 200);
  CHECK(end() == 200);
  it.run_for(300ms);
  auto before = target.heads.size();
  it.run_for(500ms);
  CHECK(target.heads.size() == before);
}

TEST_CASE("without the store, jobs are refused and online requests still run") {
  auto fault = GENERATE(store_fault::down, store_fault::busy);
  auto& it = make_fixture();
  it.add_target(whole);
  it.start();
  it.store.set_fault(fault);
  CHECK(it.post("/jobs/1", "j1", job_body(100))->status == 503);
  CHECK(it.post("/once/1", "a1")->status == 200);
  CHECK(it.get("/v1/lots/j9?after=0")->status == 503);
  it.store.set_fault(store_fault::none);
  it.until(
      [&] { return it.post("/jobs/1", "j1", job_body(100))->status == 202; });
  it.until([&] { return listed(it, "j1") == 2; });
  CHECK(listed(it, "j1") == 2);
}

TEST_CASE("a request that arrives during start-up waits for its end") {
  auto& it = make_fixture();
  it.add_target(whole);
  it.store.set_fault(store_fault::down);
  it.client_address = concat("127.0.0.1:", it.ports.client);
  it.daemon = it.start_daemon("vm-1", "127.0.0.1", it.store.address());
  SECTION("until the configuration has been read") {
    it.loop.after(200ms, [&] { it.store.set_fault(store_fault::none); });
    CHECK(it.post("/once/1", "a1")->status == 200);
  }
  SECTION("but not for the end of a store outage") {
    auto answer = it.post("/once/1", "a1");
    CHECK(answer->status == 503);
    CHECK(find_header(answer->headers, "Retry-After") == "1.000");
  }
}

TEST_CASE("a job is accepted although the store's response was lost") {
  auto& it = make_fixture();
  it.add_target(whole);
  it.start();
  it.store.set_fault(store_fault::lost);
  auto answer = it.post("/jobs/1", "j1", job_body(100));
  REQUIRE(answer.ok());
  // The job's own row in the store shows that it was accepted.
  CHECK(answer->status == 202);
  it.store.set_fault(store_fault::none);
  it.until([&] { return listed(it, "j1") == 2; });
  CHECK(listed(it, "j1") == 2);
}

TEST_CASE("a daemon that shuts down ends its requests and releases its jobs") {
  auto& it = make_fixture();
  it.add_target([](const auto&) { return scripted_answer{.silent = true}; });
  it.start();
  CHECK(it.post("/jobs/1", "j1", job_body(100))->status == 202);
  auto left = false;
  it.daemon->shut_down([&] {
    left = true;
    it.loop.stop();
  });
  it.run_for(500ms);
  auto row = it.store.value("jobs", "h", "j1");
  CHECK(row.find(R"("owner":"")") != std::string::npos);
  it.until([&] { return left; });
  CHECK(left);
}

TEST_CASE("a daemon that is cut off from the store forwards job calls") {
  auto fault = GENERATE(soak::link_fault::cut, soak::link_fault::reset);
  auto& it = make_fixture();
  it.add_target(whole);
  it.start(true);
  // The daemons discover each other within one report interval.
  it.run_for(600ms);
  it.proxy->set(fault);
  for (const auto* id : {"j1", "j2"}) {
    CAPTURE(id);
    CHECK(it.post("/jobs/1", id, job_body(100))->status == 202);
    CHECK(it.store.value("jobs", "h", id).find("vm-2#") != std::string::npos);
    it.until([&] { return listed(it, id) == 2; });
    CHECK(listed(it, id) == 2);
    CHECK(it.get(concat("/v1/items/", id, "?id=i1"))->body == "prompt");
    // Gives the first daemon time to detect that the store is unreachable.
    it.run_for(2s);
  }
  CHECK(it.get("/v1/lots/unknown?after=0")->status == 404);
  auto ended = it.call({.method = "DELETE", .target = "/v1/lots/j2"});
  CHECK(ended->status == 200);
}

TEST_CASE("a daemon that shuts down forwards new jobs") {
  auto& it = make_fixture();
  it.add_target(whole);
  it.start(true);
  it.run_for(600ms);
  it.daemon->shut_down([] {});
  CHECK(it.post("/jobs/1", "j1", job_body(100))->status == 202);
  CHECK(it.store.value("jobs", "h", "j1").find("vm-2#") != std::string::npos);
}

TEST_CASE(
    "a job is not forwarded in circles when no daemon reaches the store") {
  auto& it = make_fixture();
  it.add_target(whole);
  it.start(true);
  it.run_for(600ms);
  it.store.set_fault(store_fault::down);
  auto answer = it.post("/jobs/1", "j1", job_body(100));
  REQUIRE(answer.ok());
  CHECK(answer->status == 503);
  CHECK_FALSE(find_header(answer->headers, "Retry-After").empty());
}

TEST_CASE(
    "an entry that expired during a store outage does not remove its target") {
  auto& it = make_fixture();
  it.add_target(whole);
  it.start();
  it.store.set_fault(store_fault::down);
  it.run_for(1500ms);
  it.store.remove("servers", "t1");
  it.store.set_fault(store_fault::none);
  // The removal has arrived by now.
  it.run_for(1500ms);
  CHECK(it.post("/once/1", "a1")->status == 200);
  // The entry was not written again, so the target is removed.
  it.until([&] { return it.post("/once/1", "a2")->status == 503; });
  CHECK(it.post("/once/1", "a3")->status == 503);
}

TEST_CASE("a response without streaming may take as long as its latency goal") {
  auto& it = make_fixture();
  auto& target = it.add_target([](const auto& head) {
    return scripted_answer{
        .bytes =
            concat("HTTP/1.1 200 OK\r\nFulmarpitch-Attempt-Id: ", id_of(head),
                   "\r\nFulmarpitch-Server-Stamp: stamp\r\n"
                   "Content-Length: 4\r\n\r\ndone"),
        .delay = 1100ms};
  });
  it.start();
  auto answer = it.post("/slow/1", "a1");
  REQUIRE(answer.ok());
  CHECK(answer->status == 200);
  CHECK(answer->body == "done");
  CHECK(target.heads.size() == 1);
}

TEST_CASE(
    "an item that fails on all targets is abandoned, the targets are kept") {
  auto& it = make_fixture();
  auto script = [](const auto& head) {
    if (head.find("/jobs/") == std::string::npos) return whole(head);
    return scripted_answer{
        .bytes = concat("HTTP/1.1 500 No\r\nFulmarpitch-Attempt-Id: ",
                        id_of(head), "\r\nContent-Length: 0\r\n\r\n")};
  };
  auto& first = it.add_target(script);
  auto& second = it.add_target(script);
  it.start();
  CHECK(it.post("/jobs/1", "j1", job_body(100))->status == 202);
  it.until([&] { return listed(it, "j1") == 2; });
  auto results = results_of(it, "j1");
  REQUIRE(results.contains("results"));
  CHECK(results["results"].at(0).at("state") == "dead");
  // Two items, each tried in two rounds of the route's two attempts; a third
  // round would be too many.
  CHECK(first.heads.size() + second.heads.size() == 8);
  CHECK(it.post("/once/1", "a1")->status == 200);
}

TEST_CASE("a new owner continues the count of an item's failures") {
  auto& it = make_fixture();
  auto& target = it.add_target([](const auto& head) {
    return scripted_answer{
        .bytes = concat("HTTP/1.1 500 No\r\nFulmarpitch-Attempt-Id: ",
                        id_of(head), "\r\nContent-Length: 0\r\n\r\n")};
  });
  it.start(true);
  it.run_for(600ms);
  CHECK(it.post("/jobs/1", "j1", job_body(100))->status == 202);
  it.until([&] { return target.heads.size() >= 4; });
  it.daemon->shut_down([] {});
  it.client_address = concat("127.0.0.2:", it.ports.client);
  it.until([&] { return listed(it, "j1") == 2; });
  CHECK(listed(it, "j1") == 2);
  // Two items of four attempts each, and one more for each that was running
  // when the owner changed.
  CHECK(target.heads.size() <= 10);
}

TEST_CASE("an odd entry among the targets' does not stop a daemon") {
  auto depth = std::size_t{30'000};
  auto odd = GENERATE_COPY(
      std::string(depth, '[') + std::string(depth, ']'),
      std::string(R"({"service":"s","addr":"127.0.0.1:99999","zone":"dc",)"
                  R"("slots":8,"state":"ready"})"),
      std::string(R"({"service":"s","addr":"127.0.0.1:9","zone":"dc",)"
                  R"("slots":1e300,"born":1e300,"state":"ready"})"),
      std::string("\xff\x00\x01", 3));
  auto& it = make_fixture();
  it.store.put("servers", "a-odd", odd);
  it.start(true);
  it.store.put("servers", "z-odd", odd);
  it.run_for(100ms);
  it.add_target(whole);
  for (auto n = 0; n < 3; ++n) {
    it.store.put("servers", "a-odd", odd);
    it.run_for(1s);
    for (const auto* ip : {"127.0.0.1:", "127.0.0.2:"}) {
      it.client_address = concat(ip, it.ports.client);
      auto answer = it.post("/once/1", concat("a", n));
      REQUIRE(answer.ok());
      CHECK(answer->body == whole_text());
    }
  }
}
