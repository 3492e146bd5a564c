#pragma once

/// \file
/// Callers' limits held in shares by several holders (the pools of several data
/// centres). Shares move by demand as cumulative grants between two holders,
/// the bounded counter of the CRDT literature: a grant is taken from the giver
/// before anyone can use it, so the shares in force never add up to more than
/// the limit, whatever is lost, doubled or cut off.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// Shares are counted in millionths of a caller's limit, so that a change of
/// the limit itself scales every share.
inline constexpr std::uint32_t whole_share = 1'000'000;

/// What one holder tells another about one caller.
struct share_entry {
  std::uint64_t caller_hash = 0;
  /// Everything the sender ever granted to the receiver, cumulative.
  std::uint64_t granted = 0;
  /// Everything the sender ever received from the receiver, cumulative.
  std::uint64_t received = 0;
  /// Requests a second and requests at once that the sender would use, in
  /// millionths of the limit.
  std::uint32_t demand = 0;
  std::uint32_t share = 0;
};

/// One exchange between two holders.
struct share_message {
  std::string from;
  std::string to;
  /// Names the set of holders; entries of another set are ignored.
  std::uint64_t generation = 0;
  std::vector<share_entry> entries;
};

/// How a ledger is built.
struct share_options {
  std::string holder;
  /// Every holder, this one included; the same list everywhere.
  std::vector<std::string> holders;
  /// Names the list, for instance the configuration version that set it.
  std::uint64_t generation = 0;
  /// Most of a limit that a holder grants in one `move`.
  std::uint32_t move_step = whole_share / 20;
  /// Part of its base share that a holder never grants, in millionths.
  std::uint32_t floor = whole_share / 10;
  /// Entries in one message.
  std::size_t entries_per_message = 24;
};

/// The shares of one holder.
class share_ledger {
 public:
  explicit share_ledger(share_options options);

  /// Notes how much of a caller's limit this holder would use.
  /// \param caller the caller.
  /// \param demand millionths of the limit; may exceed `whole_share`.
  void set_demand(const std::string& caller, std::uint32_t demand);

  /// The share in force.
  /// \return millionths of the caller's limit.
  std::uint32_t share(const std::string& caller) const;

  /// Grants unused share to needier holders, one step.
  void move();

  /// What to tell another holder; callers take turns when there are many.
  share_message message_to(const std::string& holder);
  void receive(const share_message& message);

 private:
  struct peer_view {
    std::uint64_t granted = 0;
    std::uint64_t received = 0;
    std::uint32_t demand = 0;
    std::uint32_t share = 0;
  };
  struct caller_view {
    std::uint32_t demand = 0;
    std::map<std::string, peer_view> peers;
  };

  std::uint32_t base() const;
  std::uint32_t share_of(const caller_view& view) const;
  void move_caller(caller_view& view);

  share_options options_;
  std::map<std::uint64_t, caller_view> callers_;
  std::map<std::string, std::uint64_t> cursors_;
};

/// Rate and concurrency of one caller at one holder.
struct caller_limit {
  /// For the caller as a whole; 0 means no limit.
  std::uint32_t requests_per_second = 0;
  std::uint32_t concurrency = 0;
};

/// Tells admission by a holder's share: a token bucket of one second's rate and
/// a count of running requests.
class limit_gate {
 public:
  /// Tries to start a request.
  /// \param limit the caller's limit as a whole.
  /// \param share this holder's share, in millionths.
  /// \param now the time; never runs backwards.
  /// \return `none`, or `rate_limited` when the share is used up.
  error_code start(const caller_limit& limit, std::uint32_t share, instant now);

  /// Notes the end of a started request.
  void finish();

  std::uint32_t running() const { return running_; }

 private:
  std::uint32_t running_ = 0;
  /// Millionths of a request.
  std::int64_t tokens_ = 0;
  instant refilled_at_{};
  bool filled_ = false;
};

}  // namespace fulmar
