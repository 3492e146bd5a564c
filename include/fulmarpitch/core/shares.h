#pragma once

/// \file
/// Callers' limits held in shares by several holders, which are the pools of
/// the data centres. Shares move by demand as cumulative grants from one holder
/// to another, as in a bounded counter: a grant is taken from the giver before
/// the receiver hears of it, so the shares in force never add up to more than
/// the limit, whatever is lost, doubled, late or cut off. A holder that is cut
/// off keeps its share.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// The limits that are held in shares.
enum class limit_kind { requests_per_second, concurrency };

inline constexpr std::array<named<limit_kind>, 2> limit_kind_names{{
    {limit_kind::requests_per_second, "requests_per_second"},
    {limit_kind::concurrency, "concurrency"},
}};

/// Names one limit of one caller between holders.
std::uint64_t limit_key(std::string_view caller, limit_kind kind);

/// What one holder tells another about one limit.
struct share_entry {
  std::uint64_t key = 0;
  /// Configuration version that set the limit; others are ignored.
  std::uint64_t generation = 0;
  /// All that the sender ever granted to the receiver.
  std::uint64_t granted = 0;
  /// All that the sender ever received from the receiver.
  std::uint64_t received = 0;
  /// What the sender would use, and what it holds.
  std::uint32_t demand = 0;
  std::uint32_t share = 0;
};

/// One message from a holder to another.
struct share_message {
  std::string from;
  std::string to;
  /// Names the start of the sender's ledger.
  std::uint64_t start = 0;
  /// The latest start of the receiver that the sender heard of; it takes no
  /// grants of earlier ones any more.
  std::uint64_t heard_start = 0;
  std::vector<share_entry> entries;
};

/// How a ledger is built.
struct share_options {
  std::string holder;
  /// Grows with each ledger that is built for the holder; the clock's
  /// microseconds will do.
  std::uint64_t start = 1;
  /// Every holder, this one included; the same set everywhere. A change of the
  /// set needs a new generation of every limit.
  std::vector<std::string> holders;
  /// Most of a limit that one `move` grants, as a fraction of one over this.
  std::uint32_t move_divisor = 10;
  /// Entries in one message: those that changed, then a few in turn.
  std::size_t entries_per_message = 16;
  std::size_t refreshed_per_message = 4;
};

/// The shares of one holder. A new ledger knows no grants of a predecessor: it
/// grants nothing, and holds at most its base share of limit over holders,
/// until every other holder has heard of its start. That base share bounds by
/// how much the limit can be exceeded after the loss of a holder.
class share_ledger {
 public:
  explicit share_ledger(share_options options);

  /// Sets a limit.
  /// \param key the limit.
  /// \param limit the caller's limit as a whole.
  /// \param generation configuration version that set it; a new one starts
  ///     again from the base shares, an older one is ignored.
  void set_limit(std::uint64_t key, std::uint32_t limit,
                 std::uint64_t generation);

  /// Notes how much of a limit this holder would use.
  void set_demand(std::uint64_t key, std::uint32_t demand);

  /// The share in force; 0 for an unknown limit.
  std::uint32_t share(std::uint64_t key) const;

  /// Grants what this holder does not need to needier holders, one step for
  /// each limit.
  void move();

  /// What to tell another holder: limits that changed, then a few in turn, so
  /// that a lost message is made up for.
  share_message message_to(const std::string& holder);
  void receive(const share_message& message);

 private:
  struct peer_row {
    std::uint64_t granted = 0;
    std::uint64_t received = 0;
    /// What the peer says it received; the rest of `granted` is on its way.
    std::uint64_t acknowledged = 0;
    std::uint32_t demand = 0;
    std::uint32_t share = 0;
    bool heard = false;
    /// Messages that still have to carry the latest change.
    std::uint32_t unsent = 0;
  };
  struct limit_row {
    std::uint32_t limit = 0;
    std::uint64_t generation = 0;
    std::uint32_t demand = 0;
    /// The demand that the other holders were last told.
    std::uint32_t told_demand = 0;
    std::map<std::string, peer_row> peers;
  };

  std::uint32_t base(std::uint64_t key, const limit_row& row) const;
  std::int64_t balance(std::uint64_t key, const limit_row& row) const;
  void move_limit(std::uint64_t key, limit_row& row);
  void add_entry(std::uint64_t key, limit_row& row, share_message& message);

  share_options options_;
  std::map<std::uint64_t, limit_row> limits_;
  std::map<std::string, std::uint64_t> cursors_;
  std::map<std::string, std::uint64_t> starts_;
};

}  // namespace fulmar
