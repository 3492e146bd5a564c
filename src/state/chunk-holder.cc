#include <unordered_map>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/state/backoff.h"
#include "fulmarpitch/state/chunk-lease.h"

namespace fulmar {
namespace detail {
namespace {

/// What the holder does next with the stores, one call at a time.
enum class hold_step {
  lease,
  confirm,
  read_items,
  idle,
  renew,
  put_output,
  commit,
  release
};

}  // namespace
}  // namespace detail

struct chunk_holder::state {
  state(platform_stores its_stores, chunk_options its_options,
        chunk_candidate its_candidate)
      : stores(std::move(its_stores)),
        options(std::move(its_options)),
        candidate(std::move(its_candidate)),
        retry(options.first_retry, options.longest_retry, options.random_seed) {
  }

  platform_stores stores;
  chunk_options options;
  chunk_candidate candidate;
  backoff retry;
  lease_machine machine;
  detail::hold_step step = detail::hold_step::lease;
  bool waiting = false;
  /// The write under way; sent again unchanged until its outcome is known.
  std::optional<table_transaction> transaction;
  std::optional<std::vector<batch_item>> items;
  std::string output;
  bool has_output = false;
  /// Counts of the output, for the chunk's last write.
  chunk_info counts;
  bool wants_hand_back = false;
  bool cancelled = false;
  bool checking = false;
  instant next_check{};
  instant now{};
  std::uint64_t transactions = 0;
};

namespace {

using detail::hold_step;
using state_ptr = std::shared_ptr<chunk_holder::state>;

void run_step(const state_ptr& it);

void call_failed(chunk_holder::state& it) {
  it.waiting = false;
  it.retry.failed(it.now);
}

void go_on(const state_ptr& it, hold_step next) {
  it->waiting = false;
  it->retry.succeeded();
  it->step = next;
  run_step(it);
}

void end(chunk_holder::state& it, lease_event event) {
  it.waiting = false;
  it.step = hold_step::idle;
  it.machine.apply(event);
}

std::string chunk_row_key(const chunk_holder::state& it) {
  return detail::chunk_key(it.candidate.job, it.candidate.chunk.number);
}

std::string output_name(const chunk_candidate& at) {
  return concat("outputs/", detail::chunk_key(at.job, at.chunk.number), '-',
                at.chunk.fence);
}

/// Builds a write of the chunk's row that only the holder's version allows.
table_transaction conditional_write(chunk_holder::state& it,
                                    const chunk_info& chunk) {
  const auto key = chunk_row_key(it);
  const auto number = it.transactions++;
  return {
      .id = concat(it.options.holder, '/', key, '/', chunk.fence, '/', number),
      .conditions = {{key, it.candidate.chunk.version}},
      .writes = {{key, detail::chunk_value(chunk)}}};
}

/// Sends the transaction under way until its outcome is known.
void settle(const state_ptr& it, const std::function<void(bool)>& then) {
  const auto weak = std::weak_ptr(it);
  it->stores.table.commit(
      *it->transaction,
      [weak, then](const absl::StatusOr<commit_result>& result) {
        const auto self = weak.lock();
        if (!self) return;
        if (!result.ok()) return call_failed(*self);
        self->transaction.reset();
        then(result->committed);
      });
}

chunk_info leased_chunk(const chunk_holder::state& it) {
  auto out = it.candidate.chunk;
  out.state = chunk_state::leased;
  out.holder = it.options.holder;
  out.until = it.now + it.options.lease_length;
  return out;
}

void lease(const state_ptr& it) {
  if (!it->transaction) {
    auto chunk = leased_chunk(*it);
    ++chunk.fence;
    it->transaction = conditional_write(*it, chunk);
    const auto& job = it->candidate.job;
    it->transaction->conditions.push_back(
        {detail::job_key(job.caller, job.id), job.version});
  }
  settle(it, [weak = std::weak_ptr(it)](bool committed) {
    const auto self = weak.lock();
    if (!committed) return end(*self, lease_event::refused);
    ++self->candidate.chunk.fence;
    go_on(self, hold_step::confirm);
  });
}

/// Takes over the row's version, when the lease is still this holder's.
void take_row(const state_ptr& it, const table_row& row) {
  const auto chunk = detail::parse_chunk_row(row);
  const auto mine = chunk.ok() && chunk->state == chunk_state::leased &&
                    chunk->holder == it->options.holder &&
                    chunk->fence == it->candidate.chunk.fence;
  if (!mine) {
    it->machine.apply(lease_event::refused);
    return end(*it, lease_event::fenced);
  }
  it->candidate.chunk = *chunk;
  if (it->machine.current() == lease_state::acquiring) {
    it->machine.apply(lease_event::granted);
  }
  go_on(it, it->items ? hold_step::idle : hold_step::read_items);
}

void confirm(const state_ptr& it) {
  const auto weak = std::weak_ptr(it);
  it->stores.table.read(chunk_row_key(*it),
                        [weak](const absl::StatusOr<table_row>& row) {
                          const auto self = weak.lock();
                          if (!self) return;
                          if (!row.ok()) return call_failed(*self);
                          take_row(self, *row);
                        });
}

void read_items(const state_ptr& it) {
  const auto weak = std::weak_ptr(it);
  const auto& at = it->candidate;
  it->stores.objects.get(chunk_object_name(at.job.file_id, at.chunk.number),
                         [weak](const absl::StatusOr<std::string>& bytes) {
                           const auto self = weak.lock();
                           if (!self) return;
                           if (!bytes.ok()) return call_failed(*self);
                           auto items = parse_chunk(*bytes);
                           if (!items.ok()) return call_failed(*self);
                           self->items = *std::move(items);
                           go_on(self, hold_step::idle);
                         });
}

void renew(const state_ptr& it) {
  if (!it->transaction) {
    it->transaction = conditional_write(*it, leased_chunk(*it));
  }
  settle(it, [weak = std::weak_ptr(it)](bool committed) {
    const auto self = weak.lock();
    if (!committed) return end(*self, lease_event::fenced);
    go_on(self, hold_step::confirm);
  });
}

void put_output(const state_ptr& it) {
  const auto weak = std::weak_ptr(it);
  it->stores.objects.put_if_absent(output_name(it->candidate), it->output,
                                   [weak](const absl::StatusOr<bool>& put) {
                                     const auto self = weak.lock();
                                     if (!self) return;
                                     if (!put.ok()) return call_failed(*self);
                                     if (!*put)
                                       return end(*self, lease_event::fenced);
                                     go_on(self, hold_step::commit);
                                   });
}

/// Writes the chunk's row for the last time under this lease.
void write_last(const state_ptr& it, chunk_state state) {
  if (!it->transaction) {
    auto chunk = it->candidate.chunk;
    chunk.state = state;
    if (state == chunk_state::committed) {
      chunk.object = output_name(it->candidate);
      chunk.completed = it->counts.completed;
      chunk.failed = it->counts.failed;
      chunk.cancelled = it->counts.cancelled;
    }
    chunk.holder.clear();
    chunk.until = {};
    it->transaction = conditional_write(*it, chunk);
  }
  settle(it, [weak = std::weak_ptr(it)](bool committed) {
    end(*weak.lock(), committed ? lease_event::written : lease_event::fenced);
  });
}

void run_step(const state_ptr& it) {
  if (it->waiting || it->step == hold_step::idle) return;
  it->waiting = true;
  switch (it->step) {
    case hold_step::lease:
      return lease(it);
    case hold_step::confirm:
      return confirm(it);
    case hold_step::read_items:
      return read_items(it);
    case hold_step::renew:
      return renew(it);
    case hold_step::put_output:
      return put_output(it);
    case hold_step::commit:
      return write_last(it, chunk_state::committed);
    case hold_step::release:
      return write_last(it, chunk_state::unleased);
    case hold_step::idle:
      return;
  }
}

/// Chooses the next step of a holder that waits for nothing.
void choose_step(chunk_holder::state& it) {
  if (it.step != hold_step::idle || it.waiting) return;
  const auto current = it.machine.current();
  if (current == lease_state::held) {
    const auto leased_at = it.candidate.chunk.until - it.options.lease_length;
    if (it.now >= leased_at + it.options.renew_after) {
      it.step = hold_step::renew;
    }
  }
  if (current == lease_state::committing && it.has_output) {
    it.has_output = false;
    it.step = hold_step::put_output;
  }
  if (current == lease_state::returning) it.step = hold_step::release;
}

void check_cancelled(const state_ptr& it) {
  const auto due = it->now >= it->next_check;
  if (it->checking || it->cancelled || !due) return;
  it->checking = true;
  it->next_check = it->now + it->options.cancel_check;
  const auto weak = std::weak_ptr(it);
  const auto& job = it->candidate.job;
  find_job(it->stores, job.caller, job.id,
           [weak](const absl::StatusOr<job_info>& found) {
             const auto self = weak.lock();
             if (!self) return;
             self->checking = false;
             if (!found.ok()) return;
             self->cancelled = found->state != job_state::open;
           });
}

/// Writes the output in the order of the items, each exactly once.
std::string join_output(const std::vector<batch_item>& items,
                        const std::vector<item_result>& results) {
  auto by_id = std::unordered_map<std::string_view, const item_result*>();
  for (const auto& it : results)
    by_id.emplace(it.custom_id, &it);
  const auto whole =
      by_id.size() == items.size() && results.size() == items.size();
  ensure(whole, invariant::one_result, "a chunk's results and items differ");
  auto out = std::string();
  for (const auto& it : items) {
    const auto found = by_id.find(it.custom_id);
    ensure(found != by_id.end(), invariant::one_result,
           "an item of a chunk has no result");
    const auto& result = *found->second;
    out += result.succeeded ? detail::output_mark : detail::error_mark;
    out += result.line;
    out += '\n';
  }
  return out;
}

void count_results(chunk_info& chunk, const std::vector<item_result>& results) {
  for (const auto& it : results) {
    if (it.cancelled) {
      ++chunk.cancelled;
    } else if (it.succeeded) {
      ++chunk.completed;
    } else {
      ++chunk.failed;
    }
  }
}

}  // namespace

chunk_holder::chunk_holder(platform_stores stores, chunk_options options,
                           chunk_candidate candidate, instant now)
    : state_(std::make_shared<state>(std::move(stores), std::move(options),
                                     std::move(candidate))) {
  state_->now = now;
  state_->next_check = now + state_->options.cancel_check;
  run_step(state_);
}

chunk_holder::~chunk_holder() = default;
chunk_holder::chunk_holder(chunk_holder&&) noexcept = default;
chunk_holder& chunk_holder::operator=(chunk_holder&&) noexcept = default;

lease_state chunk_holder::tick(instant now) {
  const auto it = state_;
  it->now = now;
  if (it->machine.current() == lease_state::held) {
    if (now >= it->candidate.chunk.until) {
      it->machine.apply(lease_event::lapsed);
    }
    if (it->wants_hand_back) it->machine.apply(lease_event::hand_back);
  }
  if (it->machine.current() == lease_state::held) check_cancelled(it);
  choose_step(*it);
  if (it->retry.ready(now)) run_step(it);
  return it->machine.current();
}

lease_state chunk_holder::current() const {
  return state_->machine.current();
}

const std::vector<batch_item>* chunk_holder::items() const {
  return state_->items ? &*state_->items : nullptr;
}

bool chunk_holder::may_start(instant now) const {
  const auto& it = *state_;
  return it.machine.current() == lease_state::held && it.items &&
         !it.cancelled && !it.wants_hand_back &&
         now < it.candidate.chunk.until - it.options.stop_before;
}

bool chunk_holder::cancelled() const {
  return state_->cancelled;
}

void chunk_holder::finish(const std::vector<item_result>& results) {
  auto& it = *state_;
  if (it.machine.current() != lease_state::held || !it.items) return;
  it.output = join_output(*it.items, results);
  it.has_output = true;
  count_results(it.counts, results);
  it.machine.apply(lease_event::finished);
}

void chunk_holder::hand_back() {
  state_->wants_hand_back = true;
}

const chunk_candidate& chunk_holder::candidate() const {
  return state_->candidate;
}

}  // namespace fulmar
