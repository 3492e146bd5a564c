#include "fulmarpitch/config/watcher.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "fulmarpitch/core/errors.h"
#include "sample-declarations.h"

namespace fulmar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto promised_spread = seconds(15);

/// Several VMs over one platform, with links that can be cut.
struct fleet {
  struct vm {
    std::string name;
    std::unique_ptr<config_watcher> watcher;
    bool has_platform = true;
    bool has_peers = true;
    /// Reads of the head row show the row before the newest.
    bool reads_lag = false;
    std::uint64_t highest = 0;
    /// Whether the platform was reachable ever since the start.
    bool had_platform = true;
    std::uint64_t restarts = 0;
  };

  std::shared_ptr<memory_stores> state;
  pending_calls_scope pending{state};
  config_stores stores;
  std::vector<std::unique_ptr<vm>> vms;
  std::mt19937_64 random;
  instant now{};
  std::uint64_t number = 0;
  std::uint64_t reversals = 0;
  table_row older_head;
  table_row newest_head;

  explicit fleet(std::size_t n, const store_fault_plan& plan = {})
      : state(make_memory_stores(plan)), stores(stores_over(state)) {
    random.seed(plan.seed);
    for (std::size_t it = 0; it < n; ++it) {
      vms.push_back(std::make_unique<vm>());
      vms.back()->name = concat("vm", it);
      start(*vms.back());
    }
  }

  template <typename T>
  static void cut(const callback<T>& done) {
    done(make_error(error_code::store_unavailable, "cut off"));
  }

  config_stores stores_for(vm& owner) {
    auto own = stores;
    own.tables.read = [this, &owner](std::string key,
                                     callback<table_row> done) {
      if (!owner.has_platform) return cut(done);
      if (owner.reads_lag && older_head.version > 0) return done(older_head);
      stores.tables.read(std::move(key), std::move(done));
    };
    own.tables.commit = [this, &owner](table_transaction it,
                                       callback<commit_result> done) {
      if (!owner.has_platform) return cut(done);
      stores.tables.commit(std::move(it), std::move(done));
    };
    own.objects.get = [this, &owner](std::string name,
                                     callback<std::string> done) {
      if (!owner.has_platform) return cut(done);
      stores.objects.get(std::move(name), std::move(done));
    };
    return own;
  }

  void fetch(vm& owner, const std::string& peer,
             const callback<std::string>& done) {
    for (const auto& it : vms) {
      if (it->name != peer || !it->has_peers || !owner.has_peers) continue;
      return done(it->watcher->snapshot_bytes());
    }
    done(make_error(error_code::not_found, "cut off"));
  }

  void start(vm& it) {
    ++it.restarts;
    it.had_platform = it.has_platform;
    auto links = watcher_links{.stores = stores_for(it)};
    links.fetch_from_peer = [this, &it](const std::string& peer,
                                        const callback<std::string>& done) {
      fetch(it, peer, done);
    };
    links.on_change = [this, &it](const configuration& value) {
      note_change(it, value.version);
    };
    it.watcher = std::make_unique<config_watcher>(
        watcher_options{.vm = it.name, .random_seed = random()},
        std::move(links));
  }

  /// Without the platform a VM that restarts can know only what its peers do,
  /// but it must take the most of that.
  void note_change(vm& it, std::uint64_t version) {
    const auto heard = it.watcher->status(now).known_version;
    const auto reverts = version < it.highest;
    if (reverts && (it.had_platform || version < heard)) ++reversals;
    it.highest = std::max(it.highest, version);
  }

  void gossip() {
    for (const auto& from : vms) {
      for (const auto& to : vms) {
        if (from == to || !from->has_peers || !to->has_peers) continue;
        to->watcher->heard(from->name, from->watcher->status(now).version, now);
      }
    }
  }

  void note_head() {
    const auto it = state->rows.find(std::string(config_head_key));
    if (it == state->rows.end()) return;
    if (it->second.version == newest_head.version) return;
    older_head = newest_head;
    newest_head = it->second;
  }

  void run(instant span) {
    constexpr auto step = milliseconds(100);
    constexpr auto heartbeat = seconds(1);
    for (const auto end = now + span; now < end; now += step) {
      deliver(*state, now);
      note_head();
      if (now % heartbeat == instant(0)) gossip();
      for (const auto& it : vms) {
        if (!it->has_platform) it->had_platform = false;
        it->watcher->tick(now);
      }
    }
  }

  /// An operator changes one caller, or declares everything at first.
  void submit() {
    read_head(stores, [this](const auto& head) {
      if (!head.ok()) return;
      read_snapshot(stores, *head, [this](const auto& seen) {
        if (!seen.ok()) return;
        auto value = sample_declarations();
        value.callers[random() % 4].weight =
            static_cast<std::uint32_t>(random() % 1000 + 2);
        const auto changes = difference(*seen, objects_of(value));
        submit_ticket(stores, {++number, "ann", changes}, now,
                      [](const auto&) {});
      });
    });
  }

  std::uint64_t head_version() const {
    return newest_head.version == 0 ? 0 : parse_head(newest_head)->version;
  }

  bool all_current() const {
    return std::all_of(vms.begin(), vms.end(), [&](const auto& it) {
      const auto status = it->watcher->status(now);
      return status.version == head_version() && status.lag == instant(0);
    });
  }
};

TEST_CASE("an accepted ticket is in force everywhere within the promise") {
  auto it = fleet(6);
  for (int n = 0; n < 5; ++n) {
    it.submit();
    it.run(promised_spread);
    CHECK(it.head_version() == it.number);
    CHECK(it.all_current());
  }
}

TEST_CASE("a VM that starts while the platform is away asks its peers") {
  auto it = fleet(3);
  it.submit();
  it.run(promised_spread);
  for (const auto& vm : it.vms)
    vm->has_platform = false;
  it.start(*it.vms[0]);
  CHECK(it.vms[0]->watcher->in_force() == nullptr);
  it.run(promised_spread);
  CHECK(it.all_current());
}

TEST_CASE("a VM that starts takes nothing from a read that lags") {
  auto it = fleet(1);
  it.submit();
  it.run(promised_spread);
  it.submit();
  it.run(promised_spread);
  REQUIRE(it.head_version() == 2);
  it.vms[0]->reads_lag = true;
  it.start(*it.vms[0]);
  it.run(promised_spread);
  CHECK(it.vms[0]->watcher->in_force() == nullptr);
  it.vms[0]->reads_lag = false;
  it.run(promised_spread);
  CHECK(it.all_current());
  CHECK(it.reversals == 0);
}

TEST_CASE("a VM whose reads lag takes no lagging peer's word at its start") {
  auto it = fleet(2);
  it.submit();
  it.run(promised_spread);
  it.vms[1]->has_platform = false;
  it.vms[1]->has_peers = false;
  it.submit();
  it.run(promised_spread);
  REQUIRE(it.vms[0]->watcher->status(it.now).version == 2);
  it.vms[0]->reads_lag = true;
  it.vms[1]->has_peers = true;
  it.start(*it.vms[0]);
  it.run(promised_spread);
  CHECK(it.vms[0]->watcher->in_force() == nullptr);
  CHECK(it.reversals == 0);
  it.vms[0]->reads_lag = false;
  it.run(promised_spread);
  CHECK(it.vms[0]->watcher->in_force() != nullptr);
}

TEST_CASE("a VM that starts takes nothing below what it has heard of") {
  auto it = fleet(2);
  it.submit();
  it.run(promised_spread);
  it.vms[1]->has_platform = false;
  it.vms[1]->has_peers = false;
  it.submit();
  it.run(promised_spread);
  REQUIRE(it.vms[1]->watcher->status(it.now).version == 1);
  it.start(*it.vms[0]);
  it.vms[0]->has_platform = false;
  it.vms[0]->watcher->heard("vm9", 2, it.now);
  it.vms[1]->has_peers = true;
  it.run(promised_spread);
  CHECK(it.vms[0]->watcher->in_force() == nullptr);
  CHECK(it.vms[0]->watcher->status(it.now).lag > instant(0));
  it.vms[0]->has_platform = true;
  it.run(promised_spread);
  CHECK(it.all_current());
}

TEST_CASE("a version that cannot be applied is reported, the old one serves") {
  auto it = fleet(1);
  it.submit();
  it.run(promised_spread);
  // A version from a release that knows one more field.
  auto snapshot = *parse_config_snapshot(it.vms[0]->watcher->snapshot_bytes());
  snapshot.version = 2;
  snapshot.objects[{object_kind::batch, "batch"}] = {2, 9, R"({"new": 1})"};
  const auto bytes = to_json(snapshot);
  it.state->objects["bad"] = bytes;
  auto& row = it.state->rows[std::string(config_head_key)];
  row.version += 1;
  row.value = R"({"version": 2, "ticket": 9, "snapshot": "bad", "digest": ")" +
              sha256_hex(bytes) + R"("})";
  it.run(promised_spread);
  const auto status = it.vms[0]->watcher->status(it.now);
  CHECK(status.version == 1);
  CHECK(status.fault == watcher_fault::refused);
  CHECK(status.refused_version == 2);
  REQUIRE_FALSE(status.faults.empty());
  CHECK(status.faults[0].kind == declaration_fault_kind::unknown_field);
  CHECK(it.vms[0]->watcher->in_force()->version == 1);
}

TEST_CASE("a snapshot whose bytes differ from the head's digest is not used") {
  auto it = fleet(1);
  it.submit();
  it.run(milliseconds(100));
  for (auto& [name, bytes] : it.state->objects)
    bytes += " ";
  it.run(promised_spread);
  CHECK(it.vms[0]->watcher->in_force() == nullptr);
}

TEST_CASE("390 VMs read the head row within the stores' budget") {
  auto it = fleet(390);
  it.submit();
  it.run(promised_spread);
  const auto before = it.state->counts.reads;
  constexpr auto span = seconds(30);
  it.run(span);
  const auto reads_per_second =
      (it.state->counts.reads - before) / span.count();
  constexpr auto budget = 200U;  // A tenth of the 2,000 reads a second.
  CHECK(reads_per_second <= budget);
}

void disturb(fleet& it) {
  auto& vm = *it.vms[it.random() % it.vms.size()];
  switch (it.random() % 5) {
    case 0:
      vm.has_platform = !vm.has_platform;
      break;
    case 1:
      vm.has_peers = !vm.has_peers;
      break;
    case 2:
      vm.reads_lag = !vm.reads_lag;
      break;
    case 3:
      // A lone VM with no store has nothing to learn its old version from.
      if (vm.has_platform) it.start(vm);
      break;
    default:
      it.submit();
  }
}

void heal(fleet& it) {
  it.state->plan = {};
  for (const auto& vm : it.vms) {
    vm->has_platform = true;
    vm->has_peers = true;
    vm->reads_lag = false;
  }
}

TEST_CASE("no restart, partition or lagging read reverts a configuration") {
  rc::prop("never reverts, and is in force everywhere after the faults",
           [](std::uint64_t seed) {
             auto it = fleet(5, {
                                    .seed = seed,
                                    .fail_before_per_mille = 50,
                                    .lose_reply_per_mille = 50,
                                    .late_effect_per_mille = 20,
                                    .most_delay = milliseconds(400),
                                });
             for (int n = 0; n < 60; ++n) {
               disturb(it);
               it.run(milliseconds(it.random() % 40 * 100));
             }
             heal(it);
             it.run(promised_spread);
             RC_ASSERT(it.reversals == 0U);
             RC_ASSERT(it.head_version() > 0U);
             RC_ASSERT(it.all_current());
           });
}

}  // namespace
}  // namespace fulmar
