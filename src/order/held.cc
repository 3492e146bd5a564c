#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/order/log.h"

namespace fulmar {

absl::Status held_records::take(std::string_view line) {
  auto decoded = decode_record(line);
  const auto* record = std::get_if<order_record>(&decoded);
  if (record == nullptr) {
    return make_error(error_code::bad_request, "the line is no order record");
  }
  auto& held = epochs_[{record->pool, to_text(record->epoch)}];
  held.epoch = record->epoch;
  if (held.sealed) {
    return make_error(error_code::conflict, "the epoch is closed");
  }
  auto [it, added] = held.lines.try_emplace(record->number, line);
  if (!added && it->second != line) {
    return make_error(error_code::conflict,
                      "the number belongs to another record");
  }
  return {};
}

void held_records::release(const std::string& pool, const epoch_id& epoch,
                           std::uint64_t number) {
  auto it = epochs_.find({pool, to_text(epoch)});
  if (it == epochs_.end()) return;
  auto& lines = it->second.lines;
  lines.erase(lines.begin(), lines.upper_bound(number));
}

void held_records::closed(const std::string& pool, const epoch_id& epoch,
                          std::uint64_t number) {
  seal(pool, epoch);
  release(pool, epoch, number);
}

void held_records::seal(const std::string& pool, const epoch_id& epoch) {
  auto& held = epochs_[{pool, to_text(epoch)}];
  held.epoch = epoch;
  held.sealed = true;
}

std::vector<std::string> held_records::lines(const std::string& pool,
                                             const epoch_id& epoch) const {
  auto out = std::vector<std::string>();
  auto it = epochs_.find({pool, to_text(epoch)});
  if (it == epochs_.end()) return out;
  for (const auto& [number, line] : it->second.lines)
    out.push_back(line);
  return out;
}

std::vector<epoch_id> held_records::epochs(const std::string& pool) const {
  auto out = std::vector<epoch_id>();
  for (const auto& [key, held] : epochs_) {
    if (key.first == pool && !held.lines.empty()) out.push_back(held.epoch);
  }
  return out;
}

std::size_t held_records::size() const {
  std::size_t out = 0;
  for (const auto& [key, held] : epochs_)
    out += held.lines.size();
  return out;
}

}  // namespace fulmar
