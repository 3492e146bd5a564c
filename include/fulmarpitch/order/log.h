#pragma once

/// \file
/// The sequencer's side of the proof of order, and the entry's side.

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fulmarpitch/order/record.h"
#include "fulmarpitch/order/segment.h"

namespace fulmar {

/// Writes a segment to the object store, however long that takes. `done` is
/// called once: OK when the object is in the store; `conflict` when the name
/// holds other bytes, which means that a successor closed the epoch. Any other
/// failure makes the log hand over the same segment again.
using append_segment = std::function<void(std::string name, std::string bytes,
                                          std::function<void(absl::Status)>)>;

/// Translates the answer of the recorder, or of an object store, to a put.
/// \param written false when the name holds other bytes.
/// \return what `append_segment` expects.
absl::Status segment_status(const absl::StatusOr<bool>& written);

/// When a segment is cut.
struct segment_limits {
  std::size_t records = 2048;
  std::size_t bytes = 1024UL * 1024;
  instant interval = std::chrono::seconds(5);
};

/// Where an epoch begins.
struct epoch_start {
  std::string pool;
  epoch_id epoch;
  /// The daemon that runs the sequencer.
  std::string owner;
  /// Number of the opening record.
  std::uint64_t first_number = 1;
  /// Digest of the record before.
  digest previous{};
  open_detail detail;
};

/// Makes the record that opens an epoch. The table row of the pool holds its
/// line, and the owner sends it to each entry before the first admission.
/// \param start where the epoch begins.
/// \param now the time.
/// \return the record.
order_record opening_record(const epoch_start& start, instant now);

/// How an order log is built.
struct order_log_options {
  epoch_start start;
  /// Most records that are not yet in the object store.
  std::size_t window = 65536;
  segment_limits limits;
};

/// A record that was added to a log.
struct appended_record {
  std::uint64_t number = 0;
  /// What goes to the origin with the command.
  std::string line;
  /// The origin is the owner's own VM: the line must reach another member
  /// before the command is carried out, or one loss could hide it.
  bool needs_witness = false;
};

/// The order records of one epoch, on their way to the object store. At most
/// one segment is being written at any time.
class order_log {
 public:
  /// Opens the epoch.
  /// \param options where the epoch begins and how segments are cut.
  /// \param append writes a segment.
  /// \param now the time.
  order_log(order_log_options options, append_segment append, instant now);
  ~order_log();
  order_log(order_log&&) noexcept;
  order_log& operator=(order_log&&) noexcept;

  /// The line that opens the epoch.
  const std::string& opening_line() const;

  /// Adds a command.
  /// \param command the sequencer's command; its number must be the next one.
  /// \param context what the command does not say about itself.
  /// \param now the time.
  /// \return the record's line.
  appended_record append(const sequencer_command& command,
                         const record_context& context, instant now);

  /// Cuts a segment when one is due and none is being written.
  /// \param now the time.
  void tick(instant now);

  /// Closes the epoch in good order; nothing may be appended after it. The
  /// rest is written by the ticks that follow.
  /// \param now the time.
  void close(instant now);

  /// Whether a command may still be appended: false when the window is full,
  /// the epoch is closed or the log is fenced.
  bool may_admit() const;

  /// How many more records the window takes; the sequencer asks for no more
  /// commands than this. One place is kept for the closing record.
  std::size_t room() const;

  /// Whether a successor closed the epoch: the owner must stop at once.
  bool fenced() const;

  /// Whether every record is in the object store.
  bool flushed() const;

  /// Every record up to this number is in the object store. Goes to the
  /// entries, which then drop what they hold.
  std::uint64_t durable_number() const;

  /// Number and digest of the newest record.
  std::uint64_t last_number() const;
  digest last_hash() const;

  /// The newest segment that is in the object store.
  const segment_link& last_segment() const;

  /// Lines that are not yet in the object store.
  std::vector<std::string> pending() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/// The records that came to an entry, kept until they are in the object store.
class held_records {
 public:
  /// Keeps a record.
  /// \param line the record's line, as it came with a command.
  /// \return OK; `bad_request` for a line that is no record; `conflict` when
  /// the epoch was closed before this number: the command must be refused.
  absl::Status take(std::string_view line);

  /// Drops what is in the object store.
  /// \param pool the pool.
  /// \param epoch the epoch.
  /// \param number every record up to this one is in the object store.
  void release(const std::string& pool, const epoch_id& epoch,
               std::uint64_t number);

  /// Notes that an epoch is closed and its closing record in the object store.
  /// Records up to the closing number are dropped; commands that come after it
  /// are refused.
  /// \param pool the pool.
  /// \param epoch the epoch.
  /// \param number the closing record's number.
  void closed(const std::string& pool, const epoch_id& epoch,
              std::uint64_t number);

  /// Refuses the epoch's commands from now on, before its records are collected
  /// for a successor: what the successor is told is then all there is.
  /// \param pool the pool.
  /// \param epoch the epoch.
  void seal(const std::string& pool, const epoch_id& epoch);

  /// The lines held of an epoch, in order of their numbers.
  std::vector<std::string> lines(const std::string& pool,
                                 const epoch_id& epoch) const;

  /// The epochs of a pool with lines held.
  std::vector<epoch_id> epochs(const std::string& pool) const;

  std::size_t size() const;

 private:
  using epoch_key = std::pair<std::string, std::string>;
  struct held_epoch {
    epoch_id epoch;
    bool sealed = false;
    std::map<std::uint64_t, std::string> lines;
  };
  std::map<epoch_key, held_epoch> epochs_;
};

}  // namespace fulmar
