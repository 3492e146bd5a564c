#include "fulmarpitch/order/record.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "order-fixture.h"

using namespace fulmar;
using namespace fulmar::order_test;

namespace {

record_fault fault_of(const std::string& line) {
  auto decoded = decode_record(line);
  REQUIRE(std::holds_alternative<record_fault>(decoded));
  return std::get<record_fault>(decoded);
}

std::string replaced(std::string text, const std::string& from,
                     const std::string& to) {
  auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

}  // namespace

TEST_CASE("SHA-256 gives the published digest") {
  CHECK(to_text(sha256("abc")) ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(digest_from_text(to_text(sha256("abc"))) == sha256("abc"));
  CHECK_FALSE(digest_from_text(std::string(64, 'G')));
  CHECK_FALSE(digest_from_text("ba78"));
}

TEST_CASE("records of every kind come back from their lines unchanged") {
  rc::prop("encode and decode",
           [](std::uint64_t salt, const std::string& request,
              const std::string& caller, std::int32_t time) {
             auto record = make_record(make_command(9, "e1", salt),
                                       {.config_version = 3, .caller = caller});
             record.pool = pool;
             record.epoch = {.number = 4, .incarnation = "e-2.1"};
             record.time = instant(time);
             if (record.kind != record_kind::admit) record.request_id = request;
             auto line = encode_record(record);
             auto decoded = decode_record(line);
             RC_ASSERT(std::holds_alternative<order_record>(decoded));
             const auto& got = std::get<order_record>(decoded);
             RC_ASSERT(got.request_id == record.request_id);
             RC_ASSERT(got.caller == record.caller);
             RC_ASSERT(got.epoch == record.epoch);
             RC_ASSERT(got.kind == record.kind);
             RC_ASSERT(got.detail.index() == record.detail.index());
             RC_ASSERT(encode_record(got) == line);
             if (const auto* it = std::get_if<admit_detail>(&got.detail)) {
               RC_ASSERT(choose(it->inputs) == it->chosen);
             }
           });
}

TEST_CASE("lines that are no record are refused with the reason") {
  auto record = make_record(make_admit(1, "e1"), {});
  record.pool = pool;
  record.epoch = {.number = 1, .incarnation = "x"};
  auto line = encode_record(record);
  CHECK(fault_of("") == record_fault::not_json);
  CHECK(fault_of(line + "]") == record_fault::not_json);
  CHECK(fault_of("{}") == record_fault::wrong_type);
  CHECK(fault_of("[1]") == record_fault::wrong_shape);
  CHECK(fault_of(replaced(line, ",1,0,\"admit\"", ",-1,0,\"admit\"")) ==
        record_fault::wrong_type);
  CHECK(fault_of(replaced(line, "\"admit\"", "\"admitted\"")) ==
        record_fault::unknown_name);
  CHECK(fault_of(" " + line) == record_fault::not_canonical);
}

TEST_CASE("epochs are read back only as they are written") {
  auto epoch = epoch_id{.number = 7, .incarnation = "entry-3.1"};
  CHECK(to_text(epoch) == "0000000007-entry-3.1");
  CHECK(epoch_from_text(to_text(epoch)) == epoch);
  for (const auto* it : {"", "7-x", "000000000a-x", "00000000007-x"})
    CHECK_FALSE(epoch_from_text(it));
}

TEST_CASE("segment names escape what a path can't hold") {
  auto epoch = epoch_id{.number = 1, .incarnation = "a/b"};
  CHECK(segment_name("a/b c", epoch, 5) ==
        "order/a%2Fb%20c/0000000001-a%2Fb/00000000000000000005");
}

TEST_CASE("bytes that are no segment are refused with the reason") {
  auto whole = encode_segment({.pool = pool,
                               .epoch = {.number = 1, .incarnation = "x"},
                               .first = 1,
                               .last = 2,
                               .lines = {"[1]", "[2]"}});
  auto fault = [](const std::string& bytes) {
    auto decoded = decode_segment(bytes);
    REQUIRE(std::holds_alternative<segment_fault>(decoded));
    return std::get<segment_fault>(decoded);
  };
  CHECK(std::holds_alternative<order_segment>(decode_segment(whole.bytes)));
  CHECK(fault("") == segment_fault::no_header);
  CHECK(fault("[]\n") == segment_fault::wrong_header);
  CHECK(fault(whole.bytes + "[3]\n") == segment_fault::wrong_count);
  CHECK(fault(whole.bytes.substr(0, whole.bytes.size() - 1)) ==
        segment_fault::torn);
}
