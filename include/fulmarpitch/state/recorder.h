#pragma once

/// \file
/// The recorder of a data centre: writes results, claims and order segments to
/// the stores in group commits. Two recorders at once are harmless.

#include <cstdint>
#include <memory>
#include <string>

#include "fulmarpitch/state/results.h"

namespace fulmar {

/// How a recorder is built.
struct recorder_options {
  std::string data_centre;
  /// Unique for each recorder that is ever built: transactions and objects are
  /// named after it.
  std::string name;
  std::uint64_t random_seed = 1;
  /// Time between two groups of results.
  instant result_interval = std::chrono::seconds(1);
  /// Time between two groups of claims; a claim delays its request.
  instant claim_interval = std::chrono::milliseconds(200);
  /// Bounds of everything that is not in the stores yet.
  std::size_t most_pending = 20'000;
  std::size_t most_pending_bytes = std::size_t{16} * 1024 * 1024;
  instant first_retry = std::chrono::milliseconds(100);
  instant longest_retry = std::chrono::seconds(5);
};

/// A result's place in the data centre's order of groups.
struct recorded {
  std::uint64_t sequence = 0;
};

/// What a recorder holds that is not in the stores yet.
struct recorder_load {
  std::size_t results = 0;
  std::size_t claims = 0;
  std::size_t segments = 0;
  std::size_t bytes = 0;
};

/// The group committer of a data centre. Not for several threads. Callbacks of
/// a recorder that was destroyed are never called.
class recorder {
 public:
  recorder(const platform_stores& stores, const recorder_options& options);
  ~recorder();
  recorder(recorder&&) noexcept;
  recorder& operator=(recorder&&) noexcept;

  /// Takes a result. An id that is pending already is not added again. The id
  /// may name another data centre, when a request was taken over from there.
  /// \param record the result.
  /// \param done receives its place once it is in the stores.
  /// \return `overloaded` when the recorder is full, `bad_request` for a bad
  ///   id; `done` is not called then.
  absl::Status record(result_record record, callback<recorded> done);

  /// Takes a claim. A claim that is sent again by its holder is granted.
  /// \param claim the claim.
  /// \param done receives who holds it.
  /// \return `overloaded` when the recorder is full, `too_large`; `done` is
  ///   not called then.
  absl::Status claim(claim_record claim, callback<claim_outcome> done);

  /// Takes an object to be written once.
  /// \param name the object's name.
  /// \param bytes its content.
  /// \param done receives false when the name holds other bytes.
  /// \return `overloaded` when the recorder is full; `done` is not called then.
  absl::Status append_segment(std::string name, std::string bytes,
                              callback<bool> done);

  /// Starts groups and retries that are due.
  /// \param now the time; never runs backwards.
  void tick(instant now);

  /// Finds a result that is not in the stores yet.
  /// \param request_id the request's id.
  /// \return the result or null; valid until the next call.
  const result_record* find_pending(const std::string& request_id) const;

  /// \return what is not in the stores yet; all zero once drained.
  recorder_load load() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace fulmar
