#pragma once

/// \file
/// The results an entry keeps until they are in the stores.

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "fulmarpitch/state/results.h"

namespace fulmar {

/// How an outbox is built.
struct entry_outbox_options {
  std::size_t most_records = 5'000;
  std::size_t most_bytes = std::size_t{8} * 1024 * 1024;
  /// Time after which an unacknowledged result is sent again.
  instant resend_after = std::chrono::seconds(10);
};

/// How far a result has come.
enum class outbox_step { waiting, sent, held };

/// Keeps results until the recorder acknowledged them.
class entry_outbox {
 public:
  explicit entry_outbox(entry_outbox_options options) : options_(options) {}

  /// Reserves room for a result before its request may start.
  /// \param bytes the most that the result's body can take.
  /// \return `overloaded` when there is no room: the request has not run.
  absl::Status reserve(std::size_t bytes);

  /// Gives a reservation back without a result.
  /// \param bytes what was reserved.
  void release(std::size_t bytes);

  /// Takes a result in place of its reservation.
  /// \param record the result.
  /// \param reserved what was reserved for it.
  void add(result_record record, std::size_t reserved);

  /// Lists what to send to the recorder, and notes that it was sent.
  /// \param now the time.
  /// \return copies of the results that are due.
  std::vector<result_record> take_due(instant now);

  /// The recorder holds the result: a second VM has it.
  /// \param request_id the request's id.
  void held(const std::string& request_id);

  /// The result is in the stores: it is forgotten here.
  /// \param request_id the request's id.
  void acknowledged(const std::string& request_id);

  /// The recorder refused the result, or another one took over: send again.
  void recorder_changed();

  /// Finds a kept result.
  /// \param request_id the request's id.
  /// \return the result or null; valid until the next call.
  const result_record* find(const std::string& request_id) const;

  std::size_t size() const { return entries_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct entry {
    result_record record;
    outbox_step step = outbox_step::waiting;
    instant send_at{};
  };
  entry_outbox_options options_;
  std::unordered_map<std::string, entry> entries_;
  std::size_t reservations_ = 0;
  std::size_t bytes_ = 0;
};

}  // namespace fulmar
