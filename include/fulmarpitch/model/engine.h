#pragma once

/// \file
/// A model engine in virtual time: continuous batching, a KV limit and a
/// prefix cache. It knows no priorities and admits work as it arrives.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <vector>

#include "fulmarpitch/core/routing.h"
#include "fulmarpitch/core/types.h"

namespace fulmar::model {

/// What an engine is given to run.
struct sequence {
  std::uint32_t request = 0;
  std::uint32_t attempt = 0;
  /// Tokens to take in; what an earlier attempt produced is part of them.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t kv_tokens = 0;
  /// Tokens whose KV cache is imported instead of computed.
  std::uint32_t imported_tokens = 0;
  std::vector<std::uint64_t> blocks;
  bool crashes = false;

  std::uint32_t prefilled = 0;
  std::uint32_t produced = 0;
  instant last_token_at{};
};

enum class note_kind { first_token, token, done, crashed };

/// What happened to a sequence at the end of a step.
struct engine_note {
  note_kind kind = note_kind::token;
  std::uint32_t request = 0;
  std::uint32_t attempt = 0;
  std::uint32_t produced = 0;
  /// Time since the sequence's token before.
  instant gap{};
};

/// Blocks that entered and left a prefix cache.
struct cache_change {
  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> removed;
};

/// An engine and what it runs.
struct engine {
  engine_costs costs;
  std::uint32_t slots = 0;
  std::uint64_t kv_limit = 0;
  std::size_t cache_limit = 0;

  bool is_up = true;
  std::uint64_t kv_used = 0;
  std::deque<sequence> waiting;
  std::vector<sequence> running;
  /// End of the step under way.
  std::optional<instant> step_end;
  std::uint32_t chunk = 0;
  std::list<std::uint64_t> cache;
  absl::flat_hash_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      cache_places;
  cache_change changes;
  std::uint64_t prompt_tokens_seen = 0;
  std::uint64_t prompt_tokens_cached = 0;
};

/// Gives a sequence to the engine.
void start(engine& it, sequence work, instant now);

/// Takes a sequence back.
/// \return the tokens it has produced, or nothing when it is not there.
std::optional<std::uint32_t> cancel(engine& it, std::uint32_t request,
                                    std::uint32_t attempt);

/// Ends the step under way and begins the next.
/// \param now the end of the step.
/// \param notes receives what happened.
void end_step(engine& it, instant now, std::vector<engine_note>& notes);

/// Loses everything the engine holds.
void crash(engine& it);

/// Takes the cache changes since the last call.
cache_change take_changes(engine& it);

}  // namespace fulmar::model
