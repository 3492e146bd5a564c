#pragma once

/// \file
/// Explains order records in plain sentences.

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/order/record.h"

namespace fulmar {

/// Why one request was admitted while another waited.
enum class ahead_reason {
  owed_share,
  class_order,
  fewer_tokens,
  nearer_deadline,
  earlier_arrival,
  class_held_back,
};

inline constexpr std::array<named<ahead_reason>, 6> ahead_reason_names{{
    {ahead_reason::owed_share,
     "its class was owed more of its guaranteed share"},
    {ahead_reason::class_order, "its class comes first in the stated order"},
    {ahead_reason::fewer_tokens,
     "its caller had been served fewer tokens for its weight"},
    {ahead_reason::nearer_deadline, "its deadline was nearer"},
    {ahead_reason::earlier_arrival, "it arrived earlier"},
    {ahead_reason::class_held_back,
     "the waiting request's class was held back at that moment"},
}};

/// Finds why a record's request went ahead of another that waited.
/// \param record an admission.
/// \param request_id the request that waited.
/// \return the reason; nothing when that request was not weighed.
std::optional<ahead_reason> reason_ahead(const order_record& record,
                                         std::string_view request_id);

/// Explains one record: what happened, to whom, and by which rule.
/// \param record the record.
/// \return one sentence or more, each a line.
std::string explain(const order_record& record);

/// Gathers what the records say about one request.
class request_story {
 public:
  explicit request_story(std::string request_id);

  /// Takes a record in; records come in their order.
  void add(const order_record& record);

  /// Whether any record was about the request.
  bool found() const;

  /// The whole story in plain sentences.
  std::string text() const;

 private:
  struct overtaker {
    std::string request_id;
    std::string caller;
    std::string class_name;
    ahead_reason reason = ahead_reason::class_order;
  };

  std::string request_id_;
  std::string events_;
  std::map<ahead_reason, std::uint64_t> counts_;
  std::vector<overtaker> newest_;
};

}  // namespace fulmar
