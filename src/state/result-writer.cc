#include "fulmarpitch/state/result-writer.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

#include "fulmarpitch/core/text.h"
#include "fulmarpitch/state/backoff.h"

namespace fulmar::detail {
namespace {

/// What the group under way does next.
enum class group_step { idle, put_object, read_head, commit };

struct pending_result {
  result_record record;
  std::vector<callback<recorded>> done;
};

struct result_group {
  std::vector<std::string> ids;
  /// The data centre that the ids name; its row numbers the group.
  std::string data_centre;
  std::string object;
  std::string bytes;
  /// Unique numbers of the ids, by the minute of their requests.
  std::map<std::uint64_t, std::string> minutes;
  table_transaction transaction;
  std::uint64_t sequence = 0;
};

}  // namespace

struct result_writer::state {
  state(platform_stores its_stores, recorder_options its_options)
      : stores(std::move(its_stores)),
        options(std::move(its_options)),
        retry(options.first_retry, options.longest_retry, options.random_seed) {
  }

  platform_stores stores;
  recorder_options options;
  backoff retry;
  std::unordered_map<std::string, pending_result> pending;
  std::deque<std::string> queue;
  result_group group;
  group_step step = group_step::idle;
  bool waiting = false;
  instant now{};
  instant next_group{};
  std::uint64_t names_used = 0;
  std::size_t bytes = 0;
};

namespace {

using state_ptr = std::shared_ptr<result_writer::state>;

void run_step(const state_ptr& it);

std::string next_name(result_writer::state& it) {
  return concat(it.options.name, '-', it.names_used++);
}

/// Ends a call: notes a failure, or goes on with another step.
void after_call(const state_ptr& it, bool succeeded, group_step next) {
  it->waiting = false;
  if (!succeeded) {
    it->retry.failed(it->now);
    return;
  }
  it->retry.succeeded();
  it->step = next;
  run_step(it);
}

std::string object_name(result_writer::state& it) {
  return concat("results/", key_part(it.options.data_centre), '/',
                next_name(it));
}

void put_object(const state_ptr& it) {
  const auto weak = std::weak_ptr(it);
  it->stores.objects.put_if_absent(
      it->group.object, it->group.bytes, [weak](absl::StatusOr<bool> put) {
        const auto self = weak.lock();
        if (!self) return;
        if (!put.ok()) return after_call(self, false, self->step);
        if (*put) return after_call(self, true, group_step::read_head);
        self->group.object = object_name(*self);
        after_call(self, true, group_step::put_object);
      });
}

/// Builds the transaction that gives the group the next number. Only one group
/// of a data centre can have it, whichever recorder writes.
void build_transaction(result_writer::state& it, const table_row& head) {
  auto& group = it.group;
  group.sequence = head.value.empty() ? 1 : std::stoull(head.value) + 1;
  group.transaction = {.id = next_name(it)};
  group.transaction.conditions.push_back({head.key, head.version});
  group.transaction.writes.push_back({head.key, concat(group.sequence)});
  for (const auto& [minute, ids] : group.minutes) {
    group.transaction.writes.push_back(
        {result_row_key(group.data_centre, minute, group.sequence),
         concat(group.object, '\n', ids)});
  }
}

void read_head(const state_ptr& it) {
  const auto weak = std::weak_ptr(it);
  it->stores.table.read(result_head_key(it->group.data_centre),
                        [weak](absl::StatusOr<table_row> row) {
                          const auto self = weak.lock();
                          if (!self) return;
                          if (!row.ok())
                            return after_call(self, false, self->step);
                          build_transaction(*self, *row);
                          after_call(self, true, group_step::commit);
                        });
}

void finish_group(const state_ptr& it) {
  const auto group = std::exchange(it->group, {});
  auto calls = std::vector<callback<recorded>>();
  for (const auto& id : group.ids) {
    const auto found = it->pending.find(id);
    for (auto& done : found->second.done)
      calls.push_back(std::move(done));
    it->bytes -= found->second.record.body.size();
    it->pending.erase(found);
  }
  for (const auto& done : calls)
    done(recorded{.sequence = group.sequence});
}

void commit_group(const state_ptr& it) {
  const auto weak = std::weak_ptr(it);
  it->stores.table.commit(
      it->group.transaction, [weak](absl::StatusOr<commit_result> result) {
        const auto self = weak.lock();
        if (!self) return;
        // An unknown outcome is settled by the same transaction, sent again.
        if (!result.ok()) return after_call(self, false, self->step);
        if (!result->committed) {
          return after_call(self, true, group_step::read_head);
        }
        after_call(self, true, group_step::idle);
        finish_group(self);
      });
}

void run_step(const state_ptr& it) {
  if (it->step == group_step::idle || it->waiting) return;
  it->waiting = true;
  switch (it->step) {
    case group_step::put_object:
      return put_object(it);
    case group_step::read_head:
      return read_head(it);
    case group_step::commit:
      return commit_group(it);
    case group_step::idle:
      return;
  }
}

bool fits(const result_group& group, const request_id_parts& parts) {
  if (group.ids.empty()) return true;
  if (group.data_centre != parts.data_centre) return false;
  if (group.ids.size() >= max_group_results) return false;
  if (group.bytes.size() >= max_group_bytes) return false;
  return group.minutes.size() < max_group_minutes ||
         group.minutes.count(parts.minute) > 0;
}

void add_to_group(result_writer::state& it, const std::string& id,
                  const request_id_parts& parts) {
  append_result(it.pending.at(id).record, it.group.bytes);
  it.group.data_centre = parts.data_centre;
  it.group.minutes[parts.minute] += hex(parts.unique);
  it.group.ids.push_back(id);
}

/// Starts a group with the oldest results that fit into it.
void start_group(result_writer::state& it) {
  it.group.object = object_name(it);
  auto left = std::deque<std::string>();
  for (auto& id : it.queue) {
    const auto parts = parse_request_id(id);
    if (fits(it.group, *parts)) {
      add_to_group(it, id, *parts);
    } else {
      left.push_back(std::move(id));
    }
  }
  it.queue = std::move(left);
  it.step = group_step::put_object;
}

}  // namespace

result_writer::result_writer(platform_stores stores, recorder_options options)
    : state_(std::make_shared<state>(std::move(stores), std::move(options))) {}

void result_writer::add(result_record record, callback<recorded> done) {
  const auto [it, added] = state_->pending.try_emplace(record.request_id);
  it->second.done.push_back(std::move(done));
  if (!added) return;
  state_->bytes += record.body.size();
  state_->queue.push_back(record.request_id);
  it->second.record = std::move(record);
}

void result_writer::tick(instant now) {
  state_->now = now;
  const auto idle = state_->step == group_step::idle;
  if (idle && !state_->queue.empty() && now >= state_->next_group) {
    state_->next_group = now + state_->options.result_interval;
    start_group(*state_);
  }
  if (state_->retry.ready(now)) run_step(state_);
}

const result_record* result_writer::find(const std::string& request_id) const {
  const auto it = state_->pending.find(request_id);
  return it == state_->pending.end() ? nullptr : &it->second.record;
}

std::size_t result_writer::size() const {
  return state_->pending.size();
}

std::size_t result_writer::bytes() const {
  return state_->bytes;
}

}  // namespace fulmar::detail
