#include "front.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/core/text.h"
#include "platform/names.h"
#include "reports.h"
#include "src/teams/rate-system.h"

namespace fulmar::serving {
namespace {

/// One in this many bytes of the memory may hold answers of one kind.
constexpr std::size_t memory_per_answers = 8;

/// One in this many descriptors may be a connection of a client.
constexpr std::size_t descriptors_per_client = 2;

/// A tick that is later than this means that the process was suspended.
constexpr auto max_tick_delay = std::chrono::milliseconds(300);

/// Estimate before the first answers: a stream of 35 events at 20 ms each.
constexpr auto initial_slot_time = std::chrono::milliseconds(700);

bool equals_ignore_case(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                absl::string_view(b.data(), b.size()));
}

/// Hop-by-hop headers.
constexpr auto connection_headers = std::array<std::string_view, 9>{
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",    "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect"};

/// Request headers that this daemon sets itself instead of forwarding them.
constexpr auto replaced_headers = std::array<std::string_view, 5>{
    "Host", platform::header::time_left, platform::header::expected_target,
    platform::header::not_run, platform::header::last_event};

/// Request headers that this daemon sets itself if there are teams.
constexpr auto identity_header_names = std::array<std::string_view, 2>{
    platform::header::team_key, platform::header::team};

std::uint64_t new_incarnation() {
  auto source = std::random_device();
  return std::uniform_int_distribution<std::uint64_t>(1)(source);
}

template <typename Names>
bool is_among(const Names& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(),
                     [&](auto it) { return equals_ignore_case(it, name); });
}

/// Headers that the Connection header lists are hop-by-hop, too.
bool is_listed(std::string_view connection, std::string_view name) {
  while (!connection.empty()) {
    auto part = connection.substr(0, connection.find(','));
    connection.remove_prefix(std::min(connection.size(), part.size() + 1));
    auto trimmed =
        absl::StripAsciiWhitespace(absl::string_view(part.data(), part.size()));
    if (equals_ignore_case({trimmed.data(), trimmed.size()}, name)) return true;
  }
  return false;
}

}  // namespace

front::front(event_loop& event_loop, vm_settings vm)
    : loop(event_loop),
      io(io_of(event_loop)),
      settings(std::move(vm)),
      incarnation(new_incarnation()),
      self{.name = concat(settings.name, "#", incarnation),
           .data_centre = settings.data_centre},
      configuration_checked(io),
      slot_time(initial_slot_time),
      target_links(io, {.timeouts_show_silence = false}),
      probe_links(io, {}),
      store_links(io, {.idle = std::chrono::seconds(30)}),
      daemon_links(io, {}),
      // Other daemons know this one by its address.
      peer_links(io, {.source = settings.address}),
      store(platform::connect_store(
          store_links,
          {.address = settings.store_address, .limits = settings.limits},
          store_counts)),
      book_changed(io),
      log(event_log_options()) {
  target_links.links().limit_kept_bytes(answer_budget(settings));
  board.data_centre = settings.data_centre;
  board.began = began;
  rates = teams::make_ledger(settings, incarnation, began);
}

front::~front() = default;

load_guard::load_guard(front& of, std::uint64_t target, work_kind kind)
    : front_(of), target_(target), kind_(kind) {
  ++count();
  front_.reports->changed();
}

load_guard::~load_guard() {
  --count();
  auto it = front_.board.own.find(target_);
  if (it->second.total() == 0) front_.board.own.erase(it);
  front_.reports->changed();
}

std::uint32_t& load_guard::count() {
  auto& row = front_.board.own[target_];
  return kind_ == work_kind::batch ? row.batch : row.online;
}

attempt_entry::attempt_entry(front& of, live_attempt it)
    : front_(of), row_(of.attempts.insert(of.attempts.end(), std::move(it))) {}

attempt_entry::~attempt_entry() {
  front_.attempts.erase(row_);
}

service_targets targets_of(front& in, std::string_view service,
                           distance farthest) {
  auto now = event_loop::steady();
  auto out = service_targets();
  auto salt = ++in.request_count;
  auto full = find_full_targets(in, now);
  auto loads = all_loads(in.board, now);
  auto doubts = all_doubts(in.board, now);
  auto region_of = [&](const std::string& data_centre) -> std::string_view {
    auto it = in.settings.regions.find(data_centre);
    return it == in.settings.regions.end() ? std::string_view() : it->second;
  };
  for (const auto& [id, row] : in.targets.rows) {
    const auto& listed = row.listed;
    if (listed.service != service || is_leaving(row) || row.seen.replaced)
      continue;
    auto away = distance::other_region;
    if (listed.data_centre == in.settings.data_centre) {
      away = distance::data_centre;
    } else if (region_of(listed.data_centre) == in.settings.region) {
      away = distance::region;
    }
    if (away > farthest) continue;
    auto others = target_health();
    if (auto it = doubts.find(row.key); it != doubts.end()) others = it->second;
    if (others.leaving) continue;
    auto load = target_load();
    if (auto it = loads.find(row.key); it != loads.end()) load = it->second;
    auto knowledge = load_knowledge_of(in.board, listed.data_centre, now);
    if (knowledge == load_knowledge::abandoned)
      knowledge = apply_answer(in.board, row.key, load, now);
    out.candidates.push_back(
        {.load = load,
         .slots = listed.slots,
         .away = away,
         .trusted = trust_in(row, others, now),
         .knowledge = knowledge,
         .found_full = full.contains(row.key),
         .linked = in.target_links.keeps_link(listed.address),
         .tie = mix_hash(row.key, salt)});
    out.rows.push_back(&row);
  }
  return out;
}

void keep_version(service_targets& found, std::string_view version) {
  auto kept = service_targets();
  for (auto n = std::size_t{0}; n < found.rows.size(); ++n) {
    if (found.rows[n]->listed.version != version) continue;
    kept.candidates.push_back(found.candidates[n]);
    kept.rows.push_back(found.rows[n]);
  }
  found = std::move(kept);
}

bool store_lost(const front& in) {
  return platform::store_is_away(in.store_counts, event_loop::steady());
}

std::optional<instant> store_time(const front& in) {
  if (!in.store_clock_offset) return std::nullopt;
  return event_loop::steady() + *in.store_clock_offset;
}

bool is_identity_header(std::string_view name) {
  return is_among(identity_header_names, name);
}

std::string team_header_line(std::string_view team) {
  if (team.empty()) return {};
  return concat(platform::header::team, ": ", team, "\r\n");
}

std::string forwarded_header_lines(const std::vector<http_header>& headers,
                                   identity_headers identity) {
  auto connection = find_header(headers, "Connection");
  auto out = std::string();
  for (const auto& it : headers) {
    if (!is_end_to_end(it.name, connection) ||
        is_among(replaced_headers, it.name) ||
        (identity == identity_headers::dropped && is_identity_header(it.name)))
      continue;
    out += concat(it.name, ": ", it.value, "\r\n");
  }
  return out;
}

std::vector<http_header> forwarded_headers(const answer_head& head) {
  auto out = std::vector<http_header>();
  auto connection = find_header(head.headers, "Connection");
  for (const auto& it : head.headers) {
    if (is_end_to_end(it.name, connection)) out.push_back(it);
  }
  return out;
}

std::optional<instant> requested_wait(const http_request& request) {
  auto text = find_header(request.headers, platform::header::wait);
  auto wait_ms = std::int64_t{0};
  if (!absl::SimpleAtoi(std::string(text), &wait_ms) || wait_ms <= 0)
    return std::nullopt;
  return std::chrono::milliseconds(wait_ms);
}

bool is_end_to_end(std::string_view name, std::string_view connection) {
  return !is_among(connection_headers, name) && !is_listed(connection, name);
}

void record_target_failure(front& in, const std::string& id,
                           target_fault fault) {
  auto* row = find_target(in.targets, id);
  if (row == nullptr) return;
  auto now = event_loop::steady();
  auto& doubt = row->seen.doubt;
  auto others = doubt_of(in.board, row->key, now);
  note_failure(doubt, fault, others.score, now, in.targets.avoidance);
  // Other pooled connections to the target have most likely failed, too.
  if (fault != target_fault::failed) in.target_links.drop(row->listed.address);
  in.reports->changed();
  in.log.add("target_doubted",
             {{"target", id},
              {"why", name_in(target_fault_names, fault)},
              {"score", doubt.score},
              {"score_of_others", others.score},
              {"avoid_us", std::int64_t{(doubt.avoid_until - now).count()}}});
}

void mark_target_leaving(front& in, const target& it) {
  if (!note_leaving(in.targets, it.id, event_loop::steady())) return;
  in.target_links.drop(it.address);
  in.reports->changed();
  in.log.add("target_leaves", {{"target", it.id}, {"address", it.address}});
}

void record_target_success(front& in, const std::string& id) {
  auto* row = find_target(in.targets, id);
  if (row != nullptr) note_success(row->seen.doubt, in.targets.avoidance);
}

std::string host_of(const http_exchange& client) {
  auto host = find_header(client.request().headers, "Host");
  return std::string(host.substr(0, host.find(':')));
}

std::size_t answer_budget(const vm_settings& settings) {
  return settings.memory_bytes / memory_per_answers;
}

std::size_t max_clients(const vm_settings& settings) {
  return settings.max_descriptors / descriptors_per_client;
}

bool check_for_pause(front& in) {
  auto now = event_loop::steady();
  auto since_boot = event_loop::since_boot();
  auto gap = std::max(now - in.last_tick, since_boot - in.last_tick_since_boot);
  if (gap <= max_tick_delay) return false;
  in.last_tick = now;
  in.last_tick_since_boot = since_boot;
  in.resumed_at = now;
  for (auto* it : {&in.feeds.configuration, &in.feeds.targets, &in.feeds.jobs,
                   &in.feeds.crashes})
    note_pause(*it);
  teams::note_pause(in.lookups);
  teams::note_pause(in.rates, gap, now);
  in.log.add("stood_still", {{"us", std::int64_t{gap.count()}}});
  return true;
}

bool is_current(front& in, instant asked) {
  check_for_pause(in);
  return asked >= in.resumed_at;
}

void take_store_time(front& in, instant store_now, instant asked) {
  if (store_now.count() > 0 && is_current(in, asked))
    in.store_clock_offset = store_now - event_loop::steady();
}

bool has_started(const front& in) {
  return in.configuration->version > 0 && in.targets_known;
}

bool is_ready(const front& in) {
  return !in.leaving && has_started(in);
}

bool may_outlast_daemon(const front& in, instant deadline) {
  return in.leaving && event_loop::steady() >= in.rotation_end &&
         deadline > in.shutdown_end;
}

void refuse(http_exchange& client, int status, std::string_view reason,
            std::optional<instant> retry_after) {
  auto answer = http_response{.status = status,
                              .headers = {{"Content-Type", "application/json"}},
                              .body = concat(R"({"error":")", reason, R"("})")};
  if (retry_after) {
    auto text = std::array<char, 32>();
    auto n = std::snprintf(text.data(), text.size(), "%.3f",
                           std::chrono::duration<double>(*retry_after).count());
    answer.headers.push_back(
        {.name = std::string(platform::header::retry_after),
         .value = std::string(text.data(), static_cast<std::size_t>(n))});
  }
  client.respond(std::move(answer));
}

}  // namespace fulmar::serving
