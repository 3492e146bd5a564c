#pragma once

/// \file
/// Finding a chunk to work on, and holding it under a lease.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fulmarpitch/state/jobs.h"

namespace fulmar {

/// Where a holder stands with its chunk.
enum class lease_state {
  acquiring,
  held,
  committing,
  returning,
  committed,
  returned,
  lost
};

inline constexpr std::array<named<lease_state>, 7> lease_state_names{{
    {lease_state::acquiring, "acquiring"},
    {lease_state::held, "held"},
    {lease_state::committing, "committing"},
    {lease_state::returning, "returning"},
    {lease_state::committed, "committed"},
    {lease_state::returned, "returned"},
    {lease_state::lost, "lost"},
}};

/// What happens to a lease.
enum class lease_event {
  granted,
  refused,
  lapsed,
  fenced,
  finished,
  hand_back,
  written
};

/// The state machine of one chunk's lease.
class lease_machine {
 public:
  lease_machine();
  ~lease_machine();
  lease_machine(lease_machine&&) noexcept;
  lease_machine& operator=(lease_machine&&) noexcept;

  /// Applies an event; one that has no meaning in the state changes nothing.
  /// \param event what happened.
  /// \return the state afterwards.
  lease_state apply(lease_event event);

  /// \return the state.
  lease_state current() const;

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

/// The result of one item.
struct item_result {
  std::string custom_id;
  /// Whether the line goes to the output file, or to the error file.
  bool succeeded = true;
  /// Whether the item was never started because the job was cancelled.
  bool cancelled = false;
  /// One line of JSON without its end.
  std::string line;
};

/// A chunk that could be worked on.
struct chunk_candidate {
  job_info job;
  chunk_info chunk;
};

/// How chunks are held.
struct chunk_options {
  /// Unique for each life of a VM's daemon.
  std::string holder;
  std::uint64_t random_seed = 1;
  /// Whether a holder is known to be lost; its chunks need not wait for the end
  /// of their leases, for the fencing number refuses it should it come back.
  std::function<bool(const std::string& holder)> is_lost;
  instant lease_length = std::chrono::seconds(60);
  instant renew_after = std::chrono::seconds(25);
  /// No item starts in the last part of a lease.
  instant stop_before = std::chrono::seconds(5);
  /// Time between two looks at whether the job was cancelled.
  instant cancel_check = std::chrono::seconds(2);
  instant first_retry = std::chrono::milliseconds(200);
  instant longest_retry = std::chrono::seconds(5);
};

/// A chunk under lease, from acquiring it to its commit. Not for several
/// threads.
class chunk_holder {
 public:
  /// Starts to acquire the chunk.
  /// \param stores the stores.
  /// \param options how chunks are held.
  /// \param candidate the chunk that a finder gave.
  /// \param now the time.
  chunk_holder(platform_stores stores, chunk_options options,
               chunk_candidate candidate, instant now);
  ~chunk_holder();
  chunk_holder(chunk_holder&&) noexcept;
  chunk_holder& operator=(chunk_holder&&) noexcept;

  /// Renews, retries and looks for cancellation.
  /// \param now the time.
  /// \return the state.
  lease_state tick(instant now);

  lease_state current() const;

  /// \return the items, once they are read; null before.
  const std::vector<batch_item>* items() const;

  /// \param now the time.
  /// \return whether an item may start now.
  bool may_start(instant now) const;

  /// \return whether the job was cancelled: items that did not start get the
  ///   result `cancelled`, running ones are cancelled at their targets.
  bool cancelled() const;

  /// Writes the output and commits it.
  /// \param results exactly one result for each item.
  /// \throws invariant_broken when an item has no result, or two.
  void finish(const std::vector<item_result>& results);

  /// Gives the chunk up, so that another VM can lease it at once.
  void hand_back();

  const chunk_candidate& candidate() const;

  struct state;

 private:
  std::shared_ptr<state> state_;
};

/// Finds work over the open jobs by due time, and closes jobs whose chunks are
/// all final. It remembers how far each job is final, so that it does not read
/// those chunks again.
class chunk_finder {
 public:
  /// Says whether this VM wants work of a job.
  using job_filter = std::function<bool(const job_info&)>;

  chunk_finder(platform_stores stores, chunk_options options);
  ~chunk_finder();
  chunk_finder(chunk_finder&&) noexcept;
  chunk_finder& operator=(chunk_finder&&) noexcept;

  /// Looks for a chunk that is not leased, or whose lease lapsed.
  /// \param now the time.
  /// \param wants which jobs to consider.
  /// \param done receives a chunk, or nothing when there is none; may be
  ///   called after the finder was destroyed.
  void next_chunk(instant now, job_filter wants,
                  callback<std::optional<chunk_candidate>> done);

  struct state;

 private:
  std::shared_ptr<state> state_;
};

/// Writes the result line of an item that was cancelled before it started.
/// \param custom_id the item's id.
/// \return one line of JSON without its end.
std::string cancelled_line(std::string_view custom_id);

}  // namespace fulmar
