#include "load-probe.h"

#include <algorithm>
#include <utility>

#include "fulmarpitch/core/text.h"
#include "platform/decoding.h"
#include "platform/names.h"

namespace fulmar::serving {
namespace {

/// Pause between two questions of a daemon, and between two to one target.
constexpr auto probe_interval = std::chrono::milliseconds(200);
constexpr auto target_interval = std::chrono::milliseconds(1000);

/// Questions are forgotten after this many intervals.
constexpr int max_remembered_intervals = 60;

/// How long targets are asked after an item found no room.
constexpr auto want_duration = std::chrono::milliseconds(1000);

constexpr auto probe_timeout = std::chrono::milliseconds(1000);

/// Targets state their load as it was up to this long ago.
constexpr auto load_lag = std::chrono::milliseconds(500);

constexpr std::size_t max_answer_bytes = std::size_t{64} * 1024;

constexpr int status_misdirected = 421;

/// A target's answer to the question for its load.
struct probe_result {
  /// The target answered in some form.
  bool reached = false;
  std::optional<std::uint32_t> requests;
};

task<probe_result> ask(front& in, target to) {
  auto out = probe_result();
  auto link = in.probe_links.take(to.address);
  link->expire_at(event_loop::steady() + probe_timeout);
  if (!link->is_open()) {
    if (auto status = co_await link->connect(); !status.ok()) co_return out;
  }
  auto text = concat(
      "GET ", platform::path::target_load, " HTTP/1.1\r\nHost: ", to.address,
      "\r\n", platform::header::expected_target, ": ", to.id, "\r\n\r\n");
  auto sent = co_await link->send(text, {});
  if (!sent.ok()) co_return out;
  auto head = co_await link->read_head();
  if (!head.ok()) co_return out;
  auto body = co_await link->read_rest(max_answer_bytes);
  if (!body.ok()) co_return out;
  in.probe_links.give_back(link);
  out.reached = head->status != status_misdirected;
  if (head->status == status_ok)
    out.requests = platform::decode_target_load(*body);
  co_return out;
}

/// \return this daemon's requests that a target's statement may not include.
std::uint32_t count_recent(const front& in, const std::string& id,
                           instant now) {
  auto n = std::count_if(
      in.attempts.begin(), in.attempts.end(), [&](const auto& it) {
        return it.target == id &&
               (it.started.count() == 0 || now - it.started < load_lag);
      });
  return static_cast<std::uint32_t>(n);
}

/// \return the requests at a target that no report covers.
std::uint32_t count_unreported(const front& in, const target_row& row,
                               std::uint32_t requests, instant now) {
  auto known = load_of(in.board, row.key, now).total();
  auto included = known - std::min(known, count_recent(in, row.listed.id, now));
  return requests - std::min(requests, included);
}

task<void> probe(front& in, target to, std::uint64_t key) {
  auto result = co_await ask(in, to);
  auto now = event_loop::steady();
  const auto* row = find_target(in.targets, key);
  in.board.answers.erase(key);
  if (result.reached && row != nullptr) {
    auto answer = target_answer{.heard = now};
    if (result.requests)
      answer.unreported = count_unreported(in, *row, *result.requests, now);
    in.board.answers[key] = answer;
  }
  in.log.add("target_probed",
             {{"target", to.id},
              {"reached", result.reached},
              {"states_load", result.requests.has_value()},
              {"requests", std::uint64_t{result.requests.value_or(0)}}});
  if (row == nullptr || !result.requests) co_return;
  auto slots = row->listed.slots;
  auto excess = *result.requests - std::min(*result.requests, slots);
  if (excess > 0) preempt_newest_items(in, to.id, excess);
}

bool may_probe(const front& in, const target_row& row, instant now) {
  if (is_leaving(row) || row.seen.replaced) return false;
  auto own = in.board.own.find(row.key);
  auto runs_items = own != in.board.own.end() && own->second.batch > 0;
  auto knowledge = load_knowledge_of(in.board, row.listed.data_centre, now);
  if (runs_items) return knowledge != load_knowledge::reported;
  return now < in.probes.wanted_until && knowledge == load_knowledge::abandoned;
}

}  // namespace

void probe_targets(front& in, instant now) {
  if (now < in.probes.next) return;
  absl::erase_if(in.probes.asked, [&](const auto& it) {
    return now - it.second > target_interval * max_remembered_intervals;
  });
  const target_row* oldest = nullptr;
  auto asked_before = now - target_interval;
  for (const auto& [id, row] : in.targets.rows) {
    if (!may_probe(in, row, now)) continue;
    auto it = in.probes.asked.find(row.key);
    auto asked = it == in.probes.asked.end() ? instant{} : it->second;
    if (asked >= asked_before) continue;
    oldest = &row;
    asked_before = asked;
  }
  if (oldest == nullptr) return;
  in.probes.next = now + probe_interval;
  in.probes.asked[oldest->key] = now;
  asio::co_spawn(in.io, probe(in, oldest->listed, oldest->key), report_failure);
}

void log_abandoned(front& in, instant now) {
  auto abandoned = absl::flat_hash_set<std::string>();
  for (const auto& [id, row] : in.targets.rows) {
    const auto& name = row.listed.data_centre;
    if (load_knowledge_of(in.board, name, now) == load_knowledge::abandoned)
      abandoned.insert(name);
  }
  auto log_change = [&](const std::string& name, bool is_abandoned) {
    in.log.add("data_centre_abandoned",
               {{"data_centre", name}, {"abandoned", is_abandoned}});
  };
  for (const auto& it : abandoned) {
    if (!in.probes.abandoned.contains(it)) log_change(it, true);
  }
  for (const auto& it : in.probes.abandoned) {
    if (!abandoned.contains(it)) log_change(it, false);
  }
  in.probes.abandoned = std::move(abandoned);
}

void want_probes(front& in, instant now) {
  in.probes.wanted_until = now + want_duration;
}

}  // namespace fulmar::serving
