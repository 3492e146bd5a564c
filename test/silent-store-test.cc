// End-to-end tests over loopback of daemons whose open connections to the store
// fall silent while new ones work.

#include <catch2/catch.hpp>

#include "job-calls.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

constexpr auto job_count = 30;

/// Submits jobs at the same time, which leaves the daemon with as many idle
/// connections to the store as its pool keeps.
void submit_jobs(fixture& it) {
  auto open = job_count;
  for (auto n = 0; n < job_count; ++n) {
    auto id = concat("j", n);
    fetch(
        it.loop,
        {.address = it.client_address,
         .request = {.method = "POST",
                     .target = concat("/jobs/", id),
                     .headers = {{"Host", "h"}, {"Fulmarpitch-Attempt-Id", id}},
                     .body = job_body(1, "prompt", 1)}},
        [&](const auto& answer) {
          CHECK((answer.ok() && answer->status == 202));
          if (--open == 0) it.loop.stop();
        });
  }
  it.loop.run();
}

/// A daemon whose connections to the store have fallen silent.
fixture& start_with_silent_links() {
  auto& it = make_fixture();
  it.add_target(whole);
  it.start();
  submit_jobs(it);
  it.until([&] {
    auto done = true;
    for (auto n = 0; n < job_count; ++n)
      done = done && listed(it, concat("j", n)) == 1;
    return done;
  });
  it.proxy->set(soak::link_fault::silenced);
  return it;
}

}  // namespace

// Each idle connection used to cost a timeout, so that a daemon was without the
// store for as long as they lasted.
TEST_CASE("a leaving target is noticed though connections fall silent") {
  auto& it = start_with_silent_links();
  auto& other = it.add_target(whole);
  it.store.remove("servers", "t1");
  auto count = 0;
  auto post = [&] {
    auto answer = it.post("/again/1", concat("a", ++count));
    return answer.ok() && answer->status == 200;
  };
  it.until([&] { return post() && !other.heads.empty(); });
  REQUIRE_FALSE(other.heads.empty());
  auto before = it.targets[0].heads.size();
  for (auto n = 0; n < 4; ++n)
    CHECK(post());
  CHECK(it.targets[0].heads.size() == before);
}
