#include "fulmarpitch/order/log.h"

#include <deque>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/invariant.h"

namespace fulmar {
namespace {

// The place that the closing record needs.
constexpr std::size_t close_room = 1;

struct flight {
  stored_segment segment;
  std::uint64_t last = 0;
  std::size_t records = 0;
  bool waiting = false;
  instant sent{};
};

}  // namespace

struct order_log::state {
  order_log_options options;
  append_segment append;
  std::string opening_line;
  std::deque<std::string> lines;
  std::size_t line_bytes = 0;
  /// When the oldest line that is in no segment was added.
  instant oldest{};
  std::uint64_t last = 0;
  digest last_hash{};
  std::uint64_t durable = 0;
  segment_link last_segment;
  std::optional<flight> writing;
  bool closed = false;
  bool fenced = false;

  std::string add(order_record record, instant now) {
    ensure(record.number == last + 1, invariant::order_has_no_gap,
           "an order record's number is not the next one");
    record.pool = options.start.pool;
    record.epoch = options.start.epoch;
    record.time = now;
    record.previous = last_hash;
    return add_line(encode_record(record), now);
  }

  std::string add_line(std::string line, instant now) {
    auto in_flight = writing ? writing->records : 0;
    if (lines.size() == in_flight) oldest = now;
    last_hash = sha256(line);
    ++last;
    line_bytes += line.size();
    lines.push_back(line);
    ensure(lines.size() <= options.window, invariant::order_has_no_gap,
           "more order records are pending than the window allows");
    return line;
  }

  bool due(instant now) const {
    const auto& limits = options.limits;
    return closed || lines.size() >= limits.records ||
           line_bytes >= limits.bytes || now - oldest >= limits.interval;
  }

  void cut(instant now) {
    auto segment = order_segment{.pool = options.start.pool,
                                 .epoch = options.start.epoch,
                                 .first = durable + 1,
                                 .previous = last_segment};
    std::size_t bytes = 0;
    for (const auto& it : lines) {
      auto full = segment.lines.size() >= options.limits.records ||
                  bytes >= options.limits.bytes;
      if (full) break;
      segment.lines.push_back(it);
      bytes += it.size();
    }
    segment.last = durable + segment.lines.size();
    writing = flight{.segment = encode_segment(segment),
                     .last = segment.last,
                     .records = segment.lines.size()};
    oldest = now;
  }

  void landed() {
    for (std::size_t i = 0; i < writing->records; ++i) {
      line_bytes -= lines.front().size();
      lines.pop_front();
    }
    durable = writing->last;
    last_segment = link_to(writing->segment);
    writing.reset();
  }
};

absl::Status segment_status(const absl::StatusOr<bool>& written) {
  if (!written.ok()) return written.status();
  if (*written) return {};
  return make_error(error_code::conflict, "the name holds other bytes");
}

order_record opening_record(const epoch_start& start, instant now) {
  return {.pool = start.pool,
          .epoch = start.epoch,
          .number = start.first_number,
          .time = now,
          .kind = record_kind::epoch_open,
          .origin = start.owner,
          .previous = start.previous,
          .detail = start.detail};
}

order_log::order_log(order_log_options options, append_segment append,
                     instant now)
    : state_(std::make_shared<state>()) {
  const auto& start = options.start;
  state_->last = start.first_number - 1;
  state_->durable = state_->last;
  state_->last_hash = start.previous;
  state_->last_segment = start.detail.previous_segment;
  state_->append = std::move(append);
  state_->options = std::move(options);
  state_->opening_line =
      state_->add(opening_record(state_->options.start, now), now);
}

order_log::~order_log() = default;
order_log::order_log(order_log&&) noexcept = default;
order_log& order_log::operator=(order_log&&) noexcept = default;

const std::string& order_log::opening_line() const {
  return state_->opening_line;
}

appended_record order_log::append(const sequencer_command& command,
                                  const record_context& context, instant now) {
  ensure(may_admit(), invariant::order_has_no_gap,
         "a command was appended to a log that takes none");
  auto record = make_record(command, context);
  auto out = appended_record{
      .number = record.number,
      .needs_witness = record.origin == state_->options.start.owner};
  out.line = state_->add(std::move(record), now);
  return out;
}

void order_log::tick(instant now) {
  auto& it = *state_;
  if (it.fenced || (it.writing && it.writing->waiting)) return;
  if (it.writing && now - it.writing->sent < it.options.limits.interval) {
    return;
  }
  if (!it.writing) {
    if (it.lines.empty() || !it.due(now)) return;
    it.cut(now);
  }
  it.writing->waiting = true;
  it.writing->sent = now;
  // Copies, for the answer may come before the call returns.
  auto segment = it.writing->segment;
  auto done = [weak = std::weak_ptr<state>(state_)](const absl::Status& ec) {
    auto self = weak.lock();
    if (!self || !self->writing) return;
    self->writing->waiting = false;
    if (ec.ok()) self->landed();
    if (code_of(ec) == error_code::conflict) self->fenced = true;
  };
  it.append(std::move(segment.name), std::move(segment.bytes), done);
}

void order_log::close(instant now) {
  if (state_->closed || state_->fenced) return;
  auto record = order_record();
  record.number = state_->last + 1;
  record.kind = record_kind::epoch_close;
  record.origin = state_->options.start.owner;
  record.detail = close_detail();
  state_->add(std::move(record), now);
  state_->closed = true;
}

bool order_log::may_admit() const {
  return room() > 0;
}

std::size_t order_log::room() const {
  if (state_->closed || state_->fenced) return 0;
  auto used = state_->lines.size() + close_room;
  auto window = state_->options.window;
  return used < window ? window - used : 0;
}

bool order_log::fenced() const {
  return state_->fenced;
}

bool order_log::flushed() const {
  return state_->lines.empty();
}

std::uint64_t order_log::durable_number() const {
  return state_->durable;
}

std::uint64_t order_log::last_number() const {
  return state_->last;
}

digest order_log::last_hash() const {
  return state_->last_hash;
}

const segment_link& order_log::last_segment() const {
  return state_->last_segment;
}

std::vector<std::string> order_log::pending() const {
  return {state_->lines.begin(), state_->lines.end()};
}

}  // namespace fulmar
