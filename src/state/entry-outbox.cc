#include "fulmarpitch/state/entry-outbox.h"

#include <utility>

#include "fulmarpitch/core/errors.h"

namespace fulmar {

absl::Status entry_outbox::reserve(std::size_t bytes) {
  const auto records = entries_.size() + reservations_;
  if (records >= options_.most_records ||
      bytes_ + bytes > options_.most_bytes) {
    return make_error(error_code::overloaded, "the outbox is full");
  }
  ++reservations_;
  bytes_ += bytes;
  return absl::OkStatus();
}

void entry_outbox::release(std::size_t bytes) {
  --reservations_;
  bytes_ -= bytes;
}

void entry_outbox::add(result_record record, std::size_t reserved) {
  release(reserved);
  const auto [it, added] = entries_.try_emplace(record.request_id);
  if (!added) return;
  bytes_ += record.body.size();
  it->second.record = std::move(record);
}

std::vector<result_record> entry_outbox::take_due(instant now) {
  auto out = std::vector<result_record>();
  for (auto& [id, it] : entries_) {
    if (it.send_at > now) continue;
    it.send_at = now + options_.resend_after;
    if (it.step == outbox_step::waiting) it.step = outbox_step::sent;
    out.push_back(it.record);
  }
  return out;
}

void entry_outbox::held(const std::string& request_id) {
  const auto it = entries_.find(request_id);
  if (it != entries_.end()) it->second.step = outbox_step::held;
}

void entry_outbox::acknowledged(const std::string& request_id) {
  const auto it = entries_.find(request_id);
  if (it == entries_.end()) return;
  bytes_ -= it->second.record.body.size();
  entries_.erase(it);
}

void entry_outbox::recorder_changed() {
  for (auto& [id, it] : entries_) {
    it.step = outbox_step::waiting;
    it.send_at = instant{};
  }
}

const result_record* entry_outbox::find(const std::string& request_id) const {
  const auto it = entries_.find(request_id);
  return it == entries_.end() ? nullptr : &it->second.record;
}

}  // namespace fulmar
