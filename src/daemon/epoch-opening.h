#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fulmarpitch/daemon/pool-host.h"
#include "fulmarpitch/order/succession.h"

namespace fulmar {

/// What an opening needs.
struct epoch_opening_options {
  pool_host_links links;
  /// Name of the pool across data centres.
  std::string pool;
  /// The pool as it stands in messages.
  std::string model;
  std::string incarnation;
  segment_limits limits;
  std::size_t window = 65'536;
};

/// Where the new epoch begins, or that another daemon owns the pool.
struct epoch_opened {
  bool owned = false;
  epoch_start start;
  /// Time of the opening record.
  instant opened_at{};
};

/// Takes a pool over: closes the epoch before and claims the next one.
class epoch_opening : public std::enable_shared_from_this<epoch_opening> {
 public:
  using take_opened = std::function<void(epoch_opened)>;

  epoch_opening(epoch_opening_options options, take_opened done);

  void start();
  /// Takes what a member held.
  void take_records(const std::string& from,
                    const std::vector<std::string>& lines, bool complete);

 private:
  void take_row(const absl::StatusOr<epoch_row>& row);
  void open_provisional();
  void collect();
  void list_segments(std::string after);
  void take_segment(const absl::StatusOr<std::string>& bytes);
  void close_old();
  void write_next(std::size_t index);
  void claim(const epoch_start& start);
  void finish(epoch_opened result);
  void retry();

  epoch_opening_options options_;
  take_opened done_;
  epoch_row row_;
  epoch_id old_epoch_;
  std::string old_owner_;
  std::vector<std::string> answered_;
  std::string last_segment_;
  close_inputs inputs_;
  epoch_end end_;
  std::vector<std::string> waiting_for_;
  bool collecting_ = false;
  /// The old owner stopped and gave every record that is not durable.
  bool surrendered_ = false;
  int owner_looks_ = 0;
  bool finished_ = false;
};

}  // namespace fulmar
