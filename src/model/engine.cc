#include "fulmarpitch/model/engine.h"

#include <algorithm>
#include <utility>

namespace fulmar::model {
namespace {

std::uint32_t cached_tokens(const engine& it, const sequence& work) {
  auto blocks = std::uint32_t(0);
  for (auto block : work.blocks) {
    if (!it.cache_places.contains(block)) break;
    ++blocks;
  }
  return std::min(work.prompt_tokens, blocks * prefix_block_tokens);
}

void cache_blocks(engine& it, const std::vector<std::uint64_t>& blocks) {
  // The first block is touched last: a prefix outlives its continuations.
  for (auto i = blocks.size(); i-- > 0;) {
    auto block = blocks[i];
    if (auto at = it.cache_places.find(block); at != it.cache_places.end()) {
      it.cache.splice(it.cache.begin(), it.cache, at->second);
      continue;
    }
    it.cache.push_front(block);
    it.cache_places[block] = it.cache.begin();
    it.changes.added.push_back(block);
  }
  while (it.cache.size() > it.cache_limit) {
    it.changes.removed.push_back(it.cache.back());
    it.cache_places.erase(it.cache.back());
    it.cache.pop_back();
  }
}

void admit_waiting(engine& it) {
  while (!it.waiting.empty() && it.running.size() < it.slots) {
    auto& next = it.waiting.front();
    auto fits = it.kv_used + next.kv_tokens <= it.kv_limit;
    if (!fits && !it.running.empty()) return;
    auto cached = cached_tokens(it, next);
    it.prompt_tokens_seen += next.prompt_tokens;
    it.prompt_tokens_cached += cached;
    // The last prompt token is always computed: it gives the first output.
    next.prefilled = std::min(std::max(cached, next.imported_tokens),
                              next.prompt_tokens - 1);
    it.kv_used += next.kv_tokens;
    it.running.push_back(std::move(next));
    it.waiting.pop_front();
  }
}

bool is_decoding(const sequence& it) {
  return it.prefilled == it.prompt_tokens;
}

void begin_step(engine& it, instant now) {
  admit_waiting(it);
  it.step_end.reset();
  if (it.running.empty()) return;
  auto decoding = std::uint32_t(0);
  auto prefill = std::uint32_t(0);
  for (const auto& each : it.running) {
    decoding += is_decoding(each) ? 1 : 0;
    prefill += each.prompt_tokens - each.prefilled;
  }
  it.chunk = std::min(prefill, it.costs.prefill_chunk);
  auto extra = it.costs.prefill_per_token_us * it.chunk;
  it.step_end = now + instant(step_us(it.costs, decoding) +
                              static_cast<std::int64_t>(extra));
}

// Takes prompt tokens in, in order of arrival.
// \return whether the sequence produces a token in this step.
bool advance(sequence& it, std::uint32_t& chunk) {
  if (is_decoding(it)) return true;
  auto taken = std::min(chunk, it.prompt_tokens - it.prefilled);
  it.prefilled += taken;
  chunk -= taken;
  return is_decoding(it);
}

}  // namespace

void start(engine& it, sequence work, instant now) {
  work.prompt_tokens = std::max<std::uint32_t>(work.prompt_tokens, 1);
  work.last_token_at = now;
  it.waiting.push_back(std::move(work));
  if (!it.step_end) begin_step(it, now);
}

std::optional<std::uint32_t> cancel(engine& it, std::uint32_t request,
                                    std::uint32_t attempt) {
  auto is_wanted = [request, attempt](const sequence& each) {
    return each.request == request && each.attempt == attempt;
  };
  auto running = std::find_if(it.running.begin(), it.running.end(), is_wanted);
  if (running != it.running.end()) {
    auto produced = running->produced;
    it.kv_used -= running->kv_tokens;
    it.running.erase(running);
    return produced;
  }
  auto waiting = std::find_if(it.waiting.begin(), it.waiting.end(), is_wanted);
  if (waiting == it.waiting.end()) return std::nullopt;
  it.waiting.erase(waiting);
  return 0;
}

void end_step(engine& it, instant now, std::vector<engine_note>& notes) {
  auto chunk = it.chunk;
  for (auto& each : it.running) {
    auto was_decoding = is_decoding(each);
    if (!advance(each, chunk)) continue;
    if (!was_decoding) cache_blocks(it, each.blocks);
    ++each.produced;
    auto kind = each.crashes                          ? note_kind::crashed
                : each.produced >= each.output_tokens ? note_kind::done
                : each.produced == 1                  ? note_kind::first_token
                                                      : note_kind::token;
    notes.push_back({.kind = kind,
                     .request = each.request,
                     .attempt = each.attempt,
                     .produced = each.produced,
                     .gap = now - each.last_token_at});
    each.last_token_at = now;
  }
  std::erase_if(it.running, [&it](const sequence& each) {
    auto is_done = each.produced >= each.output_tokens;
    if (is_done) it.kv_used -= each.kv_tokens;
    return is_done;
  });
  begin_step(it, now);
}

void crash(engine& it) {
  it.is_up = false;
  it.kv_used = 0;
  it.waiting.clear();
  it.running.clear();
  it.step_end.reset();
  it.cache.clear();
  it.cache_places.clear();
  it.changes = {};
}

cache_change take_changes(engine& it) {
  return std::exchange(it.changes, {});
}

}  // namespace fulmar::model
