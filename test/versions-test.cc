#include "fulmarpitch/serving/versions.h"

#include <catch2/catch.hpp>

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

constexpr auto bounds = version_bounds{.resume_time = 5s, .max_list_lag = 3s};
constexpr auto now = instant(100s);

target listed(std::string id, std::string version, bool leaving = false) {
  return {.id = std::move(id),
          .service = "s",
          .address = "127.0.0.1:1",
          .data_centre = "dc",
          .version = std::move(version),
          .leaving = leaving};
}

stream_origin of(std::string version) {
  return {.service = "s", .version = std::move(version)};
}

}  // namespace

TEST_CASE("a version that serves alone began every stream") {
  auto it = version_history();
  CHECK_FALSE(only_version(it, "s", bounds, now));
  CHECK(must_record(it, "s", bounds, now));
  note_listed(it, of("v1"), now);
  CHECK(only_version(it, "s", bounds, now) == "v1");
  CHECK_FALSE(must_record(it, "s", bounds, now));
  CHECK_FALSE(only_version(it, "other", bounds, now));
}

TEST_CASE("a version that left may have begun streams that come back") {
  auto it = version_history();
  note_listed(it, of("v1"), now);
  auto left = GENERATE(0s, 4s, 8s);
  note_listed(it, of("v2"), now + left);
  CHECK_FALSE(only_version(it, "s", bounds, now + 8s));
  CHECK(must_record(it, "s", bounds, now + 8s));
}

TEST_CASE("streams are recorded for longer than versions are uncertain") {
  auto it = version_history();
  note_listed(it, of("v1"), now);
  note_listed(it, of("v2"), now + 9s);
  CHECK(only_version(it, "s", bounds, now + 9s) == "v2");
  CHECK(must_record(it, "s", bounds, now + 9s));
  CHECK_FALSE(must_record(it, "s", bounds, now + 11001ms));
}

TEST_CASE("a version that comes back is uncertain again") {
  auto it = version_history();
  note_listed(it, of("v1"), now);
  note_listed(it, of("v2"), now + 20s);
  REQUIRE(only_version(it, "s", bounds, now + 20s) == "v2");
  note_listed(it, of("v1"), now + 21s);
  CHECK_FALSE(only_version(it, "s", bounds, now + 21s));
}

TEST_CASE("an older listing does not replace a newer one") {
  auto it = version_history();
  note_listed(it, of("v1"), now);
  note_listed(it, of("v1"), now - 50s);
  CHECK(only_version(it, "s", bounds, now) == "v1");
}

TEST_CASE("versions that left long ago are forgotten") {
  auto it = version_history();
  note_listed(it, of("v1"), now);
  note_listed(it, of("v2"), now + 1s);
  forget_versions(it, now + 1s);
  CHECK(it.last_listed.size() == 1);
  CHECK(it.last_listed.contains(of("v2")));
}

TEST_CASE("the listed targets show which versions serve") {
  auto table = target_table();
  list_target(table, listed("t1", "v1"));
  list_target(table, listed("t2", "v2", true));
  auto it = version_history();
  note_listed(it, table, now);
  CHECK(it.last_listed.size() == 2);
  CHECK(has_target_for(table, of("v1")));
  CHECK_FALSE(has_target_for(table, of("v2")));
  CHECK_FALSE(has_target_for(table, of("")));
  CHECK_FALSE(has_target_for(table, {.service = "other", .version = "v1"}));
}

TEST_CASE("a target of another version under the same id is another one") {
  auto table = target_table();
  auto it = listed("t1", "v1");
  list_target(table, it);
  it.version = "v2";
  it.started_ms = 7;
  list_target(table, it);
  CHECK_FALSE(has_target_for(table, of("v1")));
  CHECK(has_target_for(table, of("v2")));
}

TEST_CASE("a target that was never listed may have begun streams") {
  auto it = version_history();
  note_listed(it, of("v1"), now);
  note_unknown_left(it, now);
  note_listed(it, of("v1"), now + 20s);
  CHECK_FALSE(only_version(it, "s", bounds, now + 8s));
  CHECK(must_record(it, "s", bounds, now + 8s));
  CHECK(only_version(it, "s", bounds, now + 8001ms) == "v1");
}
