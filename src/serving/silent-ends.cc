#include "fulmarpitch/serving/silent-ends.h"

#include <utility>

namespace fulmar::serving {
namespace {

enum class target_fate { unknown, alive, ended };

target_fate fate_of(const target_end& it, const target_table& table,
                    const silence_options& options, instant now) {
  auto found = table.rows.find(it.to.id);
  if (found == table.rows.end()) return target_fate::ended;
  const auto& row = found->second;
  if (row.listed.started_ms != it.to.started_ms) return target_fate::ended;
  if (is_leaving(row)) return target_fate::alive;
  return now - it.at > options.settle_time ? target_fate::alive
                                           : target_fate::unknown;
}

}  // namespace

bool note_silence(silent_ends& ends, target_end it) {
  ends.waiting.push_back(std::move(it));
  if (ends.waiting.size() <= ends.options.max_waiting) return false;
  ends.waiting.pop_front();
  return true;
}

std::vector<target_end> take_ended(silent_ends& ends, const target_table& table,
                                   instant now) {
  auto out = std::vector<target_end>();
  auto left = std::deque<target_end>();
  for (auto& it : ends.waiting) {
    auto fate = fate_of(it, table, ends.options, now);
    if (fate == target_fate::ended) {
      out.push_back(std::move(it));
    } else if (fate == target_fate::unknown) {
      left.push_back(std::move(it));
    }
  }
  ends.waiting = std::move(left);
  return out;
}

}  // namespace fulmar::serving
