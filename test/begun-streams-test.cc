#include "fulmarpitch/serving/begun-streams.h"

#include <catch2/catch.hpp>

#include "fulmarpitch/core/text.h"

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

const auto v1 = stream_origin{.service = "s", .version = "v1"};
const auto v2 = stream_origin{.service = "s", .version = "v2"};
const auto other = stream_origin{.service = "t", .version = "v1"};

bool always(const std::string& /*service*/) {
  return true;
}

using ids = std::vector<std::string>;

}  // namespace

TEST_CASE("the origin of a stream is the first that was noted") {
  auto it = begun_streams();
  note_begun(it, "a", v1, 1s);
  note_begun(it, "a", v2, 2s);
  REQUIRE(find_origin(it, "a") != nullptr);
  CHECK(*find_origin(it, "a") == v1);
  CHECK(find_origin(it, "b") == nullptr);
}

TEST_CASE("streams are taken once, oldest first, by service") {
  auto it = begun_streams();
  note_begun(it, "a", v1, 1s);
  note_begun(it, "b", other, 2s);
  note_begun(it, "c", v2, 3s);
  auto of_s = [](const std::string& service) { return service == "s"; };
  CHECK(take_unrecorded(it, of_s, 1) == ids{"a"});
  CHECK(take_unrecorded(it, of_s, 9) == ids{"c"});
  CHECK(take_unrecorded(it, of_s, 9).empty());
  CHECK(take_unrecorded(it, always, 9) == ids{"b"});
}

TEST_CASE("streams that could not be recorded are taken again first") {
  auto it = begun_streams();
  note_begun(it, "a", v1, 1s);
  note_begun(it, "b", v1, 2s);
  put_back(it, take_unrecorded(it, always, 1));
  CHECK(take_unrecorded(it, always, 9) == ids{"a", "b"});
}

TEST_CASE("streams that no client resumes any more are forgotten") {
  auto it = begun_streams();
  note_begun(it, "a", v1, 1s);
  note_begun(it, "b", v1, 5s);
  forget_streams(it, 5s);
  CHECK(find_origin(it, "a") == nullptr);
  CHECK(find_origin(it, "b") != nullptr);
  CHECK(take_unrecorded(it, always, 9) == ids{"b"});
}

TEST_CASE("the number of remembered streams is bounded") {
  auto it = begun_streams{.max_rows = 3};
  for (auto n = 0; n < 5; ++n)
    note_begun(it, concat("a", n), v1, 1s);
  CHECK(it.rows.size() == 3);
  CHECK(find_origin(it, "a1") == nullptr);
  CHECK(take_unrecorded(it, always, 9) == ids{"a2", "a3", "a4"});
}

TEST_CASE("rows of streams and versions keep what they hold") {
  const auto odd = stream_origin{.service = "s/1 \"x\"", .version = "v 1\n"};
  auto stream = decode_begun(encode_begun({.origin = odd, .at = 7s}));
  REQUIRE(stream.ok());
  CHECK(stream->origin == odd);
  CHECK(stream->at == 7s);
  auto left = GENERATE(std::optional<instant>(), std::optional<instant>(9s));
  auto version = decode_version(encode_version({.origin = odd, .left = left}));
  REQUIRE(version.ok());
  CHECK(version->origin == odd);
  CHECK(version->left == left);
}

TEST_CASE("malformed rows are refused") {
  const auto* text = GENERATE("", "v1", "[]", "{}", R"({"version":"v1"})",
                              R"({"service":7,"version":"v1"})");
  CHECK_FALSE(decode_begun(text).ok());
  CHECK_FALSE(decode_version(text).ok());
}

TEST_CASE("versions and services with alike names have rows of their own") {
  auto a = version_row_name({.service = "a/b", .version = "c"});
  auto b = version_row_name({.service = "a", .version = "b/c"});
  CHECK_FALSE(a == b);
}
