#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "fulmarpitch/core/sequencer.h"
#include "fulmarpitch/core/text.h"

using namespace fulmar;
using namespace std::chrono_literals;

namespace {

constexpr auto target_count = 5;
constexpr auto poison_content = std::uint64_t(666);

/// What an entry knows of a request.
struct held_request {
  submit_event event;
  std::uint32_t attempts = 0;
  bool is_running = false;
  bool is_over = false;
  bool is_refused = false;
  /// The entry that held it is lost.
  bool is_gone = false;
};

/// Entries, targets and the platform, which misbehave at random.
class fake_pool {
 public:
  explicit fake_pool(std::uint64_t seed) : random_(seed) { start(); }

  void run(int steps) {
    for (auto i = 0; i < steps; ++i) {
      act();
      tick();
    }
  }

  /// Stops the faults and lets everything end.
  void drain() {
    for (auto t = 0; t < target_count; ++t)
      declare(t, false);
    for (auto i = 0; i < 4000 && !is_drained(); ++i) {
      for (auto& [id, it] : requests_) {
        if (it.is_running) end(id, attempt_end::completed);
      }
      tick(50ms);
    }
  }

  bool is_drained() const {
    return under_test_->queued() + under_test_->running() == 0;
  }

  std::size_t left() const {
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(),
                      [](const auto& it) { return !it.second.is_over; }));
  }

 private:
  std::uint64_t draw(std::uint64_t n) { return random_() % n; }

  void start() {
    under_test_ = std::make_unique<sequencer>(
        sequencer_options{.pool = "pool", .last_number = last_number_});
    apply(policy_event{
        {.config_version = 1,
         .classes = {{.name = "a", .rank = 0},
                     {.name = "b", .rank = 1, .guaranteed_percent = 20}},
         .callers = {{.name = "c0", .class_name = "a", .concurrency = 2}}}});
    for (auto t = 0; t < target_count; ++t)
      declare(t, false);
  }

  void apply(const sequencer_event& event) { under_test_->apply(event, now_); }

  void declare(int t, bool leaving) {
    auto name = concat("t", t);
    if (leaving) leaving_.insert(name);
    if (!leaving) leaving_.erase(name);
    apply(target_event{
        {.name = name, .slots = 4, .can_resume = true, .leaving = leaving}});
  }

  void act() {
    now_ += instant(static_cast<std::int64_t>(draw(20'000)));
    auto what = draw(100);
    if (what < 45) return submit_new();
    if (what < 75) return end_any();
    if (what < 80) return cancel_any();
    if (what < 84) return declare(static_cast<int>(draw(target_count)), true);
    if (what < 90) return declare(static_cast<int>(draw(target_count)), false);
    if (what < 93) return lose_target(concat("t", draw(target_count)));
    if (what < 95) return lose_sequencer();
    if (what < 97) return lose_origin(concat("e", draw(3)));
    now_ += 1s;
  }

  void submit_new() {
    auto is_batch = draw(3) == 0;
    auto item = work_item{
        .id = concat("r", ++last_request_),
        .caller = concat("c", draw(4)),
        .class_name = is_batch       ? "jobs"
                      : draw(2) == 0 ? "a"
                                     : "b",
        .kind = is_batch ? work_kind::batch : work_kind::online,
        .prompt_tokens = 10 + static_cast<std::uint32_t>(draw(500)),
        .max_tokens = 10 + static_cast<std::uint32_t>(draw(100)),
        .content_hash = draw(20) == 0 ? poison_content : 1000 + last_request_,
        .arrival = now_,
        .deadline = now_ + instant(static_cast<std::int64_t>(500'000 +
                                                             draw(20'000'000))),
        .no_repeat = !is_batch && draw(4) == 0};
    auto event = submit_event{.item = item, .origin = concat("e", draw(3))};
    requests_[item.id] = {.event = event};
    apply(event);
    if (draw(5) == 0) apply(event);
  }

  std::vector<std::string> running() const {
    auto result = std::vector<std::string>();
    for (const auto& [id, it] : requests_) {
      if (it.is_running) result.push_back(id);
    }
    return result;
  }

  void end(const std::string& id, attempt_end how) {
    auto& it = requests_.at(id);
    it.is_running = false;
    if (how == attempt_end::completed) it.is_over = true;
    auto event = finished_event{.request_id = id,
                                .attempt = it.event.attempt,
                                .end = how,
                                .tokens_produced = 5};
    apply(event);
    if (draw(5) == 0) apply(event);
  }

  void end_any() {
    auto ids = running();
    if (ids.empty()) return;
    auto id = ids[draw(ids.size())];
    if (requests_[id].event.item.content_hash == poison_content)
      return lose_target(requests_[id].event.target);
    end(id, draw(6) == 0 ? attempt_end::failed : attempt_end::completed);
  }

  void cancel_any() {
    if (requests_.empty()) return;
    auto it = std::next(requests_.begin(),
                        static_cast<std::ptrdiff_t>(draw(requests_.size())));
    apply(cancel_event{it->first});
  }

  void lose_target(const std::string& name) {
    auto reports = draw(2) == 0;
    for (auto& [id, it] : requests_) {
      if (!it.is_running || it.event.target != name) continue;
      if (reports) end(id, attempt_end::target_lost);
      it.is_running = false;
    }
    apply(target_gone_event{name});
  }

  // A new sequencer: the entries submit again what they hold.
  void lose_sequencer() {
    start();
    for (auto& [id, it] : requests_) {
      if (it.is_over) continue;
      auto event = it.event;
      if (!it.is_running) event.target.clear();
      apply(event);
    }
  }

  void lose_origin(const std::string& name) {
    for (auto& [id, it] : requests_) {
      if (it.event.origin != name) continue;
      it.is_over = true;
      it.is_gone = true;
      it.is_running = false;
    }
    apply(origin_gone_event{name});
  }

  void take(const admit_command& it) {
    auto& held = requests_.at(it.request_id);
    RC_ASSERT(!held.is_over);
    RC_ASSERT(!held.is_running);
    RC_ASSERT(choose(it.inputs) == it.chosen);
    RC_ASSERT(leaving_.count(it.chosen.target) == 0U);
    ++held.attempts;
    RC_ASSERT(!held.event.item.no_repeat || held.attempts == 1U);
    held.is_running = true;
    held.event.attempt = it.attempt;
    held.event.target = it.chosen.target;
  }

  void take(const refuse_command& it) {
    auto& held = requests_.at(it.request_id);
    // What was decided before the loss of the entry reaches nobody.
    if (held.is_gone) return;
    // A request that is submitted twice may be refused twice.
    RC_ASSERT(!held.is_over || held.is_refused);
    RC_ASSERT(!held.is_running);
    RC_ASSERT((it.what == outcome::not_run) == (held.attempts == 0));
    held.is_over = true;
    held.is_refused = true;
  }

  void take(const preempt_command& it) {
    auto& held = requests_.at(it.request_id);
    RC_ASSERT(held.event.item.kind == work_kind::batch);
    if (held.is_running) end(it.request_id, attempt_end::preempted);
  }

  void take(const cancel_command& it) {
    if (requests_.at(it.request_id).is_running)
      end(it.request_id, attempt_end::cancelled);
  }

  void tick(instant step = 5ms) {
    now_ += step;
    for (const auto& command : under_test_->tick(now_)) {
      std::visit(
          [this](const auto& it) {
            RC_ASSERT(it.number == last_number_ + 1);
            last_number_ = it.number;
            take(it);
          },
          command);
    }
  }

  std::mt19937_64 random_;
  instant now_ = 1s;
  std::uint64_t last_number_ = 0;
  std::uint64_t last_request_ = 0;
  std::unique_ptr<sequencer> under_test_;
  std::map<std::string, held_request> requests_;
  std::set<std::string> leaving_;
};

}  // namespace

TEST_CASE("whatever happens, each request ends once and nothing runs twice") {
  rc::prop("random events", [] {
    auto seed = *rc::gen::arbitrary<std::uint64_t>();
    auto pool = fake_pool(seed);
    pool.run(600);
    pool.drain();
    RC_ASSERT(pool.is_drained());
    RC_ASSERT(pool.left() == 0U);
  });
}
