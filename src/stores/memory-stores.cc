#include "fulmarpitch/stores/memory-stores.h"

#include <algorithm>
#include <utility>

#include "fulmarpitch/core/errors.h"

namespace fulmar {
namespace detail {
namespace {

/// What becomes of one call.
enum class call_fault { none, fail_before, lose_reply, late_effect };

absl::Status unavailable() {
  return make_error(error_code::store_unavailable, "the store did not answer",
                    outcome::unknown);
}

bool in_outage(const memory_stores& state, instant at) {
  return std::any_of(
      state.plan.outages.begin(), state.plan.outages.end(),
      [at](const store_outage& it) { return it.from <= at && at < it.until; });
}

call_fault draw_fault(memory_stores& state) {
  const auto& plan = state.plan;
  auto n = static_cast<std::uint32_t>(state.random() % 1000);
  if (n < plan.fail_before_per_mille) return call_fault::fail_before;
  n -= plan.fail_before_per_mille;
  if (n < plan.lose_reply_per_mille) return call_fault::lose_reply;
  n -= plan.lose_reply_per_mille;
  if (n < plan.late_effect_per_mille) return call_fault::late_effect;
  return call_fault::none;
}

instant draw_span(memory_stores& state, instant least, instant most) {
  if (most <= least) return least;
  const auto width = static_cast<std::uint64_t>((most - least).count()) + 1;
  return least + instant(static_cast<std::int64_t>(state.random() % width));
}

instant draw_delay(memory_stores& state) {
  return draw_span(state, state.plan.least_delay, state.plan.most_delay);
}

bool refuse_in_outage(memory_stores& state) {
  if (!in_outage(state, state.now)) return false;
  ++state.counts.refused_in_outage;
  return true;
}

/// Runs a call at once, in the synchronous mode.
template <typename T, typename Effect>
void run_now(memory_stores& state, const Effect& effect,
             const callback<T>& done) {
  if (refuse_in_outage(state)) return done(unavailable());
  const auto fault = draw_fault(state);
  if (fault == call_fault::fail_before) {
    ++state.counts.failed_before;
    return done(unavailable());
  }
  auto result = effect(state);
  if (fault == call_fault::none) return done(std::move(result));
  ++state.counts.replies_lost;
  done(unavailable());
}

template <typename T>
void reply_later(memory_stores& state, absl::StatusOr<T> result,
                 callback<T> done) {
  const auto at = state.now + draw_delay(state);
  state.scheduled.emplace(
      at, [&state, result = std::move(result), done = std::move(done)] {
        if (!in_outage(state, state.now)) return done(result);
        ++state.counts.replies_lost;
        done(unavailable());
      });
}

/// Lets the caller see a failure before the call takes effect.
template <typename T, typename Effect>
void run_late(memory_stores& state, const Effect& effect, callback<T> done) {
  ++state.counts.late_effects;
  const auto lateness = draw_span(state, instant(1), state.plan.most_lateness);
  const auto at = state.now + state.plan.most_delay + lateness;
  state.scheduled.emplace(at, [&state, effect] { (void)effect(state); });
  reply_later<T>(state, unavailable(), std::move(done));
}

template <typename T, typename Effect>
void arrive(memory_stores& state, const Effect& effect, callback<T> done) {
  if (refuse_in_outage(state)) {
    return reply_later<T>(state, unavailable(), std::move(done));
  }
  switch (draw_fault(state)) {
    case call_fault::fail_before:
      ++state.counts.failed_before;
      return reply_later<T>(state, unavailable(), std::move(done));
    case call_fault::lose_reply:
      ++state.counts.replies_lost;
      (void)effect(state);
      return reply_later<T>(state, unavailable(), std::move(done));
    case call_fault::late_effect:
      return run_late<T>(state, effect, std::move(done));
    case call_fault::none:
      return reply_later<T>(state, effect(state), std::move(done));
  }
}

template <typename T, typename Effect>
void start_call(memory_stores& state, Effect effect, callback<T> done) {
  if (state.plan.synchronous) return run_now<T>(state, effect, done);
  const auto at = state.now + draw_delay(state);
  state.scheduled.emplace(at, [&state, effect = std::move(effect),
                               done = std::move(done)]() mutable {
    arrive<T>(state, effect, std::move(done));
  });
}

std::uint64_t version_of(const memory_stores& state, const std::string& key) {
  const auto it = state.rows.find(key);
  return it == state.rows.end() ? 0 : it->second.version;
}

absl::Status check_size(const table_transaction& transaction) {
  const auto n = transaction.conditions.size() + transaction.writes.size();
  if (transaction.id.empty()) {
    return make_error(error_code::bad_request, "the transaction has no id");
  }
  if (n > max_transaction_rows) {
    return make_error(error_code::too_large, "the transaction has many rows");
  }
  for (const auto& it : transaction.writes) {
    if (it.value && it.value->size() > max_row_bytes) {
      return make_error(error_code::too_large, "a row's value is too large");
    }
  }
  return absl::OkStatus();
}

void apply_write(memory_stores& state, const row_write& write) {
  if (!write.value) {
    state.rows.erase(write.key);
    return;
  }
  // Versions are drawn from one counter, so that a row that was deleted and
  // written again never shows an earlier version.
  state.rows[write.key] = {write.key, *write.value, ++state.last_version};
}

absl::StatusOr<commit_result> apply_transaction(
    memory_stores& state, const table_transaction& transaction) {
  ++state.counts.commits;
  if (auto status = check_size(transaction); !status.ok()) return status;
  if (state.committed_ids.count(transaction.id) > 0) {
    return commit_result{.committed = true};
  }
  auto result = commit_result();
  for (const auto& it : transaction.conditions) {
    if (version_of(state, it.key) != it.version) {
      result.conflicts.push_back(it.key);
    }
  }
  if (!result.conflicts.empty()) {
    ++state.counts.conflicts;
    return result;
  }
  for (const auto& it : transaction.writes)
    apply_write(state, it);
  state.committed_ids.insert(transaction.id);
  result.committed = true;
  return result;
}

absl::StatusOr<table_row> read_row(memory_stores& state,
                                   const std::string& key) {
  ++state.counts.reads;
  const auto it = state.rows.find(key);
  if (it == state.rows.end()) return table_row{.key = key};
  return it->second;
}

/// Finds the first entry with the prefix that sorts after `after`.
template <typename Map>
auto first_match(const Map& map, const std::string& prefix,
                 const std::string& after) {
  return after < prefix ? map.lower_bound(prefix) : map.upper_bound(after);
}

/// Collects one page of entries with a prefix.
template <typename T, typename Map, typename Project>
std::vector<T> page_of(const Map& map, const std::string& prefix,
                       const std::string& after, std::size_t limit,
                       Project project) {
  auto out = std::vector<T>();
  for (auto it = first_match(map, prefix, after);
       it != map.end() && out.size() < limit && it->first.starts_with(prefix);
       ++it) {
    out.push_back(project(*it));
  }
  return out;
}

absl::StatusOr<bool> put_object(memory_stores& state, const std::string& name,
                                const std::string& bytes) {
  ++state.counts.puts;
  const auto [it, added] = state.objects.emplace(name, bytes);
  return added || it->second == bytes;
}

absl::StatusOr<std::string> get_object(memory_stores& state,
                                       const std::string& name) {
  ++state.counts.gets;
  const auto it = state.objects.find(name);
  if (it != state.objects.end()) return it->second;
  return make_error(error_code::not_found, "no such object");
}

}  // namespace
}  // namespace detail

std::shared_ptr<memory_stores> make_memory_stores(store_fault_plan plan) {
  auto state = std::make_shared<memory_stores>();
  state->random.seed(plan.seed);
  state->plan = std::move(plan);
  return state;
}

table_store make_table_store(const std::shared_ptr<memory_stores>& state) {
  auto store = table_store();
  store.commit = [state](table_transaction transaction,
                         callback<commit_result> done) {
    detail::start_call<commit_result>(
        *state,
        [transaction = std::move(transaction)](memory_stores& it) {
          return detail::apply_transaction(it, transaction);
        },
        std::move(done));
  };
  store.read = [state](std::string key, callback<table_row> done) {
    detail::start_call<table_row>(
        *state,
        [key = std::move(key)](memory_stores& it) {
          return detail::read_row(it, key);
        },
        std::move(done));
  };
  store.scan = [state](const std::string& prefix, const std::string& after,
                       std::size_t limit,
                       callback<std::vector<table_row>> done) {
    detail::start_call<std::vector<table_row>>(
        *state,
        [=](memory_stores& it) -> absl::StatusOr<std::vector<table_row>> {
          ++it.counts.scans;
          return detail::page_of<table_row>(
              it.rows, prefix, after, limit,
              [](const auto& entry) { return entry.second; });
        },
        std::move(done));
  };
  return store;
}

object_store make_object_store(const std::shared_ptr<memory_stores>& state) {
  auto store = object_store();
  store.put_if_absent = [state](std::string name, std::string bytes,
                                callback<bool> done) {
    detail::start_call<bool>(
        *state,
        [name = std::move(name), bytes = std::move(bytes)](memory_stores& it) {
          return detail::put_object(it, name, bytes);
        },
        std::move(done));
  };
  store.get = [state](std::string name, callback<std::string> done) {
    detail::start_call<std::string>(
        *state,
        [name = std::move(name)](memory_stores& it) {
          return detail::get_object(it, name);
        },
        std::move(done));
  };
  store.list = [state](const std::string& prefix, const std::string& after,
                       std::size_t limit,
                       callback<std::vector<std::string>> done) {
    detail::start_call<std::vector<std::string>>(
        *state,
        [=](memory_stores& it) -> absl::StatusOr<std::vector<std::string>> {
          ++it.counts.lists;
          return detail::page_of<std::string>(
              it.objects, prefix, after, limit,
              [](const auto& entry) { return entry.first; });
        },
        std::move(done));
  };
  return store;
}

std::size_t deliver(memory_stores& state, instant now) {
  auto n = std::size_t{0};
  while (!state.scheduled.empty()) {
    const auto it = state.scheduled.begin();
    if (it->first > now) break;
    state.now = std::max(state.now, it->first);
    const auto run = std::move(it->second);
    state.scheduled.erase(it);
    run();
    ++n;
  }
  state.now = std::max(state.now, now);
  return n;
}

pending_calls_scope::pending_calls_scope(std::shared_ptr<memory_stores> state)
    : state_(std::move(state)) {}

pending_calls_scope::~pending_calls_scope() {
  auto dropped = std::exchange(state_->scheduled, {});
}

}  // namespace fulmar
