#include "fulmarpitch/order/audit.h"

#include <algorithm>
#include <map>
#include <utility>

#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

constexpr digest no_digest{};

struct number_range {
  std::uint64_t from = 0;
  std::uint64_t to = 0;

  bool operator==(const number_range&) const = default;
};

/// A row of the audit's table of epochs.
struct epoch_entry {
  std::string pool;
  epoch_id epoch;
  std::optional<open_detail> opening;
  digest opening_previous{};
  segment_link first_previous;
  segment_link link;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  digest hash{};
  instant first_time{};
  /// The last time but that of the closing record, which a successor writes.
  instant last_time{};
  bool closed = false;
  std::vector<number_range> gaps;
};

bool is_named(audit_fault it) {
  return it == audit_fault::named_hole ||
         it == audit_fault::provisional_epoch ||
         it == audit_fault::epochs_overlap;
}

bool in_range(const order_record& record, const audit_options& options) {
  if (options.from && record.time < *options.from) return false;
  if (options.to && record.time > *options.to) return false;
  return !options.caller || record.caller == *options.caller;
}

bool is_provisional(const epoch_entry& it) {
  return it.opening && it.opening->provisional;
}

bool times_meet(const epoch_entry& a, const epoch_entry& b) {
  return a.first_time <= b.last_time && b.first_time <= a.last_time;
}

}  // namespace

struct order_auditor::state {
  audit_options options;
  audit_report report;
  std::vector<epoch_entry> epochs;
  std::vector<bool> heads_seen;
  std::string segment;

  void find(audit_fault fault, const epoch_entry& at, std::uint64_t from,
            std::uint64_t to, std::string note) {
    report.findings.push_back({.fault = fault,
                               .segment = segment,
                               .pool = at.pool,
                               .epoch = to_text(at.epoch),
                               .from = from,
                               .to = to,
                               .note = std::move(note)});
  }

  epoch_entry& entry_of(const order_segment& it) {
    auto is_same = !epochs.empty() && epochs.back().pool == it.pool &&
                   epochs.back().epoch == it.epoch;
    if (is_same) return epochs.back();
    epochs.push_back({.pool = it.pool,
                      .epoch = it.epoch,
                      .first_previous = it.previous,
                      .first = it.first,
                      .last = it.first - 1});
    return epochs.back();
  }

  void check_segment(const order_segment& it, epoch_entry& at) {
    if (segment_name(it.pool, it.epoch, it.first) != segment) {
      find(audit_fault::segment_misnamed, at, it.first, it.last,
           "the header belongs to another name");
    }
    if (!at.link.name.empty() && at.link != it.previous) {
      find(audit_fault::segment_link_broken, at, it.first, it.last,
           concat("names ", it.previous.name, " as the segment before"));
    }
  }

  void check_line(const std::string& line, epoch_entry& at) {
    ++report.records;
    auto decoded = decode_record(line);
    if (const auto* fault = std::get_if<record_fault>(&decoded)) {
      ++at.last;
      at.hash = sha256(line);
      find(audit_fault::record_unreadable, at, at.last, at.last,
           std::string(name_in(record_fault_names, *fault)));
      return;
    }
    const auto& record = std::get<order_record>(decoded);
    if (record.pool != at.pool || record.epoch != at.epoch) {
      find(audit_fault::record_misplaced, at, record.number, record.number,
           concat("belongs to ", record.pool, " ", to_text(record.epoch)));
    }
    check_number(record, at);
    check_kind(record, at);
    check_choice(record, at);
    at.hash = sha256(line);
    at.last = std::max(at.last, record.number);
    check_heads(record, at);
  }

  void check_number(const order_record& record, epoch_entry& at) {
    auto is_first = record.kind == record_kind::epoch_open && !at.opening;
    if (record.number <= at.last) {
      find(audit_fault::number_repeated, at, record.number, record.number,
           "the number was used before");
      return;
    }
    auto has_gap = record.number != at.last + 1;
    if (has_gap) at.gaps.push_back({at.last + 1, record.number - 1});
    // After a hole only the closing record names what is still there.
    auto is_linked = !has_gap || record.kind == record_kind::epoch_close;
    if (!is_first && is_linked && record.previous != at.hash) {
      find(audit_fault::chain_broken, at, record.number, record.number,
           "the record before has another digest");
    }
  }

  void check_kind(const order_record& record, epoch_entry& at) {
    if (at.closed) {
      find(audit_fault::record_after_close, at, record.number, record.number,
           "the epoch was closed before");
    }
    if (const auto* detail = std::get_if<open_detail>(&record.detail)) {
      if (at.opening || record.number != at.first) {
        find(audit_fault::record_misplaced, at, record.number, record.number,
             "an epoch opens with its first record only");
      }
      at.opening = *detail;
      at.opening_previous = record.previous;
      at.first_time = record.time;
      at.last_time = record.time;
      return;
    }
    if (!at.opening && record.number == at.first) {
      find(audit_fault::epoch_not_opened, at, record.number, record.number,
           "the first record opens no epoch");
      at.first_time = record.time;
    }
    if (const auto* detail = std::get_if<close_detail>(&record.detail)) {
      close(*detail, at);
      return;
    }
    at.last_time = std::max(at.last_time, record.time);
  }

  void close(const close_detail& detail, epoch_entry& at) {
    at.closed = true;
    std::uint64_t missing = 0;
    for (const auto& it : detail.holes) {
      auto gap = std::find(at.gaps.begin(), at.gaps.end(),
                           number_range{it.from, it.to});
      missing += it.to - it.from + 1;
      if (gap == at.gaps.end()) {
        find(audit_fault::number_gap, at, it.from, it.to,
             "the closing record names a hole that is not there");
        continue;
      }
      at.gaps.erase(gap);
      find(audit_fault::named_hole, at, it.from, it.to,
           std::string(name_in(hole_kind_names, it.kind)));
    }
    if (missing > options.window) {
      find(audit_fault::hole_too_wide, at, at.first, at.last,
           concat(missing, " records are missing, more than the window"));
    }
  }

  void check_choice(const order_record& record, const epoch_entry& at) {
    const auto* detail = std::get_if<admit_detail>(&record.detail);
    if (detail == nullptr || !in_range(record, options)) return;
    ++report.replayed;
    auto replayed = choose(detail->inputs);
    if (replayed == detail->chosen) return;
    auto note = replayed ? concat("the rule admits ", replayed->request_id,
                                  " to ", replayed->target)
                         : std::string("the rule admits nothing");
    find(audit_fault::choice_differs, at, record.number, record.number, note);
  }

  void check_heads(const order_record& record, const epoch_entry& at) {
    for (std::size_t i = 0; i < options.heads.size(); ++i) {
      const auto& it = options.heads[i];
      auto is_head = it.pool == at.pool && it.epoch == at.epoch &&
                     it.number == record.number;
      if (!is_head) continue;
      heads_seen[i] = true;
      if (it.hash == at.hash) continue;
      find(audit_fault::head_differs, at, it.number, it.number,
           "the record is not the one that was noted");
    }
  }

  void finish_epoch(std::size_t i) {
    auto& at = epochs[i];
    for (const auto& it : at.gaps) {
      find(audit_fault::number_gap, at, it.from, it.to,
           "records are missing and no closing record says so");
    }
    auto is_newest = i + 1 == epochs.size() || epochs[i + 1].pool != at.pool;
    if (is_newest) {
      report.heads.push_back({at.pool, at.epoch, at.last, at.hash});
    } else if (!at.closed) {
      find(audit_fault::epoch_not_closed, at, at.last, at.last,
           "a later epoch exists");
    }
    if (at.opening) check_predecessor(i);
  }

  void check_predecessor(std::size_t i) {
    const auto& at = epochs[i];
    if (is_provisional(at)) {
      find(audit_fault::provisional_epoch, at, at.first, at.last,
           "opened while the platform was away");
      return;
    }
    auto is_before = [&](const epoch_entry& it) {
      return it.pool == at.pool && it.epoch == at.opening->predecessor;
    };
    auto before = std::find_if(epochs.begin(), epochs.end(), is_before);
    if (before == epochs.end()) {
      auto is_start = at.opening->predecessor.number == 0 &&
                      at.opening_previous == no_digest;
      if (is_start) return;
      find(audit_fault::epoch_link_broken, at, at.first, at.first,
           concat("epoch ", to_text(at.opening->predecessor), " is missing"));
      return;
    }
    auto is_linked = before->hash == at.opening_previous &&
                     before->last + 1 == at.first &&
                     before->link == at.first_previous &&
                     at.opening->previous_segment == at.first_previous;
    if (is_linked) return;
    find(audit_fault::epoch_link_broken, at, at.first, at.first,
         concat("does not go on from the end of epoch ",
                to_text(before->epoch)));
  }

  void check_pair(const epoch_entry& a, const epoch_entry& b) {
    if (a.pool != b.pool || !a.opening || !b.opening) return;
    auto note = concat("epoch ", to_text(a.epoch), " of the same pool");
    if (is_provisional(a) || is_provisional(b)) {
      if (!times_meet(a, b)) return;
      find(audit_fault::epochs_overlap, b, b.first, b.last, note);
      return;
    }
    auto same_root = a.opening->predecessor == b.opening->predecessor;
    if (!same_root && a.epoch.number != b.epoch.number) return;
    find(audit_fault::epochs_forked, b, b.first, b.last, note);
  }
};

audit_verdict verdict_of(const audit_report& report) {
  if (report.findings.empty()) return audit_verdict::clean;
  auto named = [](const audit_finding& it) { return is_named(it.fault); };
  auto all = std::all_of(report.findings.begin(), report.findings.end(), named);
  return all ? audit_verdict::named_gaps : audit_verdict::faults;
}

order_auditor::order_auditor(audit_options options)
    : state_(std::make_unique<state>()) {
  state_->heads_seen.resize(options.heads.size());
  state_->options = std::move(options);
}

order_auditor::~order_auditor() = default;
order_auditor::order_auditor(order_auditor&&) noexcept = default;
order_auditor& order_auditor::operator=(order_auditor&&) noexcept = default;

void order_auditor::add(const stored_segment& segment) {
  ++state_->report.segments;
  state_->segment = segment.name;
  auto decoded = decode_segment(segment.bytes);
  if (const auto* fault = std::get_if<segment_fault>(&decoded)) {
    state_->find(audit_fault::segment_unreadable, {}, 0, 0,
                 std::string(name_in(segment_fault_names, *fault)));
    return;
  }
  const auto& it = std::get<order_segment>(decoded);
  auto& at = state_->entry_of(it);
  state_->check_segment(it, at);
  for (const auto& line : it.lines)
    state_->check_line(line, at);
  if (at.last != it.last) {
    state_->find(audit_fault::segment_misnamed, at, it.first, it.last,
                 "the header's last number is not the last record's");
  }
  at.link = link_to(segment);
}

audit_report order_auditor::finish() {
  auto& it = *state_;
  it.segment.clear();
  for (std::size_t i = 0; i < it.epochs.size(); ++i) {
    it.finish_epoch(i);
    // The epochs of a pool stand together.
    for (auto j = i; j > 0 && it.epochs[j - 1].pool == it.epochs[i].pool; --j)
      it.check_pair(it.epochs[j - 1], it.epochs[i]);
  }
  for (std::size_t i = 0; i < it.heads_seen.size(); ++i) {
    if (it.heads_seen[i]) continue;
    const auto& head = it.options.heads[i];
    it.find(audit_fault::head_differs, {.pool = head.pool, .epoch = head.epoch},
            head.number, head.number, "the record that was noted is missing");
  }
  return std::move(it.report);
}

}  // namespace fulmar
