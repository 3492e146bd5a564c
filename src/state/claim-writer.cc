#include "fulmarpitch/state/claim-writer.h"

#include <algorithm>
#include <deque>
#include <set>
#include <unordered_set>
#include <utility>

#include "fulmarpitch/core/text.h"
#include "fulmarpitch/state/backoff.h"

namespace fulmar::detail {
namespace {

struct pending_claim {
  claim_record claim;
  std::string key;
  callback<claim_outcome> done;
};

/// Claims under way in one transaction. While `conflicts` is not empty their
/// rows are read, to tell the claimants who holds them.
struct claim_group {
  claim_group(const recorder_options& options, std::uint64_t seed)
      : retry(options.first_retry, options.longest_retry, seed) {}

  std::vector<pending_claim> claims;
  std::vector<std::string> conflicts;
  std::string transaction_id;
  backoff retry;
  bool waiting = false;
};

using group_ptr = std::shared_ptr<claim_group>;

}  // namespace

struct claim_writer::state {
  platform_stores stores;
  recorder_options options;
  std::deque<pending_claim> queue;
  std::vector<group_ptr> groups;
  /// Keys of the claims under way.
  std::unordered_set<std::string> busy;
  instant now{};
  instant next_group{};
  std::uint64_t names_used = 0;
  std::size_t size = 0;
  std::size_t bytes = 0;
};

namespace {

using state_ptr = std::shared_ptr<claim_writer::state>;

std::string next_id(claim_writer::state& it) {
  return concat(it.options.name, "-claims-", it.names_used++);
}

void run_group(const state_ptr& it, const group_ptr& group);

void forget(claim_writer::state& it, const pending_claim& claim) {
  it.busy.erase(claim.key);
  --it.size;
  it.bytes -= claim.claim.value.size();
}

void remove_group(claim_writer::state& it, const group_ptr& group) {
  it.groups.erase(std::remove(it.groups.begin(), it.groups.end(), group),
                  it.groups.end());
}

void grant_all(const state_ptr& it, const group_ptr& group) {
  remove_group(*it, group);
  for (auto& claim : group->claims)
    forget(*it, claim);
  for (auto& claim : group->claims) {
    claim.done(claim_outcome{.granted = true,
                             .claimant = claim.claim.claimant,
                             .value = claim.claim.value});
  }
}

table_transaction build_transaction(const claim_group& group) {
  auto out = table_transaction{.id = group.transaction_id};
  for (const auto& it : group.claims) {
    out.conditions.push_back({it.key, 0});
    out.writes.push_back({it.key, claim_value(it.claim)});
  }
  return out;
}

void call_failed(const state_ptr& it, const group_ptr& group) {
  group->waiting = false;
  group->retry.failed(it->now);
}

void call_succeeded(const state_ptr& it, const group_ptr& group) {
  group->waiting = false;
  group->retry.succeeded();
  run_group(it, group);
}

void commit(const state_ptr& it, const group_ptr& group) {
  const auto weak = std::weak_ptr(it);
  it->stores.table.commit(build_transaction(*group),
                          [weak, group](absl::StatusOr<commit_result> result) {
                            const auto self = weak.lock();
                            if (!self) return;
                            // An unknown outcome is settled by the same
                            // transaction, sent again.
                            if (!result.ok()) return call_failed(self, group);
                            if (result->committed)
                              return grant_all(self, group);
                            group->conflicts = std::move(result->conflicts);
                            call_succeeded(self, group);
                          });
}

/// Takes a claim whose row exists out of its group and reports the holder.
void settle(const state_ptr& it, const group_ptr& group, const table_row& row) {
  const auto found =
      std::find_if(group->claims.begin(), group->claims.end(),
                   [&row](const auto& claim) { return claim.key == row.key; });
  auto claim = std::move(*found);
  group->claims.erase(found);
  group->transaction_id = next_id(*it);
  forget(*it, claim);
  claim.done(parse_claim(row.value, claim.claim.claimant));
}

void read_conflict(const state_ptr& it, const group_ptr& group) {
  const auto weak = std::weak_ptr(it);
  it->stores.table.read(group->conflicts.back(),
                        [weak, group](absl::StatusOr<table_row> row) {
                          const auto self = weak.lock();
                          if (!self) return;
                          if (!row.ok()) return call_failed(self, group);
                          group->conflicts.pop_back();
                          if (row->version == 0) {
                            // The row was deleted in between: claim it again.
                            group->transaction_id = next_id(*self);
                            return call_succeeded(self, group);
                          }
                          settle(self, group, *row);
                          call_succeeded(self, group);
                        });
}

void run_group(const state_ptr& it, const group_ptr& group) {
  if (group->waiting) return;
  if (group->claims.empty()) return remove_group(*it, group);
  group->waiting = true;
  if (!group->conflicts.empty()) return read_conflict(it, group);
  commit(it, group);
}

/// Starts a group with the oldest claims whose keys are not under way.
void start_group(claim_writer::state& it) {
  auto group = std::make_shared<claim_group>(
      it.options, it.options.random_seed + it.names_used);
  group->transaction_id = next_id(it);
  auto left = std::deque<pending_claim>();
  for (auto& claim : it.queue) {
    const auto full = group->claims.size() >= max_group_claims;
    if (full || !it.busy.insert(claim.key).second) {
      left.push_back(std::move(claim));
      continue;
    }
    group->claims.push_back(std::move(claim));
  }
  it.queue = std::move(left);
  if (!group->claims.empty()) it.groups.push_back(std::move(group));
}

}  // namespace

claim_writer::claim_writer(platform_stores stores, recorder_options options)
    : state_(std::make_shared<state>()) {
  state_->stores = std::move(stores);
  state_->options = std::move(options);
}

void claim_writer::add(claim_record claim, callback<claim_outcome> done) {
  ++state_->size;
  state_->bytes += claim.value.size();
  auto key = claim_key(claim.kind, claim.subject);
  state_->queue.push_back({std::move(claim), std::move(key), std::move(done)});
}

void claim_writer::tick(instant now) {
  state_->now = now;
  const auto full = state_->queue.size() >= max_group_claims;
  const auto due = full || now >= state_->next_group;
  const auto free = state_->groups.size() < max_claim_groups;
  if (!state_->queue.empty() && due && free) {
    state_->next_group = now + state_->options.claim_interval;
    start_group(*state_);
  }
  const auto groups = state_->groups;
  for (const auto& it : groups) {
    if (it->retry.ready(now)) run_group(state_, it);
  }
}

std::size_t claim_writer::size() const {
  return state_->size;
}

std::size_t claim_writer::bytes() const {
  return state_->bytes;
}

}  // namespace fulmar::detail
