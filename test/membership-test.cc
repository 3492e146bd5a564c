#include "fulmarpitch/core/membership.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "../src/daemon/gossip-wire.h"
#include "membership-network.h"

using namespace fulmar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t design_members = 35;
constexpr instant join_bound = seconds(20);
constexpr instant death_bound = seconds(10);
constexpr instant leaving_bound = seconds(3);
constexpr instant heal_bound = seconds(30);
constexpr instant rack_bound = seconds(30);
constexpr double bytes_per_second_bound = 3000;

struct cluster {
  explicit cluster(std::size_t members, network_options options = {},
                   const membership_options& base = {})
      : network(options),
        addresses(network.add_data_centre("etela", members, base)) {
    network.run(join_bound);
  }

  void cut_between(std::size_t split) {
    for (std::size_t i = 0; i < split; ++i) {
      for (auto j = split; j < addresses.size(); ++j) {
        network.cuts.emplace(addresses[i], addresses[j]);
        network.cuts.emplace(addresses[j], addresses[i]);
      }
    }
  }

  membership_network network;
  std::vector<std::string> addresses;
};

std::uint64_t any_seed() {
  return *rc::gen::arbitrary<std::uint64_t>();
}

}  // namespace

TEST_CASE("the wire estimate bounds the encoded datagram") {
  rc::prop("any records", [] {
    constexpr std::size_t headers_and_proof = 28 + 16;
    auto text = [] { return std::string(*rc::gen::inRange(1, 24), 'x'); };
    auto message = membership_message{.sequence = ~0ULL,
                                      .from = text(),
                                      .data_centre = text(),
                                      .incarnation = ~0ULL,
                                      .digest = {~0ULL, 1, 2, 3},
                                      .highest_config_version = ~0ULL,
                                      .target = text()};
    auto n = *rc::gen::inRange(0, 5);
    for (auto i = 0; i < n; ++i) {
      message.members.push_back({.name = text(),
                                 .peer_address = text(),
                                 .http_address = text(),
                                 .incarnation = ~0ULL,
                                 .start = ~0ULL,
                                 .config_version = ~0ULL,
                                 .state = member_state::suspect,
                                 .ready = true,
                                 .leaving = true});
      message.targets.push_back({text(), ~0ULL, target_state::leaving});
      message.summaries.push_back({text(), ~0ULL, ~0ULL, 35, {text(), text()}});
    }
    auto bytes = encode_gossip(message).size() + headers_and_proof;
    RC_ASSERT(bytes <= wire_bytes(message));
    RC_ASSERT(bytes * 5 >= wire_bytes(message) * 4);
  });
}

TEST_CASE("members join through the seeds") {
  auto it = cluster(design_members);
  CHECK(it.network.agreed());
  CHECK(it.network.count_changes<member_suspect_output>() == 0);
}

TEST_CASE("a dead member is noticed by all within 10 s") {
  rc::prop("35 members, 5% loss", [] {
    auto it = cluster(design_members, {.loss = 0.05, .seed = any_seed()});
    RC_ASSERT(it.network.agreed());
    it.network.crash(*rc::gen::elementOf(it.addresses));
    it.network.run(death_bound);
    RC_ASSERT(it.network.agreed());
  });
}

TEST_CASE("a lost rack of 12 is noticed by all within 30 s") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    auto it = cluster(design_members, {.loss = 0.05, .seed = seed});
    for (auto i = 1; i < 24; i += 2)
      it.network.crash(it.addresses[i]);
    it.network.run(rack_bound);
    CHECK(it.network.agreed());
  }
}

TEST_CASE("a split of 10 minutes heals within 30 s") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    auto it = cluster(design_members, {.loss = 0.01, .seed = seed});
    it.cut_between(17);
    it.network.run(seconds(600));
    constexpr std::size_t deaths = 612;  // 17 members, each by 18; and back.
    CHECK(it.network.count_changes<member_dead_output>() == deaths);
    it.network.cuts.clear();
    it.network.run(heal_bound);
    CHECK(it.network.agreed());
  }
}

TEST_CASE("a leaving target is known to all within 3 s") {
  rc::prop("35 members, 10% loss", [] {
    auto it = cluster(design_members, {.loss = 0.10, .seed = any_seed()});
    auto address = *rc::gen::elementOf(it.addresses);
    it.network.nodes[address].process->set_target(
        {"runner-1", 7, target_state::leaving});
    it.network.run(leaving_bound);
    RC_ASSERT(it.network.knowing("runner-1", target_state::leaving) ==
              design_members);
    it.network.nodes[address].process->set_target(
        {"runner-1", 6, target_state::serving});
    it.network.run(leaving_bound);
    RC_ASSERT(it.network.knowing("runner-1", target_state::leaving) ==
              design_members);
  });
}

TEST_CASE("faults that are not death are told apart from it") {
  struct fault {
    const char* name;
    double loss;
    bool one_way_cut;
    instant slow;
  };
  auto row = GENERATE(fault{"one-way loss", 0, true, {}},
                      fault{"slow member", 0, false, milliseconds(200)},
                      fault{"20% loss", 0.20, false, {}},
                      fault{"20% loss and one-way loss", 0.20, true, {}});
  INFO(row.name);
  auto it = cluster(12, {.loss = row.loss, .seed = 5});
  it.network.nodes[it.addresses[3]].extra_delay = row.slow;
  if (row.one_way_cut) it.network.cuts = {{it.addresses[0], it.addresses[3]}};
  it.network.forget_changes();
  it.network.run(seconds(120));
  CHECK(it.network.agreed());
  CHECK(it.network.count_changes<member_dead_output>() == 0);
}

TEST_CASE("without indirect pings one-way loss raises suspicion") {
  auto suspicions = [](std::size_t indirect) {
    auto it = cluster(12, {}, {.indirect_pings = indirect});
    it.network.cuts = {{it.addresses[0], it.addresses[3]}};
    it.network.forget_changes();
    it.network.run(seconds(60));
    return it.network.count_changes<member_suspect_output>();
  };
  CHECK(suspicions(3) == 0);
  CHECK(suspicions(0) > 0);
}

TEST_CASE("without time to refute live members are called dead") {
  auto deaths = [](instant suspicion) {
    auto it = cluster(12, {.loss = 0.25, .seed = 3}, {.suspicion = suspicion});
    it.network.forget_changes();
    it.network.run(seconds(60));
    return it.network.count_changes<member_dead_output>();
  };
  CHECK(deaths(seconds(3)) == 0);
  CHECK(deaths(instant(0)) > 0);
}

TEST_CASE("a paused member comes back and blames nobody") {
  auto it = cluster(12);
  it.network.forget_changes();
  it.network.nodes[it.addresses[5]].paused_until = it.network.now + seconds(30);
  it.network.run(seconds(60));
  CHECK(it.network.agreed());
  CHECK(it.network.count_changes<member_dead_output>() == 11);
  for (const auto& change : it.network.nodes[it.addresses[5]].changes) {
    CHECK_FALSE(std::holds_alternative<member_dead_output>(change));
  }
}

TEST_CASE("a restarted member is told apart from one that came back") {
  auto it = cluster(12);
  it.network.forget_changes();
  it.network.restart(it.addresses[4]);
  it.network.nodes[it.addresses[6]].paused_until = it.network.now + seconds(30);
  it.network.run(seconds(60));
  CHECK(it.network.agreed());
  auto name = it.network.nodes[it.addresses[4]].options.name;
  for (const auto& change : it.network.nodes[it.addresses[0]].changes) {
    if (const auto* up = std::get_if<member_up_output>(&change)) {
      CHECK(up->restarted == (up->member.name == name));
    }
  }
}

TEST_CASE("a restart with a clock set back is taken in") {
  auto it = cluster(6);
  auto given = it.network.nodes[it.addresses[2]].options;
  given.start = 0;
  it.network.start(given);
  it.network.run(heal_bound);
  CHECK(it.network.agreed());
}

TEST_CASE("a leaving member holds no role anywhere") {
  auto it = cluster(12);
  it.network.nodes[it.addresses[2]].process->set_leaving();
  it.network.run(leaving_bound);
  for (const auto& [address, node] : it.network.nodes) {
    CHECK(node.process->role_members().size() == 11);
    CHECK(node.process->members().size() == 12);
  }
}

TEST_CASE("the highest configuration version reaches all") {
  auto it = cluster(design_members);
  it.network.nodes[it.addresses[9]].process->set_config_version(12);
  it.network.run(leaving_bound);
  for (const auto& [address, node] : it.network.nodes) {
    CHECK(node.process->highest_config_version() == 12);
  }
}

TEST_CASE("hints start a ping and decide nothing") {
  auto it = cluster(12);
  it.network.forget_changes();
  for (auto& [address, node] : it.network.nodes) {
    node.process->hint_platform_list({it.addresses[0]});
  }
  it.network.run(seconds(30));
  CHECK(it.network.agreed());
  CHECK(it.network.count_changes<member_suspect_output>() == 0);
}

TEST_CASE("no live reachable member stays dead after faults") {
  rc::prop("loss, duplicates, pauses, cuts, crashes, restarts", [] {
    auto options = network_options{.loss = 0.05,
                                   .duplicates = 0.05,
                                   .max_delay = milliseconds(20),
                                   .seed = any_seed()};
    auto it = cluster(*rc::gen::inRange<std::size_t>(3, 14), options);
    auto faults = *rc::gen::inRange(1, 12);
    for (auto i = 0; i < faults; ++i) {
      const auto address = *rc::gen::elementOf(it.addresses);
      auto& node = it.network.nodes[address];
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          it.network.crash(address);
          break;
        case 1:
          it.network.restart(address);
          break;
        case 2:
          node.paused_until =
              it.network.now + seconds(*rc::gen::inRange(1, 40));
          break;
        case 3:
          it.cut_between(
              *rc::gen::inRange<std::size_t>(1, it.addresses.size()));
          break;
        case 4:
          it.network.cuts.emplace(address, *rc::gen::elementOf(it.addresses));
          break;
        default:
          it.network.cuts.clear();
      }
      it.network.run(seconds(*rc::gen::inRange(0, 20)));
    }
    it.network.cuts.clear();
    it.network.run(seconds(40));
    // Members that start while every seed is dead meet by the platform's list.
    for (auto& [address, node] : it.network.nodes) {
      if (node.process) node.process->hint_platform_list(it.addresses);
    }
    it.network.run(heal_bound);
    RC_ASSERT(it.network.agreed());
  });
}

TEST_CASE("the design size stays within 3 KB a second for each daemon") {
  constexpr auto data_centres = 11;
  auto network = membership_network({.loss = 0.01, .seed = 11});
  auto seeds = std::vector<std::string>();
  for (auto i = 0; i < data_centres; ++i) {
    seeds.push_back(concat("dc-", i, "-000:7946"));
  }
  auto base = membership_options{.remote_seeds = seeds};
  for (auto i = 0; i < data_centres; ++i) {
    network.add_data_centre(concat("dc-", i), design_members, base);
  }
  network.run(seconds(30));
  CHECK(network.agreed());
  for (auto& [address, node] : network.nodes)
    node.bytes_sent = 0;

  // 270 changes a day are one each 320 s; this is ten times as many.
  constexpr auto change_interval = seconds(32);
  constexpr auto rounds = 3;
  for (auto i = 1; i <= rounds; ++i) {
    for (auto& [address, node] : network.nodes) {
      node.process->set_config_version(i);
    }
    network.nodes.begin()->second.process->set_target(
        {"runner-1", static_cast<std::uint64_t>(i), target_state::leaving});
    network.run(change_interval);
  }
  auto most = std::uint64_t{0};
  auto delegates = 0;
  for (const auto& [address, node] : network.nodes) {
    most = std::max(most, node.bytes_sent);
    delegates += node.process->is_delegate() ? 1 : 0;
    if (node.process->is_delegate()) {
      CHECK(node.process->summaries().size() == data_centres - 1);
    }
  }
  CHECK(delegates == 2 * data_centres);
  auto span = change_interval.count() * rounds;
  auto each_second = static_cast<double>(most) / static_cast<double>(span);
  INFO("bytes a second: " << each_second);
  CHECK(each_second < bytes_per_second_bound);
}
