#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <set>

#include "order-fixture.h"

using namespace fulmar;
using namespace fulmar::order_test;

namespace {

constexpr std::size_t window = 12;
constexpr std::size_t entry_count = 4;

/// Each can be taken away, to see that the check notices.
struct safeguards {
  bool witness = true;
  bool seal = true;
  bool name_silent = true;
  bool fence = true;
};

/// What an entry was given to run.
struct delivery {
  std::string epoch;
  std::uint64_t number = 0;
  std::string line;
};

/// Entries, a sequencer that is lost or paused, and a store with outages.
class world {
 public:
  world(std::uint64_t seed, safeguards with) : random_(seed), with_(with) {
    auto start = epoch_start();
    start.pool = pool;
    start.epoch = {.number = 1, .incarnation = "0"};
    open(start);
  }

  void run(int steps) {
    for (auto i = 0; i < steps; ++i)
      step();
    store_up_ = true;
    succeed();
  }

  /// Records that an entry ran and that are neither stored nor in a hole.
  std::size_t hidden() const {
    auto stored_lines = std::set<std::string>();
    auto holes = std::vector<std::pair<std::string, record_hole>>();
    for (const auto& [name, bytes] : store_) {
      auto segment = std::get<order_segment>(decode_segment(bytes));
      for (const auto& line : segment.lines) {
        stored_lines.insert(line);
        auto record = std::get<order_record>(decode_record(line));
        const auto* close = std::get_if<close_detail>(&record.detail);
        if (close == nullptr) continue;
        for (const auto& it : close->holes)
          holes.emplace_back(to_text(segment.epoch), it);
      }
    }
    std::size_t out = 0;
    for (const auto& it : ran_) {
      auto names = [&](const auto& hole) {
        return hole.first == it.epoch && hole.second.from <= it.number &&
               it.number <= hole.second.to;
      };
      auto named = std::any_of(holes.begin(), holes.end(), names);
      if (!named && stored_lines.count(it.line) == 0) ++out;
    }
    return out;
  }

  audit_report audit() const { return audit_of(store_, {.window = window}); }

  bool double_loss() const { return double_loss_; }

 private:
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }

  std::string name_of(std::size_t i) const { return std::to_string(i); }

  void open(const epoch_start& start) {
    auto from = start;
    from.owner = name_of(owner_);
    now_ += instant(1);
    log_ = std::make_shared<order_log>(
        order_log_options{.start = from,
                          .window = window,
                          .limits = {.records = 3, .interval = instant(20)}},
        writer(), now_);
    epoch_ = from.epoch;
    opening_ = log_->opening_line();
  }

  append_segment writer() {
    return [this](const std::string& name, const std::string& bytes,
                  const std::function<void(absl::Status)>& done) {
      auto lost = make_error(error_code::store_unavailable, "down");
      auto fate = draw(10);
      if (!store_up_ || fate == 0) return done(lost);
      if (fate == 1) {
        late_ = stored_segment{name, bytes};
        return done(lost);
      }
      auto ok = put_if_absent(store_, name, bytes);
      if (!ok && !with_.fence) store_[name + "x"] = bytes;
      // The write took effect, its answer is lost.
      if (fate == 2) return done(lost);
      done(segment_status(ok));
    };
  }

  void step() {
    now_ += instant(static_cast<std::int64_t>(1 + draw(5)));
    log_->tick(now_);
    switch (auto it = draw(100); it) {
      case 0:
      case 1:
        return succeed();
      case 2:
        return lose_entry(draw(entry_count));
      case 3:
        return pause_owner();
      case 4:
      case 5:
        store_up_ = !store_up_;
        return;
      case 6:
        return land_late();
      default:
        return admit(*log_, false);
    }
  }

  /// Lets the log admit something to an entry; `cut_off` names the one entry
  /// that a paused owner still reaches.
  void admit(order_log& log, bool lost_on_the_way,
             std::optional<std::size_t> cut_off = {}) {
    if (!log.may_admit()) return;
    auto to = cut_off.value_or(draw(entry_count));
    auto command = make_command(log.last_number() + 1, name_of(to), random_());
    auto record = log.append(command, {}, now_);
    if (lost_on_the_way) return;
    if (record.needs_witness && with_.witness) {
      held_[(to + 1) % entry_count].take(record.line).IgnoreError();
    }
    if (!held_[to].take(record.line).ok()) return;
    auto decoded = std::get<order_record>(decode_record(record.line));
    ran_.push_back({to_text(decoded.epoch), decoded.number, record.line});
  }

  /// An entry is lost; what it held is doubtful until it is in the store.
  void lose_entry(std::size_t i) {
    held_[i] = held_records();
    if (i == owner_) return succeed();
    silent_[name_of(i)] = log_->last_number();
  }

  void land_late() {
    if (late_) put_if_absent(store_, late_->name, late_->bytes);
    late_.reset();
  }

  std::vector<std::string> silent_now() {
    auto durable = log_->durable_number();
    auto out = std::vector<std::string>();
    for (const auto& [name, number] : silent_) {
      if (number > durable) out.push_back(name);
    }
    if (!out.empty()) double_loss_ = true;
    if (!with_.name_silent) out.clear();
    return out;
  }

  /// The owner's VM is lost with its log and what its own entry held.
  void succeed() {
    if (draw(3) == 0) admit(*log_, true);
    held_[owner_] = held_records();
    take_over(silent_now());
  }

  /// The owner is paused with one entry that only it can reach, goes on after
  /// the succession and must find out that it is fenced.
  void pause_owner() {
    auto old = log_;
    auto cut_off = (owner_ + 1) % entry_count;
    auto is_cut_off = draw(2) == 0;
    auto silent = silent_now();
    if (is_cut_off) {
      double_loss_ = true;
      if (with_.name_silent) silent.push_back(name_of(cut_off));
    }
    auto kept = held_[cut_off];
    if (is_cut_off) held_[cut_off] = held_records();
    take_over(silent);
    if (is_cut_off) std::swap(kept, held_[cut_off]);
    for (auto i = 0; i < 4; ++i) {
      admit(*old, false, is_cut_off ? std::optional(cut_off) : std::nullopt);
    }
    if (is_cut_off) std::swap(kept, held_[cut_off]);
    for (auto i = 0; i < 20 && !old->fenced(); ++i) {
      now_ += instant(20);
      old->tick(now_);
    }
    RC_ASSERT(old->fenced() || old->flushed() || !with_.fence);
  }

  void take_over(std::vector<std::string> silent) {
    store_up_ = true;
    auto inputs = close_inputs{.pool = pool,
                               .epoch = epoch_,
                               .opening_line = opening_,
                               .silent_members = std::move(silent),
                               .window = window,
                               .closer = "next",
                               .limits = {.records = 3}};
    for (auto& it : held_) {
      if (with_.seal) it.seal(pool, epoch_);
      auto lines = it.lines(pool, epoch_);
      inputs.collected.insert(inputs.collected.end(), lines.begin(),
                              lines.end());
    }
    auto end = close(inputs);
    owner_ = (owner_ + 1) % entry_count;
    silent_.clear();
    open(next_epoch(end, epoch_, pool, "", name_of(draw(1000))));
  }

  epoch_end close(close_inputs& inputs) {
    for (;;) {
      inputs.durable = stored(store_, epoch_);
      auto end = close_epoch(inputs, now_);
      RC_ASSERT(end.ok());
      // A write of the old owner may land between the look and the write.
      if (draw(2) == 0) land_late();
      auto written = true;
      for (const auto& it : end->segments) {
        written = written && put_if_absent(store_, it.name, it.bytes);
      }
      if (written) return *end;
    }
  }

  std::mt19937_64 random_;
  safeguards with_;
  objects store_;
  std::optional<stored_segment> late_;
  bool store_up_ = true;
  bool double_loss_ = false;
  instant now_{};
  std::size_t owner_ = 0;
  std::shared_ptr<order_log> log_;
  epoch_id epoch_;
  std::string opening_;
  std::array<held_records, entry_count> held_;
  std::map<std::string, std::uint64_t> silent_;
  std::vector<delivery> ran_;
};

/// How many of many seeded worlds hide a record or fail the audit.
std::size_t faulty_worlds(safeguards with) {
  std::size_t out = 0;
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    auto it = world(seed, with);
    it.run(300);
    auto faults = verdict_of(it.audit()) == audit_verdict::faults;
    if (it.hidden() > 0 || faults) ++out;
  }
  return out;
}

}  // namespace

TEST_CASE("what was admitted is stored or lies in a hole that is named") {
  rc::prop("random losses", [](std::uint64_t seed) {
    auto it = world(seed, {});
    it.run(400);
    auto report = it.audit();
    for (const auto& one : report.findings) {
      RC_ASSERT(one.fault == audit_fault::named_hole);
      // Records that may have run are missing only after a double loss.
      if (one.note == name_in(hole_kind_names, hole_kind::lost)) {
        RC_ASSERT(it.double_loss());
      }
    }
    RC_ASSERT(it.hidden() == 0u);
    RC_CLASSIFY(report.findings.empty(), "clean");
    RC_CLASSIFY(!report.findings.empty(), "named holes");
  });
}

TEST_CASE("each safeguard that is taken away is missed") {
  CHECK(faulty_worlds({}) == 0);
  CHECK(faulty_worlds({.witness = false}) > 0);
  CHECK(faulty_worlds({.seal = false}) > 0);
  CHECK(faulty_worlds({.name_silent = false}) > 0);
  CHECK(faulty_worlds({.fence = false}) > 0);
}
