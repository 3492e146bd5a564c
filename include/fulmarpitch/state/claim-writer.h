#pragma once

/// \file
/// Group commit of claims: many absent rows in one conditional transaction.

#include <memory>

#include "fulmarpitch/state/recorder.h"

namespace fulmar::detail {

/// Each claim takes one condition and one write of a transaction.
inline constexpr std::size_t max_group_claims = max_transaction_rows / 2;
/// Groups of claims under way at once.
inline constexpr std::size_t max_claim_groups = 4;

/// Writes claims. A row that somebody holds already leaves the group, the rest
/// is committed.
class claim_writer {
 public:
  claim_writer(platform_stores stores, recorder_options options);

  void add(claim_record claim, callback<claim_outcome> done);
  void tick(instant now);
  std::size_t size() const;
  std::size_t bytes() const;

  struct state;

 private:
  std::shared_ptr<state> state_;
};

}  // namespace fulmar::detail
