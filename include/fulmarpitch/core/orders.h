#pragma once

/// \file
/// Orders to engines: load a model, adapter or version, or change role. One
/// table row for each target holds its lease, the order and how far it is, so
/// that an order is carried out once whoever holds the lease.

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fulmarpitch/core/lease.h"
#include "fulmarpitch/core/types.h"
#include "fulmarpitch/stores/stores.h"

namespace fulmar {

/// What an engine is told to do.
enum class order_kind { load_model, load_adapter, load_version, set_role };

inline constexpr std::array<named<order_kind>, 4> order_kind_names{{
    {order_kind::load_model, "load_model"},
    {order_kind::load_adapter, "load_adapter"},
    {order_kind::load_version, "load_version"},
    {order_kind::set_role, "set_role"},
}};

/// An order for one target.
struct engine_order {
  std::string target;
  /// Grows with each order for the target. The same number is carried out
  /// once, a lower one than the row's not at all.
  std::uint64_t number = 0;
  order_kind kind = order_kind::load_model;
  /// The model, adapter, version or role.
  std::string value;

  bool operator==(const engine_order&) const = default;
};

/// How far an order is; written to the row.
enum class order_progress { none, started, done, failed, superseded };

inline constexpr std::array<named<order_progress>, 5> order_progress_names{{
    {order_progress::none, "none"},
    {order_progress::started, "started"},
    {order_progress::done, "done"},
    {order_progress::failed, "failed"},
    {order_progress::superseded, "superseded"},
}};

/// The row of a target.
struct order_row {
  lease_record lease;
  engine_order order;
  order_progress progress = order_progress::none;

  bool operator==(const order_row&) const = default;
};

/// Names the row of a target.
std::string order_row_key(const std::string& target);

/// Writes a row's value as JSON.
std::string format_order_row(const order_row& row);

/// Reads a row's value.
/// \return the row, or nothing when the value is not one.
std::optional<order_row> parse_order_row(const std::string& text);

/// The shell must read the target's row and answer with `row_event`.
struct read_row_command {
  std::string target;
};

/// The shell must commit and answer with `commit_event`.
struct commit_row_command {
  std::string target;
  table_transaction transaction;
};

/// The shell must ask the engine what it runs and answer with `engine_event`.
struct read_engine_command {
  std::string target;
  engine_order order;
};

/// The shell must send the order, unless `not_after` has passed on its clock,
/// and answer with `reply_event`.
struct send_order_command {
  engine_order order;
  std::uint64_t fencing_number = 0;
  instant not_after{};
};

/// The order came to its end, and the row says so.
struct order_ended_command {
  engine_order order;
  order_progress progress = order_progress::done;
};

using order_command =
    std::variant<read_row_command, commit_row_command, read_engine_command,
                 send_order_command, order_ended_command>;

/// The row as read; `ok` is false when the store did not answer.
struct row_event {
  std::string target;
  bool ok = false;
  table_row row;
};

/// How a commit ended.
enum class commit_end { committed, conflict, unanswered };

struct commit_event {
  std::string target;
  std::string transaction_id;
  commit_end end = commit_end::unanswered;
};

/// What the engine says of the order it was asked about.
enum class engine_effect { unreachable, absent, running, present };

struct engine_event {
  std::string target;
  engine_effect effect = engine_effect::unreachable;
};

/// How the engine answered an order.
enum class engine_reply { done, refused_fenced, failed, unanswered };

struct reply_event {
  std::string target;
  engine_reply reply = engine_reply::unanswered;
};

using order_event =
    std::variant<row_event, commit_event, engine_event, reply_event>;

/// How an order runner is built.
struct order_options {
  std::string holder;
  std::uint64_t holder_start = 1;
  lease_options lease;
  /// Loads that this data centre may start in a minute; its part of the weight
  /// store's rate limit.
  std::uint32_t loads_per_minute = 6;
  instant retry_after = std::chrono::seconds(1);
};

/// Carries out the orders of the targets given to it.
class order_runner {
 public:
  explicit order_runner(order_options options);
  ~order_runner();
  order_runner(order_runner&&) noexcept;
  order_runner& operator=(order_runner&&) noexcept;

  /// Takes an order. A higher number replaces one that waits; a lower one is
  /// ignored.
  void submit(engine_order order);

  /// Gives a target up, say because another member owns it now.
  void drop(const std::string& target);

  void apply(const order_event& event, instant now);
  std::vector<order_command> tick(instant now);

  /// Orders that are not done.
  std::size_t open() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// Demand for one model in a data centre.
struct model_demand {
  std::string model;
  /// Tokens a second, smoothed.
  double tokens_per_second = 0;
  /// Never fewer targets than this.
  std::uint32_t min_targets = 1;
};

/// A target as placement sees it.
struct placement_target {
  std::string name;
  std::string model;
  double tokens_per_second = 1000;
  /// When its model last changed.
  instant changed_at{};
  bool leaving = false;
};

/// Hysteresis of placement.
struct placement_options {
  /// A model gains a target when its load is above this part of its capacity.
  double raise_above = 0.85;
  /// A model may lose a target when the rest would stay below this part.
  double lower_below = 0.60;
  /// A target keeps a model at least this long.
  instant hold = std::chrono::minutes(10);
};

/// Moves at most one target between models.
/// \return the order, without a number, or nothing when all may stay.
std::optional<engine_order> place_models(
    const std::vector<model_demand>& demands,
    const std::vector<placement_target>& targets,
    const placement_options& options, instant now);

}  // namespace fulmar
