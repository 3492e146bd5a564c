#include "fulmarpitch/core/orders.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/text.h"
#include "order-machine.h"

namespace fulmar {
namespace {

using detail::order_phase;
using detail::order_step;

// A target with its order. One store call and one engine call are out at most.
struct target_slot {
  engine_order order;
  std::optional<engine_order> next;
  detail::order_machine machine;
  lease_watch watch;
  std::optional<held_lease> lease;
  /// The row as last read.
  order_row row;
  /// An older order that the engine may still be carrying out.
  std::optional<engine_order> unsettled;
  order_progress end = order_progress::done;
  bool store_busy = false;
  bool engine_busy = false;
  /// The engine call that is out was made under an earlier lease.
  bool engine_stale = false;
  bool must_read = true;
  bool sent = false;
  instant next_try{};
  /// The last write: its transaction, its beat and when it was sent.
  std::string transaction_id;
  std::uint64_t written_beat = 0;
  instant written_at{};
};

bool is_load(order_kind kind) {
  return kind != order_kind::set_role;
}

bool is_final(order_progress progress) {
  return progress != order_progress::none &&
         progress != order_progress::started;
}

}  // namespace

struct order_runner::state {
  order_options options;
  std::map<std::string, target_slot> slots;
  std::vector<order_command> out;
  instant next_load{};
  std::uint64_t transactions = 0;

  bool is_own(const lease_record& lease) const {
    return lease.holder == options.holder &&
           lease.holder_start == options.holder_start;
  }

  void wait(target_slot& slot, instant now) const {
    slot.next_try = now + options.retry_after;
  }

  // ---- Events

  void on_row(target_slot& slot, const row_event& event, instant now) {
    slot.store_busy = false;
    if (!event.ok) return wait(slot, now);
    auto row = event.row.version == 0 ? std::optional<order_row>(order_row())
                                      : parse_order_row(event.row.value);
    if (!row) return wait(slot, now);
    slot.must_read = false;
    slot.row = *row;
    observe(slot.watch, event.row.version, now);
    if (settled(slot)) return;
    if (is_own(slot.row.lease)) {
      adopt(slot, event.row.version);
    } else {
      lose(slot);
    }
  }

  // Tells whether the row says that the order is over.
  bool settled(target_slot& slot) {
    const auto& row = slot.row;
    if (row.order.number < slot.order.number) return false;
    auto same = row.order.number == slot.order.number;
    if (same && !is_final(row.progress)) return false;
    auto how = same ? row.progress : order_progress::superseded;
    out.emplace_back(order_ended_command{slot.order, how});
    if (slot.next) {
      begin(slot, *std::exchange(slot.next, std::nullopt));
    } else {
      slot.order.target.clear();
    }
    return true;
  }

  void begin(target_slot& slot, engine_order order) const {
    slot.order = std::move(order);
    slot.machine = detail::order_machine();
    slot.unsettled.reset();
    slot.sent = false;
    slot.must_read = true;
  }

  // Only a write whose sending time is known extends the lease.
  void adopt(target_slot& slot, std::uint64_t version) {
    const auto& record = slot.row.lease;
    if (record.beat == slot.written_beat) {
      slot.lease = held_lease{.record = record,
                              .row_version = version,
                              .written_at = slot.written_at};
    } else if (slot.lease) {
      slot.lease->row_version = version;
    }
    if (!slot.lease) return;
    auto phase = slot.machine.phase();
    auto recorded = slot.row.order.number == slot.order.number &&
                    slot.row.progress == order_progress::started;
    if (phase == order_phase::waiting) {
      if (slot.row.progress == order_progress::started && !recorded) {
        slot.unsettled = slot.row.order;
      }
      slot.machine.apply(order_step::lease_taken);
    } else if (phase == order_phase::starting && recorded) {
      slot.machine.apply(order_step::start_recorded);
      slot.sent = false;
    }
  }

  void lose(target_slot& slot) const {
    slot.lease.reset();
    slot.engine_stale = slot.engine_busy;
    slot.machine.apply(order_step::lease_lost);
  }

  void on_commit(target_slot& slot, const commit_event& event) const {
    if (event.transaction_id != slot.transaction_id) return;
    slot.store_busy = false;
    slot.must_read = true;
  }

  // Notes that the engine call came back.
  bool is_stale(target_slot& slot) const {
    slot.engine_busy = false;
    return std::exchange(slot.engine_stale, false);
  }

  void on_engine(target_slot& slot, const engine_event& event, instant now) {
    if (is_stale(slot)) return;
    if (slot.machine.phase() != order_phase::checking) return;
    auto idle = event.effect == engine_effect::absent ||
                event.effect == engine_effect::present;
    if (!idle) return wait(slot, now);
    if (slot.unsettled) {
      slot.unsettled.reset();
      return;
    }
    slot.end = order_progress::done;
    slot.machine.apply(event.effect == engine_effect::present
                           ? order_step::effect_present
                           : order_step::effect_absent);
  }

  void on_reply(target_slot& slot, const reply_event& event) const {
    if (is_stale(slot)) return;
    if (slot.machine.phase() != order_phase::executing) return;
    switch (event.reply) {
      case engine_reply::done:
        slot.end = order_progress::done;
        slot.machine.apply(order_step::engine_done);
        break;
      case engine_reply::failed:
        slot.end = order_progress::failed;
        slot.machine.apply(order_step::engine_failed);
        break;
      case engine_reply::refused_fenced:
        lose(slot);
        slot.must_read = true;
        break;
      case engine_reply::unanswered:
        slot.machine.apply(order_step::reply_lost);
        break;
    }
  }

  // ---- Commands

  void read(target_slot& slot) {
    slot.store_busy = true;
    out.emplace_back(read_row_command{slot.order.target});
  }

  void write(target_slot& slot, order_row row, std::uint64_t version,
             instant now) {
    row.lease.beat = slot.row.lease.beat + 1;
    slot.store_busy = true;
    slot.written_at = now;
    slot.written_beat = row.lease.beat;
    slot.transaction_id =
        concat(options.holder, '/', options.holder_start, '/', ++transactions);
    auto key = order_row_key(slot.order.target);
    out.emplace_back(
        commit_row_command{slot.order.target,
                           {.id = slot.transaction_id,
                            .conditions = {{key, version}},
                            .writes = {{key, format_order_row(row)}}}});
  }

  void take(target_slot& slot, instant now) {
    auto row = slot.row;
    row.lease = {.holder = options.holder,
                 .holder_start = options.holder_start,
                 .fencing_number = slot.row.lease.fencing_number + 1};
    write(slot, row, slot.watch.row_version, now);
  }

  void record(target_slot& slot, order_progress progress, instant now) {
    auto row = slot.row;
    row.order = slot.order;
    row.progress = progress;
    write(slot, row, slot.lease->row_version, now);
  }

  void ask_engine(target_slot& slot) {
    slot.engine_busy = true;
    out.emplace_back(read_engine_command{slot.order.target,
                                         slot.unsettled.value_or(slot.order)});
  }

  void send(target_slot& slot, instant now) {
    ensure(slot.lease && may_act(*slot.lease, options.lease, now),
           invariant::one_engine_order, "an order leaves without a lease");
    slot.engine_busy = true;
    slot.sent = true;
    out.emplace_back(
        send_order_command{slot.order, slot.lease->record.fencing_number,
                           acts_until(*slot.lease, options.lease)});
  }

  void pace(target_slot& slot, instant now) {
    if (is_load(slot.order.kind)) {
      if (now < next_load) return;
      next_load = now + instant(std::chrono::minutes(1)) /
                            std::max(1U, options.loads_per_minute);
    }
    slot.machine.apply(order_step::load_allowed);
  }

  void step(target_slot& slot, instant now) {
    if (slot.lease && !may_act(*slot.lease, options.lease, now)) lose(slot);
    if (now < slot.next_try) return;
    if (slot.must_read) {
      if (!slot.store_busy) read(slot);
      return;
    }
    if (!slot.lease) return seek_lease(slot, now);
    if (slot.machine.phase() == order_phase::pacing) pace(slot, now);
    if (!slot.store_busy) write_next(slot, now);
    if (!slot.engine_busy) engine_next(slot, now);
  }

  void seek_lease(target_slot& slot, instant now) {
    if (slot.store_busy) return;
    if (may_take(slot.watch, options.lease, now)) return take(slot, now);
    slot.must_read = true;
    wait(slot, now);
  }

  void write_next(target_slot& slot, instant now) {
    auto phase = slot.machine.phase();
    if (phase == order_phase::starting) {
      record(slot, order_progress::started, now);
    } else if (phase == order_phase::ending) {
      record(slot, slot.end, now);
    } else if (should_renew(*slot.lease, options.lease, now)) {
      write(slot, slot.row, slot.lease->row_version, now);
    }
  }

  void engine_next(target_slot& slot, instant now) {
    auto phase = slot.machine.phase();
    if (phase == order_phase::checking) ask_engine(slot);
    if (phase == order_phase::executing && !slot.sent) send(slot, now);
  }

  target_slot* find(const std::string& target) {
    auto it = slots.find(target);
    return it == slots.end() ? nullptr : &it->second;
  }
};

order_runner::order_runner(order_options options)
    : state_(std::make_unique<state>()) {
  state_->options = std::move(options);
}
order_runner::~order_runner() = default;
order_runner::order_runner(order_runner&&) noexcept = default;
order_runner& order_runner::operator=(order_runner&&) noexcept = default;

void order_runner::submit(engine_order order) {
  auto& slot = state_->slots[order.target];
  if (slot.order.target.empty()) {
    state_->begin(slot, std::move(order));
    return;
  }
  auto latest = slot.next ? slot.next->number : slot.order.number;
  if (order.number > latest) slot.next = std::move(order);
}

void order_runner::drop(const std::string& target) {
  state_->slots.erase(target);
}

void order_runner::apply(const order_event& event, instant now) {
  auto& self = *state_;
  std::visit(
      [&](const auto& it) {
        using kind = std::decay_t<decltype(it)>;
        auto* slot = self.find(it.target);
        if (slot == nullptr || slot->order.target.empty()) return;
        if constexpr (std::is_same_v<kind, row_event>) {
          self.on_row(*slot, it, now);
        } else if constexpr (std::is_same_v<kind, commit_event>) {
          self.on_commit(*slot, it);
        } else if constexpr (std::is_same_v<kind, engine_event>) {
          self.on_engine(*slot, it, now);
        } else {
          self.on_reply(*slot, it);
        }
      },
      event);
}

std::vector<order_command> order_runner::tick(instant now) {
  for (auto& [target, slot] : state_->slots) {
    if (!slot.order.target.empty()) state_->step(slot, now);
  }
  std::erase_if(state_->slots, [](const auto& row) {
    const auto& slot = row.second;
    auto busy = slot.store_busy || slot.engine_busy;
    return slot.order.target.empty() && !busy;
  });
  return std::exchange(state_->out, {});
}

std::size_t order_runner::open() const {
  return state_->slots.size();
}

}  // namespace fulmar
