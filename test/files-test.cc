#include "fulmarpitch/state/files.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <set>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/state/content-hash.h"
#include "store-bench.h"

namespace {

using namespace fulmar;
using namespace std::chrono_literals;

std::string item_line(const std::string& id) {
  return concat(R"({"custom_id":")", id,
                R"(","url":"/v1/completions","body":{"model":"m"}})", '\n');
}

file_upload make_upload(const store_bench& it) {
  return {it.stores,
          {.file_id = "f-1",
           .caller = "depot",
           .most_items = 8,
           .most_line_bytes = 200,
           .chunk_items = 3}};
}

TEST_CASE("a file is cut into chunks wherever its parts end") {
  rc::prop("any cut", [](std::uint8_t step) {
    auto it = store_bench({.fail_before_per_mille = 300,
                           .lose_reply_per_mille = 300,
                           .most_delay = 100ms});
    auto upload = make_upload(it);
    auto content = std::string();
    for (auto n = 0; n < 7; ++n)
      content += item_line(concat("i", n));
    content.pop_back();
    const auto length = std::size_t{step} % 50 + 1;
    for (std::size_t at = 0; at < content.size(); at += length) {
      RC_ASSERT(upload.feed(content.substr(at, length)).ok());
    }
    auto file = absl::StatusOr<file_info>();
    upload.finish(it.now, [&file](auto done) { file = std::move(done); });
    it.run(60s, upload);
    RC_ASSERT(file.ok());
    RC_ASSERT(file->items == 7U);
    RC_ASSERT(file->chunks == 3U);
    auto hash = content_hash();
    hash.add(content);
    RC_ASSERT(file->content_hash == hash.finish());
    auto ids = std::vector<std::string>();
    for (auto n = std::uint64_t{0}; n < 3; ++n) {
      const auto chunk =
          parse_chunk(it.memory->objects.at(chunk_object_name("f-1", n)));
      RC_ASSERT(chunk.ok());
      for (const auto& item : *chunk)
        ids.push_back(item.custom_id);
      RC_ASSERT(chunk->back().line == ids.size());
      RC_ASSERT(chunk->back().model == "m");
    }
    RC_ASSERT(ids == (std::vector<std::string>{"i0", "i1", "i2", "i3", "i4",
                                               "i5", "i6"}));
    it.memory->plan = {};
    const auto found = it.wait_for<file_info>(
        [&](auto done) { find_file(it.stores, "depot", "f-1", done); });
    RC_ASSERT(found->content_hash == file->content_hash);
    const auto other = it.wait_for<file_info>(
        [&](auto done) { find_file(it.stores, "other", "f-1", done); });
    RC_ASSERT(code_of(other.status()) == error_code::not_found);
  });
}

TEST_CASE("a bad line is reported with its number") {
  struct line_case {
    std::string content;
    line_fault fault;
    std::uint64_t line;
  };
  const auto good = item_line("a");
  auto nine = std::string();
  for (auto n = 0; n < 9; ++n)
    nine += item_line(concat(n));
  const auto cases = std::vector<line_case>{
      {good + "\n\n" + "nonsense\n", line_fault::not_json, 4},
      {good + "[]\n", line_fault::not_json, 2},
      {good + "{\"body\":{}}\n", line_fault::no_custom_id, 2},
      {"{\"custom_id\":7,\"body\":{}}\n", line_fault::no_custom_id, 1},
      {"{\"custom_id\":\"\",\"body\":{}}\n", line_fault::no_custom_id, 1},
      {"{\"custom_id\":\"a\"}", line_fault::no_body, 1},
      {"{\"custom_id\":\"a\",\"body\":\"x\"}", line_fault::no_body, 1},
      {good + item_line("b") + good, line_fault::doubled_custom_id, 3},
      {good + std::string(300, 'x'), line_fault::line_too_long, 2},
      {nine, line_fault::too_many_items, 9},
      {"", line_fault::empty_file, 0},
      {"\n \r\n", line_fault::empty_file, 2},
  };
  for (const auto& c : cases) {
    INFO(c.content);
    auto it = store_bench();
    auto upload = make_upload(it);
    (void)upload.feed(c.content);
    auto status = absl::Status();
    upload.finish(0s, [&status](const auto& done) { status = done.status(); });
    it.run(1s, upload);
    CHECK_FALSE(status.ok());
    CHECK(upload.fault() == c.fault);
    CHECK(upload.bad_line() == c.line);
    CHECK(it.memory->rows.empty());
  }
}

TEST_CASE("an upload asks to wait while chunks are under way") {
  auto it = store_bench({.outages = {{0s, 5s}}});
  auto upload = make_upload(it);
  for (auto n = 0; n < 6; ++n) {
    CHECK(upload.ready());
    REQUIRE(upload.feed(item_line(concat(n))).ok());
  }
  CHECK_FALSE(upload.ready());
  it.run(15s, upload);
  CHECK(upload.ready());
}

TEST_CASE("a hash set holds what a set holds") {
  rc::prop("any hashes", [](const std::vector<std::uint16_t>& hashes) {
    auto compact = hash_set();
    auto set = std::set<std::uint64_t>();
    for (const auto it : hashes) {
      const auto hash = std::uint64_t{it} + 1;
      RC_ASSERT(compact.insert(hash) == set.insert(hash).second);
    }
    RC_ASSERT(compact.size() == set.size());
  });
  auto many = hash_set();
  for (auto n = 1; n <= 100'000; ++n) {
    if (!many.insert(text_hash(concat(n)))) FAIL("a hash was doubled");
  }
  CHECK(many.size() == 100'000);
}

}  // namespace
