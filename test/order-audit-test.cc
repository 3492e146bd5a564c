#include "fulmarpitch/order/audit.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include "fulmarpitch/order/explain.h"
#include "order-fixture.h"

using namespace fulmar;
using namespace fulmar::order_test;

namespace {

const auto first_epoch = epoch_id{.number = 1, .incarnation = "a"};
const auto second_epoch = epoch_id{.number = 2, .incarnation = "b"};

using edit = std::function<void(std::vector<order_record>&)>;

/// Two epochs, the first closed, each of several segments of three records.
objects make_history(bool honest = true) {
  auto store = objects();
  auto start = epoch_start();
  start.pool = pool;
  start.epoch = first_epoch;
  start.owner = "a";
  for (const auto& epoch : {first_epoch, second_epoch}) {
    auto log = order_log({.start = start, .limits = {.records = 3}},
                         writer_to(store), instant(start.first_number));
    for (std::uint64_t i = 0; i < 7; ++i) {
      auto admit = make_admit(log.last_number() + 1, "e1", i);
      if (!honest && i == 4) admit.chosen.target = "t1";
      log.append(admit, {}, instant(admit.number));
      log.tick(instant(admit.number));
    }
    if (epoch == first_epoch) log.close(instant(50));
    while (!log.flushed())
      log.tick(instant(std::chrono::hours(1)));
    start = next_epoch({.last_number = log.last_number(),
                        .last_hash = log.last_hash(),
                        .last_segment = log.last_segment()},
                       epoch, pool, "b", "b");
    if (epoch == first_epoch) continue;
  }
  return store;
}

std::string name_at(const epoch_id& epoch, std::size_t i) {
  static const auto store = make_history();
  return stored(store, epoch).at(i).name;
}

/// Rewrites the lines of a segment.
void edit_lines(objects& store, const std::string& name,
                const std::function<void(std::vector<std::string>&)>& change) {
  auto segment = std::get<order_segment>(decode_segment(store.at(name)));
  change(segment.lines);
  store[name] = encode_segment(segment).bytes;
}

/// Rewrites the records of a segment and chains them again.
void forge(objects& store, const std::string& name, const edit& change) {
  edit_lines(store, name, [&](std::vector<std::string>& lines) {
    auto records = std::vector<order_record>();
    for (const auto& it : lines)
      records.push_back(std::get<order_record>(decode_record(it)));
    change(records);
    lines.clear();
    for (auto& it : records) {
      if (!lines.empty()) it.previous = sha256(lines.back());
      lines.push_back(encode_record(it));
    }
  });
}

void change_line(objects& store, const std::string& name) {
  edit_lines(store, name, [](std::vector<std::string>& lines) {
    lines[1].at(lines[1].find("depot")) = 'D';
  });
}

void reopen(objects& store) {
  auto closing = stored(store, first_epoch).back();
  auto old = std::get<order_segment>(decode_segment(closing.bytes));
  auto record = make_record(make_admit(old.last + 1, "e1"), {});
  record.pool = pool;
  record.epoch = first_epoch;
  record.previous = sha256(old.lines.back());
  auto more = encode_segment({.pool = pool,
                              .epoch = first_epoch,
                              .first = old.last + 1,
                              .last = old.last + 1,
                              .previous = link_to(closing),
                              .lines = {encode_record(record)}});
  store[more.name] = more.bytes;
}

audit_head newest_head() {
  return audit_of(make_history()).heads.at(0);
}

}  // namespace

TEST_CASE("an honest history is clean and every decision is replayed") {
  auto report = audit_of(make_history(), {.heads = {newest_head()}});
  CHECK(report.findings.empty());
  CHECK(verdict_of(report) == audit_verdict::clean);
  CHECK(report.replayed == 14);
  CHECK(report.records == 17);
}

TEST_CASE("each tampering is found with its place") {
  struct row {
    const char* name;
    std::function<void(objects&)> tamper;
    audit_fault expected;
    std::string segment;
  };
  auto middle = name_at(first_epoch, 1);
  auto after = name_at(first_epoch, 2);
  auto rows = std::vector<row>{
      {"changed record", [&](objects& it) { change_line(it, middle); },
       audit_fault::chain_broken, middle},
      {"torn line",
       [&](objects& it) {
         edit_lines(it, middle,
                    [](auto& lines) { lines[1].resize(lines[1].size() / 2); });
       },
       audit_fault::record_unreadable, middle},
      {"dropped record",
       [&](objects& it) {
         edit_lines(it, middle,
                    [](auto& lines) { lines.erase(lines.begin() + 1); });
       },
       audit_fault::number_gap, ""},
      {"doubled record",
       [&](objects& it) {
         edit_lines(it, middle, [](auto& lines) {
           lines.insert(lines.begin(), lines.front());
         });
       },
       audit_fault::number_repeated, middle},
      {"reordered records",
       [&](objects& it) {
         edit_lines(it, middle,
                    [](auto& lines) { std::swap(lines[0], lines[1]); });
       },
       audit_fault::number_repeated, middle},
      {"swapped segments",
       [&](objects& it) { std::swap(it.at(middle), it.at(after)); },
       audit_fault::segment_misnamed, middle},
      {"dropped segment", [&](objects& it) { it.erase(middle); },
       audit_fault::segment_link_broken, after},
      {"cut segment",
       [&](objects& it) { it.at(middle).resize(it.at(middle).size() - 9); },
       audit_fault::segment_unreadable, middle},
      {"dropped closing segment",
       [&](objects& it) { it.erase(stored(it, first_epoch).back().name); },
       audit_fault::epoch_not_closed, ""},
      {"dropped opening segment",
       [&](objects& it) { it.erase(name_at(first_epoch, 0)); },
       audit_fault::epoch_not_opened, middle},
      {"dropped epoch",
       [&](objects& it) {
         for (const auto& one : stored(it, first_epoch))
           it.erase(one.name);
       },
       audit_fault::epoch_link_broken, ""},
      {"one segment forged and chained again",
       [&](objects& it) {
         forge(it, middle,
               [](auto& records) { records[1].time += instant(1); });
       },
       audit_fault::segment_link_broken, after},
      {"a closed epoch reopened", reopen, audit_fault::record_after_close,
       segment_name(pool, first_epoch, 10)},
      {"a record of another pool",
       [&](objects& it) {
         forge(it, middle, [](auto& records) { records[1].pool = "other"; });
       },
       audit_fault::record_misplaced, middle},
      {"newest segment removed",
       [&](objects& it) { it.erase(stored(it, second_epoch).back().name); },
       audit_fault::head_differs, ""},
      {"newest segment forged and chained again",
       [&](objects& it) {
         auto newest = stored(it, second_epoch).back().name;
         forge(it, newest,
               [](auto& records) { records[0].time += instant(1); });
       },
       audit_fault::head_differs,
       stored(make_history(), second_epoch).back().name},
  };
  for (const auto& it : rows) {
    INFO(it.name);
    auto store = make_history();
    it.tamper(store);
    auto report = audit_of(store, {.heads = {newest_head()}});
    CHECK(verdict_of(report) == audit_verdict::faults);
    auto is_expected = [&](const audit_finding& one) {
      return one.fault == it.expected && one.segment == it.segment;
    };
    CHECK(std::any_of(report.findings.begin(), report.findings.end(),
                      is_expected));
  }
}

TEST_CASE("a decision that the rule would not have made is found") {
  auto store = make_history(false);
  auto report = audit_of(store);
  REQUIRE(report.findings.size() == 2);
  CHECK(report.findings[0].fault == audit_fault::choice_differs);
  CHECK(report.findings[0].from == 6);
  CHECK(report.findings[1].from == 15);
  // Outside the stated times it is not replayed, and the count says so.
  auto later = audit_of(store, {.from = instant(7), .to = instant(14)});
  CHECK(later.findings.empty());
  CHECK(later.replayed == 6);
  auto caller = audit_of(store, {.caller = "depot"});
  CHECK(caller.replayed == 2);
}

TEST_CASE("a directory of exported objects is audited like the store") {
  auto path = std::filesystem::temp_directory_path() / "fulmar-audit-test";
  std::filesystem::remove_all(path);
  for (const auto& [name, bytes] : make_history()) {
    std::filesystem::create_directories((path / name).parent_path());
    std::ofstream(path / name, std::ios::binary) << bytes;
  }
  auto auditor = order_auditor({});
  auto ended = 0;
  for_each_segment(
      directory_store(path.string()),
      [&](const stored_segment& it) { auditor.add(it); },
      [&](const absl::Status& ec) { ended += ec.ok() ? 1 : 0; });
  CHECK(ended == 1);
  auto report = auditor.finish();
  CHECK(report.findings.empty());
  CHECK(report.segments == make_history().size());
  std::filesystem::remove_all(path);
}

TEST_CASE("a store that answers later is walked page by page") {
  constexpr std::size_t object_count = 2500;
  auto names = std::vector<std::string>();
  for (std::size_t i = 0; i < object_count; ++i)
    names.push_back(concat(segment_prefix, padded(i)));
  auto later = std::vector<std::function<void()>>();
  auto store = object_store();
  store.list = [&](const std::string&, const std::string& after,
                   std::size_t limit, const auto& done) {
    auto from = std::upper_bound(names.begin(), names.end(), after);
    auto n = std::min<std::ptrdiff_t>(names.end() - from,
                                      static_cast<std::ptrdiff_t>(limit));
    auto page = std::vector<std::string>(from, from + n);
    later.emplace_back([done, page] { done(page); });
  };
  store.get = [&](const std::string& name, const auto& done) {
    auto is_lost = name == names.back() && names.size() < object_count;
    later.emplace_back([done, name, is_lost] {
      if (is_lost) return done(make_error(error_code::not_found, "gone"));
      done(name);
    });
  };
  auto seen = std::vector<std::string>();
  auto ends = std::vector<absl::Status>();
  auto walk = [&] {
    for_each_segment(
        store, [&](const stored_segment& it) { seen.push_back(it.bytes); },
        [&](const absl::Status& ec) { ends.push_back(ec); });
    while (!later.empty()) {
      auto next = std::move(later.back());
      later.pop_back();
      next();
    }
  };
  walk();
  CHECK(seen == names);
  names.pop_back();
  walk();
  REQUIRE(ends.size() == 2);
  CHECK(ends[0].ok());
  CHECK(code_of(ends[1]) == error_code::not_found);
}

TEST_CASE("a story names who went ahead and by which rule") {
  auto admit = make_admit(5, "e1", 1);
  auto record = make_record(admit, {});
  record.epoch = first_epoch;
  auto waiting = request_story("s5");
  waiting.add(record);
  CHECK(reason_ahead(record, "s5") == ahead_reason::fewer_tokens);
  CHECK(reason_ahead(record, "b5") == ahead_reason::class_order);
  CHECK_FALSE(reason_ahead(record, "n5"));
  CHECK_FALSE(waiting.found());
  auto story = request_story("n5");
  story.add(record);
  CHECK(story.found());
  auto text = story.text();
  for (const auto* it :
       {"Request n5 of caller north, class drivers", "record 5 of epoch",
        "Class drivers comes before sheets", "before request s5",
        "(tokens for weight 1 against 2", "Target t2"}) {
    INFO(text);
    CHECK(text.find(it) != std::string::npos);
  }
}
