#include "fulmarpitch/serving/report-wire.h"

#include <catch2/catch.hpp>

#include "fulmarpitch/core/text.h"

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

/// Members and targets of a data centre, twice the largest in use.
constexpr std::size_t vm_count = 100;
constexpr std::uint64_t target_count = 60;
constexpr std::uint64_t team_count = 360;

load_table all_loads() {
  auto out = load_table();
  for (auto n = std::uint64_t{1}; n <= target_count; ++n)
    out[n * 0x9e3779b97f4a7c15] = {.online = 8, .batch = 3};
  return out;
}

sent_summary large_summary() {
  auto out = sent_summary{.sender_data_centre = "northern-hall-b",
                          .sender_address = "10.102.103.104",
                          .summary = {.data_centre = "northern-hall-b",
                                      .gatherer = 77,
                                      .sequence = 17,
                                      .loads = all_loads()}};
  for (auto n = std::size_t{0}; n < vm_count; ++n) {
    out.summary.members.push_back({.name = concat("entry-northern-hall-b-", n),
                                   .incarnation = n + 1,
                                   .address = concat("10.102.103.", n),
                                   .store_lost = n % 2 == 0});
  }
  return out;
}

load_report large_report() {
  auto out = load_report{.name = "entry-northern-hall-b-17",
                         .data_centre = "northern-hall-b",
                         .address = "10.102.103.104",
                         .incarnation = 7,
                         .sequence = 9,
                         .age = 90s,
                         .leaving = true,
                         .store_lost = true,
                         .loads = all_loads(),
                         .known = {"10.1.0.1", "10.1.0.2"},
                         .wants_reply = true};
  for (const auto& [target, load] : out.loads) {
    out.doubts[target] = {.avoid_until = 300ms,
                          .trial_until = 900ms,
                          .score = 2.5,
                          .leaving = true};
  }
  return out;
}

}  // namespace

TEST_CASE("reports and summaries of a large data centre fit a datagram") {
  CHECK(encode_report(large_report()).size() < max_datagram_bytes / 2);
  CHECK(encode_summary(large_summary()).size() < max_datagram_bytes);
}

TEST_CASE("a report that lists all teams fits a datagram") {
  auto it = large_report();
  for (auto n = std::uint64_t{0}; n < team_count; ++n)
    it.team_counts.push_back({.team = n, .admitted = 1});
  it.unheard.assign(vm_count, 1);
  CHECK(encode_report(it).size() < max_datagram_bytes);
}

TEST_CASE("without teams a report has no byte for them") {
  auto it = load_report{.name = "entry-1",
                        .data_centre = "hall-b",
                        .address = "10.1.2.3",
                        .incarnation = 7,
                        .sequence = 9,
                        .age = 90s,
                        .loads = {{77, {.online = 3, .batch = 1}}}};
  CHECK(encode_report(it).size() == 144);
  it.team_counts.push_back({.team = 5, .admitted = 1});
  CHECK(encode_report(it).size() > 144);
}

TEST_CASE("counts of teams come back as they were sent") {
  auto sent = large_report();
  sent.team_counts = {
      {.team = 1, .admitted = 4000000000, .asked = 65535, .part = 0.25},
      {.team = 2, .admitted = 0, .asked = 3, .part = 1}};
  sent.unheard = {77, 78};
  sent.informed = true;
  auto it = decode_report(encode_report(sent));
  REQUIRE(it);
  REQUIRE(it->team_counts.size() == 2);
  CHECK(it->team_counts[0].team == 1);
  CHECK(it->team_counts[0].admitted == 4000000000);
  CHECK(it->team_counts[0].asked == 65535);
  CHECK(it->team_counts[0].part == Approx(0.25).margin(0.0001));
  CHECK(it->team_counts[1].part == 1);
  CHECK(it->unheard == sent.unheard);
  CHECK(it->informed);
}

TEST_CASE("summaries without members are small") {
  auto it = large_summary();
  it.summary.names_members = false;
  CHECK(encode_summary(it).size() < 24 * target_count);
}

TEST_CASE("a report comes back as it was sent") {
  auto sent = large_report();
  auto it = decode_report(encode_report(sent));
  REQUIRE(it);
  CHECK(it->name == sent.name);
  CHECK(it->data_centre == sent.data_centre);
  CHECK(it->address == sent.address);
  CHECK(it->incarnation == 7);
  CHECK(it->sequence == 9);
  CHECK(it->age == 90s);
  CHECK(it->leaving);
  CHECK(it->store_lost);
  CHECK(it->wants_reply);
  CHECK(it->known == sent.known);
  REQUIRE(it->loads.size() == sent.loads.size());
  CHECK(it->loads.begin()->second.online == 8);
  CHECK(it->loads.begin()->second.batch == 3);
  REQUIRE(it->doubts.size() == sent.doubts.size());
  CHECK(it->doubts.begin()->second.trial_until == 900ms);
  CHECK(it->doubts.begin()->second.score == 2.5);
  CHECK(it->doubts.begin()->second.leaving);
}

TEST_CASE("a configuration takes bytes of a datagram only if it has teams") {
  auto report = large_report();
  auto summary = large_summary();
  auto plain_report = encode_report(report).size();
  auto plain_summary = encode_summary(summary).size();
  CHECK(decode_report(encode_report(report))->configuration == 0);
  report.configuration = 12'345;
  summary.summary.configuration = 12'346;
  CHECK(decode_report(encode_report(report))->configuration == 12'345);
  CHECK(decode_summary(encode_summary(summary))->summary.configuration ==
        12'346);
  CHECK(encode_report(report).size() >= plain_report + sizeof(std::uint64_t));
  CHECK(encode_summary(summary).size() >=
        plain_summary + sizeof(std::uint64_t));
}

TEST_CASE("a summary comes back as it was sent") {
  auto sent = large_summary();
  auto it = decode_summary(encode_summary(sent));
  REQUIRE(it);
  CHECK(it->sender_data_centre == sent.sender_data_centre);
  CHECK(it->sender_address == sent.sender_address);
  CHECK(it->summary.data_centre == sent.summary.data_centre);
  CHECK(it->summary.gatherer == 77);
  CHECK(it->summary.sequence == 17);
  CHECK(it->summary.loads.size() == target_count);
  REQUIRE(it->summary.members.size() == vm_count);
  CHECK(it->summary.members[4].name == "entry-northern-hall-b-4");
  CHECK(it->summary.members[4].incarnation == 5);
  CHECK(it->summary.members[4].store_lost);
}

TEST_CASE("one kind of datagram is not taken for another") {
  auto report = encode_report(large_report());
  auto summary = encode_summary(large_summary());
  CHECK_FALSE(is_summary(report));
  CHECK_FALSE(decode_summary(report));
  CHECK_FALSE(decode_report(summary));
  CHECK_FALSE(decode_report(""));
  CHECK_FALSE(decode_summary("SUMM"));
  for (auto n = std::size_t{0}; n < report.size(); n += 7)
    (void)decode_report(std::string_view(report).substr(0, n));
  for (auto n = std::size_t{0}; n < summary.size(); n += 7)
    (void)decode_summary(std::string_view(summary).substr(0, n));
}
