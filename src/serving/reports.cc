#include "reports.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/serving/report-wire.h"
#include "src/teams/rate-system.h"

namespace fulmar::serving {
namespace {

/// Tick of the periodic sender; every period is a multiple of it.
constexpr auto send_tick = std::chrono::milliseconds(50);

/// One in this many summaries lists the members of the data centre.
constexpr std::size_t summaries_per_member_list = 4;

}  // namespace

report_exchange::report_exchange(front& in, report_options options)
    : front_(in), options_(options), socket_(in.io), change_(in.io) {
  for (const auto& it : in.settings.seeds)
    add_address(it, "");
}

absl::Status report_exchange::start() {
  auto ec = boost::system::error_code();
  auto address = asio::ip::make_address(front_.settings.address, ec);
  if (!ec) socket_.open(udp::v4(), ec);
  if (!ec) socket_.bind({address, front_.settings.first_peer_port}, ec);
  if (!ec) socket_.non_blocking(true, ec);
  if (ec) {
    return make_error(
        error_code::internal,
        concat("reports on ", front_.settings.address, ":",
               front_.settings.first_peer_port, ": ", ec.message()));
  }
  asio::co_spawn(front_.io, receive(), report_failure);
  asio::co_spawn(front_.io, send_on_change(), report_failure);
  asio::co_spawn(front_.io, send_on_time(), report_failure);
  return absl::OkStatus();
}

void report_exchange::changed() {
  if (pending_) return;
  pending_ = true;
  change_.cancel();
}

void report_exchange::add_address(const std::string& address,
                                  const std::string& data_centre) {
  if (address == front_.settings.address) return;
  auto ec = boost::system::error_code();
  auto ip = asio::ip::make_address(address, ec);
  if (ec) return;
  auto [it, added] = peers_.try_emplace(address);
  if (added) it->second.endpoint = {ip, front_.settings.first_peer_port};
  if (!data_centre.empty()) it->second.data_centre = data_centre;
}

bool report_exchange::knows(const std::string& address) const {
  if (peers_.contains(address)) return true;
  // Members of other data centres that sent nothing here themselves.
  const auto& summaries = front_.board.summaries;
  return std::any_of(summaries.begin(), summaries.end(), [&](const auto& row) {
    const auto& members = row.second.summary.members;
    return std::any_of(members.begin(), members.end(),
                       [&](const auto& it) { return it.address == address; });
  });
}

bool report_exchange::is_near(const peer& it) const {
  return it.data_centre == front_.settings.data_centre;
}

bool report_exchange::is_heard_near(const peer& it, instant now) const {
  return is_near(it) && now - it.heard < options_.silence_timeout;
}

void report_exchange::send_feed(const feed_page& page) {
  auto now = event_loop::steady();
  for (const auto& bytes : encode_feed(page, max_datagram_bytes)) {
    for (auto& [address, it] : peers_) {
      if (is_heard_near(it, now)) send(it, bytes);
    }
  }
}

void report_exchange::send_to_all() {
  auto now = event_loop::steady();
  auto bytes = encode_report(report_with_counts(now));
  for (auto& [address, it] : peers_) {
    if (is_near(it)) send(it, bytes);
  }
}

task<void> report_exchange::receive() {
  for (;;) {
    auto from = udp::endpoint();
    auto [ec, n] = co_await socket_.async_receive_from(asio::buffer(input_),
                                                       from, as_result);
    if (ec == asio::error::operation_aborted) co_return;
    if (!ec) take(input_.data(), n);
  }
}

task<void> report_exchange::send_on_change() {
  for (;;) {
    if (!pending_) {
      change_.expires_at(asio::steady_timer::time_point::max());
      co_await change_.async_wait(as_result);
    }
    co_await pause_for(options_.coalesce_delay);
    pending_ = false;
    auto now = event_loop::steady();
    auto bytes = encode_report(report_with_counts(now));
    for (auto& [address, it] : peers_) {
      if (!is_heard_near(it, now)) continue;
      it.next_send = now + options_.idle_interval;
      send(it, bytes);
    }
  }
}

task<void> report_exchange::send_on_time() {
  for (;;) {
    auto now = event_loop::steady();
    send_reports(now);
    if (now >= next_summary_) send_summaries(now);
    co_await pause_for(send_tick);
  }
}

void report_exchange::send_reports(instant now) {
  auto due = std::vector<peer*>();
  auto searched = std::vector<peer*>();
  for (auto& [address, it] : peers_) {
    auto near = is_near(it);
    auto silent = now - it.heard > options_.silence_timeout;
    // Members of other data centres are learnt from summaries, not discovered.
    auto wanted = near || it.data_centre.empty();
    if (!wanted || now < it.next_send) continue;
    it.next_send =
        now + (silent ? options_.discovery_interval : options_.idle_interval);
    (silent ? searched : due).push_back(&it);
  }
  if (due.empty() && searched.empty()) return;
  auto report = own_report(now);
  auto bytes = encode_report(report);
  for (auto* it : due)
    send(*it, bytes);
  if (searched.empty()) return;
  report.wants_reply = true;
  bytes = encode_report(report);
  for (auto* it : searched)
    send(*it, bytes);
}

std::vector<report_exchange::peer*> report_exchange::summary_receivers(
    const std::string& data_centre, instant now) {
  auto all = std::vector<peer*>();
  if (auto it = front_.board.summaries.find(data_centre);
      it != front_.board.summaries.end() &&
      !it->second.summary.members.empty() &&
      now - it->second.heard < options_.silence_timeout) {
    const auto& members = it->second.summary.members;
    // Adding an address may move the others.
    for (const auto& member : members)
      add_address(member.address, data_centre);
    for (const auto& member : members) {
      if (auto row = peers_.find(member.address); row != peers_.end())
        all.push_back(&row->second);
    }
  } else {
    for (auto& [address, it] : peers_) {
      if (it.data_centre == data_centre) all.push_back(&it);
    }
  }
  auto out = std::vector<peer*>();
  auto n = std::min(options_.summary_receivers, all.size());
  for (auto it = std::size_t{0}; it < n; ++it)
    out.push_back(all[(summary_turn_ + it) % all.size()]);
  return out;
}

void report_exchange::send_summaries(instant now) {
  next_summary_ = now + options_.summary_interval;
  if (!gathers(front_.board, front_.settings.name, now)) return;
  auto others = absl::flat_hash_set<std::string>();
  for (const auto& [address, it] : peers_) {
    if (!it.data_centre.empty() &&
        it.data_centre != front_.settings.data_centre) {
      others.insert(it.data_centre);
    }
  }
  auto bytes = encode_summary(own_summary(now));
  for (const auto& data_centre : others) {
    for (auto* it : summary_receivers(data_centre, now))
      send(*it, bytes);
  }
  ++summary_turn_;
}

void report_exchange::reply_to_discovery(const load_report& from, instant now) {
  auto report = own_report(now);
  for (const auto& [address, it] : peers_) {
    if (report.known.size() >= options_.max_known) break;
    if (it.data_centre == from.data_centre && address != from.address)
      report.known.push_back(address);
  }
  auto to = peers_.find(from.address);
  if (to != peers_.end()) send(to->second, encode_report(report));
}

void report_exchange::take(const char* bytes, std::size_t size) {
  if (is_feed({bytes, size})) {
    if (auto page = decode_feed({bytes, size}))
      apply_feed_page(front_, std::move(*page));
    return;
  }
  if (is_summary({bytes, size})) {
    if (auto it = decode_summary({bytes, size}))
      forward_summary(std::move(*it));
    return;
  }
  auto report = decode_report({bytes, size});
  if (!report || report->name == front_.settings.name) return;
  auto now = event_loop::steady();
  auto near = report->data_centre == front_.settings.data_centre;
  add_address(report->address, report->data_centre);
  for (const auto& it : report->known)
    add_address(it, "");
  record_contact(report->address, now);
  note_configuration(report->address, report->configuration, now);
  if (report->wants_reply) reply_to_discovery(*report, now);
  if (!near) return;
  auto name = report->name;
  auto known = front_.board.members.contains(name);
  auto incarnation = report->incarnation;
  auto counts = report->team_counts;
  if (!take_report(front_.board, std::move(*report), now)) {
    const auto& last = front_.board.members.at(name).report;
    if (last.incarnation == incarnation)
      teams::hear_late_counts(front_.rates, name, counts, now);
    return;
  }
  if (!known) front_.log.add("member_found", {{"member", name}});
  teams::hear_report(front_, front_.board.members.at(name).report);
  preempt_batch_items(front_);
}

void report_exchange::record_contact(const std::string& address, instant now) {
  auto it = peers_.find(address);
  if (it == peers_.end()) return;
  auto& sender = it->second;
  // Discovery reports are rarer, so the next regular one is due now.
  if (now - sender.heard > options_.silence_timeout) sender.next_send = now;
  sender.heard = now;
}

void report_exchange::note_configuration(const std::string& address,
                                         std::uint64_t version, instant now) {
  if (version == 0) return;
  teams::note_holder(front_.news, address, version,
                     front_.configuration->version, now);
}

std::uint64_t report_exchange::own_configuration() const {
  return front_.peer_server != nullptr ? front_.configuration->version : 0;
}

void report_exchange::forward_summary(sent_summary it) {
  auto now = event_loop::steady();
  add_address(it.sender_address, it.sender_data_centre);
  record_contact(it.sender_address, now);
  auto direct = it.sender_data_centre == it.summary.data_centre;
  if (direct)
    note_configuration(it.sender_address, it.summary.configuration, now);
  auto gathered_in = it.summary.data_centre;
  if (!take_summary(front_.board, std::move(it.summary), now)) return;
  preempt_batch_items(front_);
  if (!direct) return;
  auto bytes =
      encode_summary({front_.settings.data_centre, front_.settings.address,
                      front_.board.summaries.at(gathered_in).summary});
  for (auto& [address, to] : peers_) {
    if (is_heard_near(to, now)) send(to, bytes);
  }
}

void report_exchange::send(const peer& to, const std::string& bytes) {
  auto ignored = boost::system::error_code();
  // A failed send is equivalent to a lost datagram: later reports replace it.
  socket_.send_to(asio::buffer(bytes), to.endpoint, 0, ignored);
}

sent_summary report_exchange::own_summary(instant now) {
  auto out =
      sent_summary{.sender_data_centre = front_.settings.data_centre,
                   .sender_address = front_.settings.address,
                   .summary = summarise(front_.board,
                                        {.name = front_.settings.name,
                                         .incarnation = front_.incarnation,
                                         .address = front_.settings.address,
                                         .store_lost = store_lost(front_)},
                                        now)};
  out.summary.gatherer = front_.incarnation;
  out.summary.sequence = summary_turn_ + 1;
  out.summary.names_members = summary_turn_ % summaries_per_member_list == 0;
  out.summary.configuration = own_configuration();
  return out;
}

load_report report_exchange::report_with_counts(instant now) {
  auto out = own_report(now);
  out.team_counts = teams::take_counts(front_.rates, now);
  return out;
}

load_report report_exchange::own_report(instant now) {
  return {.name = front_.settings.name,
          .data_centre = front_.settings.data_centre,
          .address = front_.settings.address,
          .incarnation = front_.incarnation,
          .sequence = ++sequence_,
          .age = now - front_.began,
          .leaving = front_.leaving,
          .store_lost = store_lost(front_),
          .loads = front_.board.own,
          .doubts = collect_target_health(front_.targets, now),
          .configuration = own_configuration(),
          .unheard = teams::unheard_members(front_.rates),
          .informed = teams::has_rates(front_.rates) && front_.rates.informed};
}

}  // namespace fulmar::serving
