#pragma once

/// \file
/// What every table service and object store must do. Run against each
/// implementation of the interfaces.

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/stores/stores.h"

namespace fulmar::contract {

/// Stores under test, empty at first, and what makes their replies arrive.
struct subject {
  table_store table;
  object_store objects;
  /// Lets time pass until a reply that is due has arrived.
  std::function<void()> pump;
};

/// Pumps of one call before it counts as unanswered.
inline constexpr int most_pumps = 10'000;

/// Makes a call and waits for its reply, which must come exactly once.
template <typename T, typename Call>
absl::StatusOr<T> wait_for(const subject& it, Call call) {
  auto reply = std::optional<absl::StatusOr<T>>();
  auto replies = 0;
  call(callback<T>([&reply, &replies](absl::StatusOr<T> value) {
    reply = std::move(value);
    ++replies;
  }));
  for (auto n = 0; n < most_pumps && !reply; ++n)
    it.pump();
  REQUIRE(replies == 1);
  return *reply;
}

inline absl::StatusOr<commit_result> commit(const subject& it,
                                            table_transaction transaction) {
  return wait_for<commit_result>(it, [&](auto done) {
    it.table.commit(std::move(transaction), std::move(done));
  });
}

inline table_row read(const subject& it, const std::string& key) {
  return *wait_for<table_row>(
      it, [&](auto done) { it.table.read(key, std::move(done)); });
}

inline std::vector<std::string> scan_keys(const subject& it,
                                          const std::string& prefix,
                                          const std::string& after,
                                          std::size_t limit) {
  const auto rows = wait_for<std::vector<table_row>>(it, [&](auto done) {
    it.table.scan(prefix, after, limit, std::move(done));
  });
  auto out = std::vector<std::string>();
  for (const auto& row : *rows)
    out.push_back(row.key);
  return out;
}

inline absl::StatusOr<bool> put(const subject& it, const std::string& name,
                                const std::string& bytes) {
  return wait_for<bool>(it, [&](auto done) {
    it.objects.put_if_absent(name, bytes, std::move(done));
  });
}

inline absl::StatusOr<std::string> get(const subject& it,
                                       const std::string& name) {
  return wait_for<std::string>(
      it, [&](auto done) { it.objects.get(name, std::move(done)); });
}

/// Writes one row without a condition.
inline void write_row(const subject& it, const std::string& id,
                      const std::string& key, const std::string& value) {
  const auto result = commit(it, {.id = id, .writes = {{key, value}}});
  REQUIRE(result.ok());
  REQUIRE(result->committed);
}

inline void check_conditions(const subject& it) {
  write_row(it, "c-1", "cond/a", "one");
  const auto version = read(it, "cond/a").version;
  REQUIRE(version > 0);
  struct condition_case {
    std::string id;
    std::vector<row_condition> conditions;
    std::vector<std::string> conflicts;
  };
  const auto cases = std::vector<condition_case>{
      {"absent holds", {{"cond/none", 0}}, {}},
      {"absent fails", {{"cond/a", 0}}, {"cond/a"}},
      {"version holds", {{"cond/a", version}}, {}},
      {"version fails", {{"cond/a", version + 1'000'000}}, {"cond/a"}},
      {"version of an absent row", {{"cond/none", 5}}, {"cond/none"}},
      {"one of two fails",
       {{"cond/a", version}, {"cond/none", 5}},
       {"cond/none"}},
      {"both fail", {{"cond/a", 0}, {"cond/none", 5}}, {"cond/a", "cond/none"}},
  };
  for (const auto& c : cases) {
    INFO(c.id);
    const auto key = concat("cond-out/", c.id);
    const auto result = commit(
        it, {.id = c.id, .conditions = c.conditions, .writes = {{key, "x"}}});
    REQUIRE(result.ok());
    CHECK(result->committed == c.conflicts.empty());
    CHECK(result->conflicts == c.conflicts);
    CHECK((read(it, key).version > 0) == c.conflicts.empty());
  }
}

inline void check_versions(const subject& it) {
  CHECK(read(it, "ver/a").version == 0);
  write_row(it, "v-1", "ver/a", "one");
  const auto first = read(it, "ver/a");
  write_row(it, "v-2", "ver/a", "one");
  const auto second = read(it, "ver/a");
  CHECK(second.version > first.version);
  CHECK(second.value == "one");
  const auto deleted =
      commit(it, {.id = "v-3", .writes = {{"ver/a", std::nullopt}}});
  CHECK(deleted->committed);
  CHECK(read(it, "ver/a").version == 0);
  write_row(it, "v-4", "ver/a", "two");
  CHECK(read(it, "ver/a").version > second.version);
}

inline void check_idempotent_transactions(const subject& it) {
  write_row(it, "i-1", "idem/a", "one");
  write_row(it, "i-2", "idem/a", "two");
  const auto again = commit(it, {.id = "i-1",
                                 .conditions = {{"idem/a", 0}},
                                 .writes = {{"idem/a", "one"}}});
  REQUIRE(again.ok());
  CHECK(again->committed);
  CHECK(read(it, "idem/a").value == "two");
}

inline void check_transaction_limits(const subject& it) {
  auto large = table_transaction{.id = "l-1"};
  for (std::size_t n = 0; n < max_transaction_rows; ++n) {
    large.writes.push_back({concat("limit/", n), "x"});
  }
  CHECK(commit(it, large)->committed);
  large.id = "l-2";
  large.conditions.push_back({"limit/0", 1});
  CHECK(code_of(commit(it, large).status()) == error_code::too_large);
  const auto bytes = std::string(max_row_bytes, 'x');
  CHECK(commit(it, {.id = "l-3", .writes = {{"limit/b", bytes}}})->committed);
  const auto longer =
      commit(it, {.id = "l-4", .writes = {{"limit/b", bytes + "x"}}});
  CHECK(code_of(longer.status()) == error_code::too_large);
  const auto nameless = commit(it, {.writes = {{"limit/c", "x"}}});
  CHECK(code_of(nameless.status()) == error_code::bad_request);
  CHECK(read(it, "limit/c").version == 0);
}

inline void check_scans(const subject& it) {
  using keys = std::vector<std::string>;
  for (const auto* key : {"scan/a", "scan/a/1", "scan/b", "scanned", "scam"}) {
    write_row(it, concat("s-", key), key, "x");
  }
  CHECK(scan_keys(it, "scan/", "", 10) == keys{"scan/a", "scan/a/1", "scan/b"});
  CHECK(scan_keys(it, "scan/", "", 2) == keys{"scan/a", "scan/a/1"});
  CHECK(scan_keys(it, "scan/", "scan/a/1", 10) == keys{"scan/b"});
  CHECK(scan_keys(it, "scan/", "scan/b", 10).empty());
  CHECK(scan_keys(it, "scan/", "a", 1) == keys{"scan/a"});
  CHECK(scan_keys(it, "scan/", "z", 10).empty());
  CHECK(scan_keys(it, "no/", "", 10).empty());
  CHECK(scan_keys(it, "scan/", "", 0).empty());
}

/// Checks a table service.
inline void check_table_store(const subject& it) {
  check_conditions(it);
  check_versions(it);
  check_idempotent_transactions(it);
  check_transaction_limits(it);
  check_scans(it);
}

/// Checks an object store.
inline void check_object_store(const subject& it) {
  const auto bytes = std::string("a\0b\n\xff", 5);
  CHECK(*put(it, "objects/a", bytes));
  CHECK(*get(it, "objects/a") == bytes);
  CHECK(*put(it, "objects/a", bytes));
  CHECK_FALSE(*put(it, "objects/a", "other"));
  CHECK(*get(it, "objects/a") == bytes);
  CHECK(*put(it, "objects/b", ""));
  CHECK(get(it, "objects/b")->empty());
  CHECK(code_of(get(it, "objects/none").status()) == error_code::not_found);
  const auto names = wait_for<std::vector<std::string>>(it, [&](auto done) {
    it.objects.list("objects/", "objects/a", 10, std::move(done));
  });
  CHECK(*names == std::vector<std::string>{"objects/b"});
}

}  // namespace fulmar::contract
