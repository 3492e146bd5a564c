#include <utility>

#include "fulmarpitch/core/text.h"
#include "fulmarpitch/order/succession.h"

namespace fulmar {
namespace {

constexpr std::string_view row_prefix = "order/epoch/";

std::uint64_t epoch_number_in(const std::string& line) {
  auto decoded = decode_record(line);
  const auto* record = std::get_if<order_record>(&decoded);
  return record != nullptr ? record->epoch.number : 0;
}

/// The id covers what is written and over what, so that only the very same
/// claim counts as sent before.
std::string claim_id(const epoch_row& seen, const std::string& opening_line) {
  return concat(epoch_row_key(seen.pool), "/", seen.version, "/",
                to_text(sha256(opening_line)));
}

}  // namespace

std::string epoch_row_key(std::string_view pool) {
  return concat(row_prefix, pool);
}

void read_epoch(const table_store& store, std::string pool,
                callback<epoch_row> done) {
  auto key = epoch_row_key(pool);
  auto answer = [pool = std::move(pool),
                 done = std::move(done)](absl::StatusOr<table_row> row) {
    if (!row.ok()) return done(row.status());
    done(epoch_row{.pool = pool,
                   .version = row->version,
                   .opening_line = std::move(row->value)});
  };
  store.read(std::move(key), std::move(answer));
}

void claim_epoch(const table_store& store, const epoch_row& seen,
                 std::string opening_line,
                 std::function<void(claim_result)> done) {
  if (seen.opening_line == opening_line) return done(claim_result::owned);
  auto key = epoch_row_key(seen.pool);
  auto claim = table_transaction{
      .id = claim_id(seen, opening_line),
      .conditions = {{.key = key, .version = seen.version}},
      .writes = {{.key = key, .value = std::move(opening_line)}}};
  auto answer = [done = std::move(done)](absl::StatusOr<commit_result> result) {
    if (!result.ok()) return done(claim_result::platform_away);
    done(result->committed ? claim_result::owned : claim_result::taken);
  };
  store.commit(std::move(claim), std::move(answer));
}

void reconcile_epoch(const table_store& store, std::string opening_line,
                     std::function<void(claim_result)> done) {
  auto decoded = decode_record(opening_line);
  const auto* mine = std::get_if<order_record>(&decoded);
  if (mine == nullptr) return done(claim_result::taken);
  auto number = mine->epoch.number;
  auto answer = [store, number, opening_line = std::move(opening_line),
                 done = std::move(done)](absl::StatusOr<epoch_row> seen) {
    if (!seen.ok()) return done(claim_result::platform_away);
    auto is_mine = seen->opening_line == opening_line;
    if (!is_mine && epoch_number_in(seen->opening_line) >= number) {
      return done(claim_result::taken);
    }
    claim_epoch(store, *seen, opening_line, done);
  };
  read_epoch(store, mine->pool, std::move(answer));
}

}  // namespace fulmar
