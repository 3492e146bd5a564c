#include "reports.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/serving/load_generated.h"

namespace fulmar::serving {
namespace {

/// The sending tick; every period is a multiple of it.
constexpr auto send_tick = std::chrono::milliseconds(50);

std::vector<std::unique_ptr<wire::target_loadT>> encode_loads(
    const load_table& from) {
  auto out = std::vector<std::unique_ptr<wire::target_loadT>>();
  for (const auto& [target, load] : from) {
    auto row = std::make_unique<wire::target_loadT>();
    row->target = target;
    row->online = static_cast<std::uint16_t>(load.online);
    row->batch = static_cast<std::uint16_t>(load.batch);
    out.push_back(std::move(row));
  }
  return out;
}

load_table decode_loads(
    const std::vector<std::unique_ptr<wire::target_loadT>>& from) {
  auto out = load_table();
  for (const auto& it : from) {
    if (it == nullptr) continue;
    out[it->target] = {.online = it->online, .batch = it->batch};
  }
  return out;
}

std::unique_ptr<wire::summaryT> encode_summary(const load_summary& from) {
  auto out = std::make_unique<wire::summaryT>();
  out->data_centre = from.data_centre;
  out->gathered = from.gathered.count();
  out->loads = encode_loads(from.loads);
  for (const auto& it : from.members) {
    auto row = std::make_unique<wire::memberT>();
    row->name = it.name;
    row->incarnation = it.incarnation;
    row->address = it.address;
    row->store_lost = it.store_lost;
    out->members.push_back(std::move(row));
  }
  return out;
}

load_summary decode_summary(const wire::summaryT& from) {
  auto out = load_summary{.data_centre = from.data_centre,
                          .gathered = instant(from.gathered),
                          .loads = decode_loads(from.loads)};
  for (const auto& it : from.members) {
    if (it == nullptr) continue;
    out.members.push_back({.name = it->name,
                           .incarnation = it->incarnation,
                           .address = it->address,
                           .store_lost = it->store_lost});
  }
  return out;
}

std::uint32_t milliseconds(instant it) {
  auto n = std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(n, 0));
}

void encode_doubts(const load_report& from, wire::load_reportT& to) {
  for (const auto& [target, it] : from.doubts) {
    auto row = std::make_unique<wire::doubtT>();
    row->target = target;
    row->avoid_ms = milliseconds(it.avoid_until);
    row->trial_ms = milliseconds(it.trial_until);
    row->score = static_cast<float>(it.score);
    to.doubts.push_back(std::move(row));
  }
}

void decode_doubts(const wire::load_reportT& from, load_report& to) {
  for (const auto& it : from.doubts) {
    if (it == nullptr) continue;
    to.doubts[it->target] = {
        .avoid_until = std::chrono::milliseconds(it->avoid_ms),
        .trial_until = std::chrono::milliseconds(it->trial_ms),
        .score = it->score};
  }
}

}  // namespace

std::string encode_report(const load_report& it) {
  auto out = wire::load_reportT();
  out.name = it.name;
  out.data_centre = it.data_centre;
  out.address = it.address;
  out.incarnation = it.incarnation;
  out.sequence = it.sequence;
  out.leaving = it.leaving;
  out.store_lost = it.store_lost;
  out.known = it.known;
  out.wants_reply = it.wants_reply;
  out.loads = encode_loads(it.loads);
  encode_doubts(it, out);
  for (const auto& summary : it.summaries)
    out.summaries.push_back(encode_summary(summary));
  auto builder = flatbuffers::FlatBufferBuilder();
  builder.Finish(wire::load_report::Pack(builder, &out));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::optional<load_report> decode_report(const char* bytes, std::size_t size) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes);
  auto verifier = flatbuffers::Verifier(data, size);
  if (!wire::Verifyload_reportBuffer(verifier)) return std::nullopt;
  auto in =
      std::unique_ptr<wire::load_reportT>(wire::Getload_report(data)->UnPack());
  auto out = load_report{.name = std::move(in->name),
                         .data_centre = std::move(in->data_centre),
                         .address = std::move(in->address),
                         .incarnation = in->incarnation,
                         .sequence = in->sequence,
                         .leaving = in->leaving,
                         .store_lost = in->store_lost,
                         .loads = decode_loads(in->loads),
                         .known = std::move(in->known),
                         .wants_reply = in->wants_reply};
  if (out.name.empty()) return std::nullopt;
  decode_doubts(*in, out);
  for (const auto& it : in->summaries) {
    if (it != nullptr) out.summaries.push_back(decode_summary(*it));
  }
  return out;
}

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
  asio::co_spawn(front_.io, receive(), asio::detached);
  asio::co_spawn(front_.io, send_on_change(), asio::detached);
  asio::co_spawn(front_.io, send_on_time(), asio::detached);
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

bool report_exchange::is_near(const peer& it) const {
  return it.data_centre == front_.settings.data_centre;
}

bool report_exchange::is_heard_near(const peer& it, instant now) const {
  return is_near(it) && now - it.heard < options_.silent_after;
}

void report_exchange::send_feed(const feed_page& page) {
  auto now = event_loop::steady();
  for (const auto& bytes : encode_feed(page, max_datagram)) {
    for (auto& [address, it] : peers_) {
      if (is_heard_near(it, now)) send(it, bytes);
    }
  }
}

void report_exchange::send_to_all() {
  auto now = event_loop::steady();
  auto bytes = encode_report(own_report(now));
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
    co_await pause_for(options_.gather);
    pending_ = false;
    auto now = event_loop::steady();
    auto bytes = encode_report(own_report(now));
    for (auto& [address, it] : peers_) {
      if (!is_heard_near(it, now)) continue;
      it.next_send = now + options_.idle_period;
      send(it, bytes);
    }
  }
}

task<void> report_exchange::send_on_time() {
  for (;;) {
    auto now = event_loop::steady();
    send_near(now);
    if (now >= next_far_) send_far(now);
    co_await pause_for(send_tick);
  }
}

void report_exchange::send_near(instant now) {
  auto due = std::vector<peer*>();
  auto searched = std::vector<peer*>();
  for (auto& [address, it] : peers_) {
    auto near = is_near(it);
    auto silent = now - it.heard > options_.silent_after;
    // Of a data centre that sends summaries, nobody need be searched for.
    auto wanted = near || it.data_centre.empty();
    if (!wanted || now < it.next_send) continue;
    it.next_send =
        now + (silent ? options_.search_period : options_.idle_period);
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

std::vector<report_exchange::peer*> report_exchange::far_receivers(
    const std::string& data_centre, instant now) {
  auto all = std::vector<peer*>();
  if (auto it = front_.board.summaries.find(data_centre);
      it != front_.board.summaries.end() &&
      now - it->second.heard < options_.silent_after) {
    for (const auto& member : it->second.summary.members) {
      add_address(member.address, data_centre);
      if (auto row = peers_.find(member.address); row != peers_.end())
        all.push_back(&row->second);
    }
  } else {
    for (auto& [address, it] : peers_) {
      if (it.data_centre == data_centre) all.push_back(&it);
    }
  }
  auto out = std::vector<peer*>();
  auto n = std::min(options_.far_receivers, all.size());
  for (auto it = std::size_t{0}; it < n; ++it)
    out.push_back(all[(far_turn_ + it) % all.size()]);
  return out;
}

void report_exchange::send_far(instant now) {
  next_far_ = now + options_.far_period;
  if (!gathers(front_.board, front_.settings.name, now)) return;
  ++far_turn_;
  auto others = absl::flat_hash_set<std::string>();
  for (const auto& [address, it] : peers_) {
    if (!it.data_centre.empty() &&
        it.data_centre != front_.settings.data_centre) {
      others.insert(it.data_centre);
    }
  }
  auto report = own_report(now);
  report.loads.clear();
  report.doubts.clear();
  report.summaries = {summarise(front_.board,
                                {.name = front_.settings.name,
                                 .incarnation = front_.incarnation,
                                 .address = front_.settings.address,
                                 .store_lost = store_lost(front_)},
                                now)};
  report.summaries.front().gathered = event_loop::now();
  auto bytes = encode_report(report);
  for (const auto& data_centre : others) {
    for (auto* it : far_receivers(data_centre, now))
      send(*it, bytes);
  }
}

void report_exchange::answer_search(const load_report& from, instant now) {
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
      take_feed(front_, std::move(*page));
    return;
  }
  auto report = decode_report(bytes, size);
  if (!report || report->name == front_.settings.name) return;
  auto now = event_loop::steady();
  auto near = report->data_centre == front_.settings.data_centre;
  add_address(report->address, report->data_centre);
  for (const auto& it : report->known)
    add_address(it, "");
  if (auto it = peers_.find(report->address); it != peers_.end()) {
    auto& sender = it->second;
    // It was searched for until now, which is done more rarely.
    if (now - sender.heard > options_.silent_after) sender.next_send = now;
    sender.heard = now;
  }
  if (report->wants_reply) answer_search(*report, now);
  auto news = false;
  for (auto& it : report->summaries)
    news = take_summary(front_.board, std::move(it), !near, now) || news;
  // What came from afar is passed on within the data centre at once.
  if (news && !near) changed();
  if (news) yield_batch(front_);
  if (!near) return;
  auto name = report->name;
  auto known = front_.board.members.contains(name);
  report->summaries.clear();
  if (!take_report(front_.board, std::move(*report), now)) return;
  if (!known) front_.log.add("member_found", {{"member", name}});
  yield_batch(front_);
}

void report_exchange::send(const peer& to, const std::string& bytes) {
  auto ignored = boost::system::error_code();
  // A datagram that can't be sent is like one that is lost: more follow.
  socket_.send_to(asio::buffer(bytes), to.endpoint, 0, ignored);
}

load_report report_exchange::own_report(instant now) {
  auto out = load_report{.name = front_.settings.name,
                         .data_centre = front_.settings.data_centre,
                         .address = front_.settings.address,
                         .incarnation = front_.incarnation,
                         .sequence = ++sequence_,
                         .leaving = front_.leaving,
                         .store_lost = store_lost(front_),
                         .loads = front_.board.own,
                         .doubts = tell_doubts(front_.targets, now)};
  for (const auto& [name, it] : front_.board.summaries) {
    if (it.direct && knows_loads(front_.board, name, now))
      out.summaries.push_back(it.summary);
  }
  return out;
}

}  // namespace fulmar::serving
