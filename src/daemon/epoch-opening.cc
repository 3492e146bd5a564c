#include "epoch-opening.h"

#include <glog/logging.h>

#include <algorithm>

#include "fulmarpitch/core/errors.h"

namespace fulmar {
namespace {

/// Longest wait for the records that the members held.
constexpr auto collect_wait = std::chrono::seconds(1);
/// How far the clocks of two VMs may lie apart.
constexpr auto clock_margin = std::chrono::seconds(1);
constexpr auto retry_delay = std::chrono::milliseconds(200);
/// How often the old owner is looked for before it counts as lost.
constexpr int most_owner_looks = 10;
constexpr std::size_t list_page = 1000;

}  // namespace

epoch_opening::epoch_opening(epoch_opening_options options, take_opened done)
    : options_(std::move(options)), done_(std::move(done)) {}

void epoch_opening::start() {
  read_epoch(
      options_.links.table, options_.pool,
      [self = shared_from_this()](const auto& row) { self->take_row(row); });
}

void epoch_opening::take_row(const absl::StatusOr<epoch_row>& row) {
  if (finished_) return;
  if (!row.ok()) {
    open_provisional();
    return;
  }
  row_ = *row;
  auto start = epoch_start{.pool = options_.pool,
                           .epoch = {1, options_.incarnation},
                           .owner = options_.links.self};
  if (row_.version == 0) {
    claim(start);
    return;
  }
  auto decoded = decode_record(row_.opening_line);
  const auto* opening = std::get_if<order_record>(&decoded);
  if (opening == nullptr) {
    LOG(ERROR) << "the epoch row of pool " << options_.pool
               << " holds no record";
    finish({});
    return;
  }
  old_epoch_ = opening->epoch;
  old_owner_ = opening->origin;
  collect();
}

void epoch_opening::open_provisional() {
  auto start = epoch_start{
      .pool = options_.pool,
      .epoch = {static_cast<std::uint64_t>(event_loop::now().count()),
                options_.incarnation},
      .owner = options_.links.self,
      .detail = {.provisional = true}};
  finish({.owned = true,
          .start = std::move(start),
          .opened_at = event_loop::now()});
}

void epoch_opening::collect() {
  inputs_ = {.pool = options_.pool,
             .epoch = old_epoch_,
             .opening_line = row_.opening_line,
             .window = options_.window,
             .closer = options_.links.self,
             .limits = options_.limits};
  waiting_for_ = options_.links.members();
  collecting_ = true;
  for (const auto& it : waiting_for_) {
    auto out = wire::get_recordsT();
    out.pool = options_.pool;
    out.epoch = to_text(old_epoch_);
    options_.links.peers->send(it, std::move(out));
  }
  options_.links.loop->after(collect_wait, [self = shared_from_this()] {
    if (!self->collecting_) return;
    self->collecting_ = false;
    self->list_segments("");
  });
}

void epoch_opening::take_records(const std::string& from,
                                 const std::vector<std::string>& lines,
                                 bool complete) {
  surrendered_ = surrendered_ || (collecting_ && complete);
  if (!collecting_ || std::erase(waiting_for_, from) == 0) return;
  answered_.push_back(from);
  inputs_.collected.insert(inputs_.collected.end(), lines.begin(), lines.end());
  if (!waiting_for_.empty()) return;
  collecting_ = false;
  list_segments("");
}

void epoch_opening::list_segments(std::string after) {
  options_.links.objects.list(
      epoch_folder(options_.pool, old_epoch_), std::move(after), list_page,
      [self = shared_from_this()](const auto& names) {
        if (!names.ok()) {
          self->retry();
          return;
        }
        if (!names->empty()) self->last_segment_ = names->back();
        if (names->size() == list_page) {
          self->list_segments(names->back());
          return;
        }
        if (self->last_segment_.empty()) {
          self->close_old();
          return;
        }
        self->options_.links.objects.get(
            self->last_segment_,
            [self](const auto& bytes) { self->take_segment(bytes); });
      });
}

void epoch_opening::take_segment(const absl::StatusOr<std::string>& bytes) {
  if (!bytes.ok()) {
    retry();
    return;
  }
  inputs_.durable = {{.name = last_segment_, .bytes = *bytes}};
  close_old();
}

void epoch_opening::close_old() {
  auto sightings = options_.links.sightings();
  auto saw_owner =
      std::any_of(sightings.begin(), sightings.end(),
                  [this](const auto& it) { return it.name == old_owner_; });
  if (!saw_owner && !surrendered_ && owner_looks_++ < most_owner_looks) {
    // A daemon that has just started may not have met the old owner yet.
    retry();
    return;
  }
  if (saw_owner) {
    // Records of the owner's own entry had this VM or another as witness.
    answered_.push_back(old_owner_);
  } else {
    sightings.push_back({old_owner_, event_loop::now()});
  }
  if (!surrendered_) {
    inputs_.silent_members =
        silent_members(inputs_.durable, sightings, answered_, clock_margin);
  }
  auto end = close_epoch(inputs_, event_loop::now());
  if (!end.ok()) {
    LOG(ERROR) << "cannot close epoch " << to_text(old_epoch_) << " of pool "
               << options_.pool << ": " << end.status().message();
    retry();
    return;
  }
  end_ = std::move(*end);
  write_next(0);
}

void epoch_opening::write_next(std::size_t index) {
  if (index == end_.segments.size()) {
    claim(next_epoch(end_, old_epoch_, options_.pool, options_.links.self,
                     options_.incarnation));
    return;
  }
  const auto& segment = end_.segments[index];
  options_.links.objects.put_if_absent(
      segment.name, segment.bytes,
      [self = shared_from_this(), index](const auto& written) {
        if (!written.ok() || !*written) {
          self->retry();
          return;
        }
        self->write_next(index + 1);
      });
}

void epoch_opening::claim(const epoch_start& start) {
  auto now = event_loop::now();
  auto line = encode_record(opening_record(start, now));
  claim_epoch(
      options_.links.table, row_, std::move(line),
      [self = shared_from_this(), start, now](claim_result result) {
        if (result == claim_result::owned) {
          self->finish({.owned = true, .start = start, .opened_at = now});
          return;
        }
        self->retry();
      });
}

void epoch_opening::finish(epoch_opened result) {
  if (finished_) return;
  finished_ = true;
  done_(std::move(result));
}

void epoch_opening::retry() {
  if (finished_) return;
  collecting_ = false;
  options_.links.loop->after(retry_delay, [self = shared_from_this()] {
    auto owner = self->options_.links.owner_of(self->options_.model);
    if (owner != self->options_.links.self) {
      self->finish({});
      return;
    }
    self->last_segment_.clear();
    self->answered_.clear();
    self->surrendered_ = false;
    self->start();
  });
}

}  // namespace fulmar
