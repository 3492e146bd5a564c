#include "fulmarpitch/serving/load-board.h"

#include <algorithm>
#include <utility>

namespace fulmar::serving {
namespace {

/// Silent members are removed after this many expiries.
constexpr int removal_expiries = 10;

bool is_near(const load_board& board, const member_row& it) {
  return it.report.data_centre == board.data_centre;
}

bool load_counts(const load_board& board, const member_row& it, instant now) {
  return is_near(board, it) && now - it.heard <= board.options.load_expiry;
}

bool load_counts(const load_board& board, const summary_row& it, instant now) {
  return now - it.heard <= board.options.summary_expiry;
}

bool is_live(const load_board& board, const member_row& it, instant now) {
  return is_near(board, it) && !it.report.leaving &&
         now - it.heard <= board.options.member_expiry;
}

bool is_live(const load_board& board, const summary_row& it, instant now) {
  return now - it.heard <= board.options.data_centre_expiry;
}

/// \return whether no live member for which `counts` holds has a lower name.
template <typename Counts>
bool has_least_name(const load_board& board, const std::string& self,
                    instant now, Counts counts) {
  return std::none_of(
      board.members.begin(), board.members.end(), [&](const auto& it) {
        return it.first < self && is_live(board, it.second, now) &&
               counts(it.second.report);
      });
}

/// \return a reported failure state with its times converted to the steady
///     clock.
target_health since(target_health it, instant heard) {
  it.avoid_until += heard;
  it.trial_until += heard;
  return it;
}

void add_loads(load_table& to, const load_table& from) {
  for (const auto& [target, load] : from) {
    auto& sum = to[target];
    sum.online += load.online;
    sum.batch += load.batch;
  }
}

}  // namespace

bool take_report(load_board& board, load_report it, instant now) {
  auto [at, added] = board.members.try_emplace(it.name);
  auto& row = at->second;
  auto started = now - it.age;
  auto same_life = !added && it.incarnation == row.report.incarnation;
  if (same_life && it.sequence <= row.report.sequence) return false;
  if (!same_life && !added && started <= row.started) return false;
  row.started = same_life ? std::min(row.started, started) : started;
  row.report = std::move(it);
  row.heard = now;
  return true;
}

bool take_summary(load_board& board, load_summary it, instant now) {
  if (it.data_centre.empty() || it.data_centre == board.data_centre)
    return false;
  auto& row = board.summaries[it.data_centre];
  auto& sequence = row.sequences[it.gatherer];
  if (it.sequence <= sequence) return false;
  sequence = it.sequence;
  if (!it.names_members) it.members = std::move(row.summary.members);
  row.summary = std::move(it);
  row.heard = now;
  return true;
}

load_summary summarise(const load_board& board, const summary_member& self,
                       instant now) {
  auto out = load_summary{
      .data_centre = board.data_centre, .loads = board.own, .members = {self}};
  for (const auto& [name, it] : board.members) {
    if (load_counts(board, it, now)) add_loads(out.loads, it.report.loads);
    if (!is_live(board, it, now)) continue;
    out.members.push_back({.name = name,
                           .incarnation = it.report.incarnation,
                           .address = it.report.address,
                           .store_lost = it.report.store_lost});
  }
  return out;
}

bool gathers(const load_board& board, const std::string& self, instant now) {
  return has_least_name(board, self, now, [](const auto&) { return true; });
}

bool reads_for_others(const load_board& board, const std::string& self,
                      bool store_lost, instant now) {
  if (store_lost) return false;
  return has_least_name(board, self, now,
                        [](const auto& it) { return !it.store_lost; });
}

target_load load_of(const load_board& board, std::uint64_t target,
                    instant now) {
  auto sum = target_load();
  auto add = [&](const load_table& from) {
    auto it = from.find(target);
    if (it == from.end()) return;
    sum.online += it->second.online;
    sum.batch += it->second.batch;
  };
  add(board.own);
  for (const auto& [name, it] : board.members) {
    if (load_counts(board, it, now)) add(it.report.loads);
  }
  for (const auto& [name, it] : board.summaries) {
    if (load_counts(board, it, now)) add(it.summary.loads);
  }
  return sum;
}

target_health doubt_of(const load_board& board, std::uint64_t target,
                       instant now) {
  auto out = target_health();
  for (const auto& [name, it] : board.members) {
    if (!load_counts(board, it, now)) continue;
    auto found = it.report.doubts.find(target);
    if (found == it.report.doubts.end()) continue;
    out = join(out, since(found->second, it.heard));
  }
  return out;
}

load_table all_loads(const load_board& board, instant now) {
  auto out = board.own;
  for (const auto& [name, it] : board.members) {
    if (load_counts(board, it, now)) add_loads(out, it.report.loads);
  }
  for (const auto& [name, it] : board.summaries) {
    if (load_counts(board, it, now)) add_loads(out, it.summary.loads);
  }
  return out;
}

target_health_table all_doubts(const load_board& board, instant now) {
  auto out = target_health_table();
  for (const auto& [name, it] : board.members) {
    if (!load_counts(board, it, now)) continue;
    for (const auto& [target, doubt] : it.report.doubts) {
      auto& joint = out[target];
      joint = join(joint, since(doubt, it.heard));
    }
  }
  return out;
}

std::optional<std::uint64_t> live_incarnation(const load_board& board,
                                              const std::string& name,
                                              instant now) {
  auto near = board.members.find(name);
  if (near != board.members.end() && is_live(board, near->second, now))
    return near->second.report.incarnation;
  for (const auto& [data_centre, row] : board.summaries) {
    if (!is_live(board, row, now)) continue;
    for (const auto& it : row.summary.members) {
      if (it.name == name) return it.incarnation;
    }
  }
  return std::nullopt;
}

double heard_share(const load_board& board, instant now) {
  auto heard = 1.0;
  auto all = 1.0;
  for (const auto& [name, it] : board.members) {
    if (!is_near(board, it) || it.report.leaving) continue;
    if (now - it.heard > board.options.max_remembered_silence) continue;
    ++all;
    if (load_counts(board, it, now)) ++heard;
  }
  return heard / all;
}

load_knowledge load_knowledge_of(const load_board& board,
                                 const std::string& data_centre, instant now) {
  if (data_centre == board.data_centre) return load_knowledge::reported;
  auto it = board.summaries.find(data_centre);
  auto known = it != board.summaries.end();
  if (known && load_counts(board, it->second, now))
    return load_knowledge::reported;
  auto silence = now - (known ? it->second.heard : board.began);
  return silence <= board.options.max_remembered_silence
             ? load_knowledge::unreported
             : load_knowledge::abandoned;
}

const target_answer* answer_of(const load_board& board, std::uint64_t target,
                               instant now) {
  auto it = board.answers.find(target);
  if (it == board.answers.end() ||
      now - it->second.heard > board.options.answer_expiry)
    return nullptr;
  return &it->second;
}

load_knowledge apply_answer(const load_board& board, std::uint64_t target,
                            target_load& load, instant now) {
  const auto* answer = answer_of(board, target, now);
  if (answer == nullptr) return load_knowledge::unreported;
  if (!answer->unreported) return load_knowledge::abandoned;
  load.online += *answer->unreported;
  return load_knowledge::reported;
}

instant oldest_report(const load_board& board, instant now) {
  auto out = instant();
  for (const auto& [name, it] : board.members) {
    if (load_counts(board, it, now)) out = std::max(out, now - it.heard);
  }
  return out;
}

std::vector<std::string> live_members(const load_board& board,
                                      const std::string& data_centre,
                                      instant now) {
  auto out = std::vector<std::string>();
  auto wanted = [&](const std::string& it) {
    return data_centre.empty() || it == data_centre;
  };
  for (const auto& [name, it] : board.members) {
    if (wanted(it.report.data_centre) && is_live(board, it, now))
      out.push_back(name);
  }
  for (const auto& [name, row] : board.summaries) {
    if (!wanted(name) || !is_live(board, row, now)) continue;
    for (const auto& it : row.summary.members)
      out.push_back(it.name);
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::optional<std::string> find_store_helper(const load_board& board,
                                             std::uint64_t key, instant now) {
  auto near = std::vector<std::string>();
  for (const auto& [name, it] : board.members) {
    if (is_live(board, it, now) && !it.report.store_lost)
      near.push_back(it.report.address);
  }
  auto far = std::vector<std::string>();
  for (const auto& [name, row] : board.summaries) {
    if (!near.empty() || !is_live(board, row, now)) continue;
    for (const auto& it : row.summary.members) {
      if (!it.store_lost) far.push_back(it.address);
    }
  }
  auto& among = near.empty() ? far : near;
  if (among.empty()) return std::nullopt;
  std::sort(among.begin(), among.end());
  return among[key % among.size()];
}

std::vector<store_member> live_store_members(const load_board& board,
                                             instant now) {
  auto out = std::vector<store_member>();
  for (const auto& [name, it] : board.members) {
    if (!is_live(board, it, now) || it.report.store_lost) continue;
    out.push_back({.name = name,
                   .incarnation = it.report.incarnation,
                   .data_centre = it.report.data_centre});
  }
  for (const auto& [name, row] : board.summaries) {
    if (!is_live(board, row, now)) continue;
    for (const auto& it : row.summary.members) {
      if (it.store_lost) continue;
      out.push_back({.name = it.name,
                     .incarnation = it.incarnation,
                     .data_centre = name});
    }
  }
  return out;
}

void drop_silent_members(load_board& board, instant now) {
  auto limit = board.options.member_expiry * removal_expiries;
  auto silent = [&](const auto& it) { return now - it.second.heard > limit; };
  absl::erase_if(board.members, silent);
  absl::erase_if(board.summaries, silent);
  absl::erase_if(board.answers, [&](const auto& it) {
    return now - it.second.heard > board.options.answer_expiry;
  });
}

std::uint32_t batch_to_yield(const load_board& board, const std::string& self,
                             std::uint64_t target, std::uint32_t slots,
                             instant now) {
  auto mine = board.own.find(target);
  if (mine == board.own.end() || mine->second.batch == 0) return 0;
  auto total = load_of(board, target, now).total();
  if (total <= slots) return 0;
  for (const auto& [name, it] : board.members) {
    if (!load_counts(board, it, now)) continue;
    auto theirs = it.report.loads.find(target);
    if (theirs == it.report.loads.end()) continue;
    auto more = theirs->second.batch > mine->second.batch ||
                (theirs->second.batch == mine->second.batch && name < self);
    if (more) return 0;
  }
  return std::min(total - slots, mine->second.batch);
}

}  // namespace fulmar::serving
