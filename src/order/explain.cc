#include "fulmarpitch/order/explain.h"

#include <algorithm>
#include <utility>

#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

/// At most this many requests that went ahead are named one by one.
constexpr std::size_t named_overtakers = 20;

struct waiting_place {
  const class_candidate* class_row = nullptr;
  const caller_candidate* caller_row = nullptr;
};

waiting_place find_place(const choice_inputs& inputs,
                         std::string_view request_id) {
  for (const auto& one : inputs.classes) {
    for (const auto& it : one.callers) {
      if (it.request_id == request_id) return {&one, &it};
    }
  }
  return {};
}

ahead_reason reason_in_class(work_kind kind, const caller_candidate& first,
                             const caller_candidate& second) {
  if (first.virtual_tokens != second.virtual_tokens) {
    return ahead_reason::fewer_tokens;
  }
  auto by_deadline =
      kind == work_kind::batch && first.deadline != second.deadline;
  if (by_deadline) return ahead_reason::nearer_deadline;
  return ahead_reason::earlier_arrival;
}

std::string time_text(instant time) {
  return concat(time.count(), " us");
}

std::string subject(const order_record& record) {
  auto out = concat("Request ", record.request_id);
  if (!record.caller.empty()) out += concat(" of caller ", record.caller);
  if (!record.class_name.empty()) out += concat(", class ", record.class_name);
  return out;
}

std::string place(const order_record& record) {
  return concat("record ", record.number, " of epoch ", to_text(record.epoch),
                " of pool ", record.pool, " at ", time_text(record.time));
}

std::string class_sentence(const admit_detail& detail,
                           const class_candidate& chosen) {
  const auto& name = chosen.name;
  switch (detail.chosen.rule) {
    case choice_rule::only_class:
      return concat("Class ", name, " alone had work that could be admitted.");
    case choice_rule::owed_share:
      return concat("Class ", name, " was owed ", chosen.owed_tokens,
                    " tokens of its guaranteed share, the most of all.");
    case choice_rule::class_order:
      break;
  }
  auto others = std::string();
  for (const auto& it : detail.inputs.classes) {
    if (&it == &chosen || !it.may_admit || it.callers.empty()) continue;
    others += concat(others.empty() ? "" : ", ", it.name);
  }
  return concat("Class ", name, " comes before ", others,
                ", by the operators' order and with batch last.");
}

std::string caller_sentence(const class_candidate& chosen,
                            const caller_candidate& head) {
  const caller_candidate* next = nullptr;
  auto others = std::vector<caller_candidate>();
  for (const auto& it : chosen.callers) {
    if (it.request_id != head.request_id) others.push_back(it);
  }
  if (auto at = choose_caller(chosen.kind, others)) next = &others[*at];
  if (next == nullptr) {
    return concat("No other caller of class ", chosen.name, " waited.");
  }
  auto reason = reason_in_class(chosen.kind, head, *next);
  return concat("Within the class it went before request ", next->request_id,
                " of caller ", next->caller, ": ",
                name_in(ahead_reason_names, reason), " (tokens for weight ",
                head.virtual_tokens, " against ", next->virtual_tokens,
                ", deadline ", time_text(head.deadline), " against ",
                time_text(next->deadline), ", arrival ", head.arrival_number,
                " against ", next->arrival_number, ").");
}

std::string target_sentence(const admit_detail& detail) {
  auto others = std::vector<target_candidate>();
  auto cost = std::int64_t();
  for (const auto& it : detail.inputs.targets) {
    if (it.target == detail.chosen.target) {
      cost = it.cost_us;
    } else {
      others.push_back(it);
    }
  }
  auto out =
      concat("Target ", detail.chosen.target,
             " was expected to give the first token after ", cost, " us");
  auto next = choose_target(others);
  if (!next) return concat(out, "; no other target could take it.");
  return concat(out, "; the next best, ", others[*next].target, ", after ",
                others[*next].cost_us, " us.");
}

std::string rules_text(const admit_detail& detail) {
  auto at = find_place(detail.inputs, detail.chosen.request_id);
  if (at.caller_row == nullptr) {
    return "The recorded inputs do not hold the request: run the audit.\n";
  }
  return concat(class_sentence(detail, *at.class_row), "\n",
                caller_sentence(*at.class_row, *at.caller_row), "\n",
                target_sentence(detail), "\n");
}

}  // namespace

std::optional<ahead_reason> reason_ahead(const order_record& record,
                                         std::string_view request_id) {
  const auto* detail = std::get_if<admit_detail>(&record.detail);
  if (detail == nullptr || record.request_id == request_id) {
    return std::nullopt;
  }
  auto waiting = find_place(detail->inputs, request_id);
  auto chosen = find_place(detail->inputs, record.request_id);
  if (waiting.class_row == nullptr || chosen.class_row == nullptr) {
    return std::nullopt;
  }
  if (waiting.class_row == chosen.class_row) {
    return reason_in_class(chosen.class_row->kind, *chosen.caller_row,
                           *waiting.caller_row);
  }
  if (!waiting.class_row->may_admit) return ahead_reason::class_held_back;
  auto is_owed = detail->chosen.rule == choice_rule::owed_share &&
                 waiting.class_row->kind != work_kind::batch;
  return is_owed ? ahead_reason::owed_share : ahead_reason::class_order;
}

std::string explain(const order_record& record) {
  auto first = [&](std::string_view what) {
    return concat(subject(record), ", ", what, ": ", place(record), ".\n");
  };
  switch (record.kind) {
    case record_kind::admit: {
      const auto& detail = std::get<admit_detail>(record.detail);
      auto what = concat("attempt ", record.attempt,
                         ", was admitted to target ", detail.chosen.target,
                         " under configuration ", record.config_version);
      return concat(first(what), rules_text(detail));
    }
    case record_kind::refuse: {
      const auto& detail = std::get<refuse_detail>(record.detail);
      return first(concat("was refused (",
                          name_in(error_code_names, detail.code), ", ",
                          name_in(outcome_names, detail.what), ")"));
    }
    case record_kind::preempt:
      return first(concat("attempt ", record.attempt,
                          ", gave its place up to other work"));
    case record_kind::cancel:
      return first(concat("attempt ", record.attempt, ", was cancelled"));
    case record_kind::epoch_open:
      return concat(record.origin, " opened ", place(record), ".\n");
    case record_kind::epoch_close:
      return concat(record.origin, " closed ", place(record), ".\n");
  }
  return "";
}

request_story::request_story(std::string request_id)
    : request_id_(std::move(request_id)) {}

void request_story::add(const order_record& record) {
  if (record.request_id == request_id_) events_ += explain(record);
  auto reason = reason_ahead(record, request_id_);
  if (!reason) return;
  ++counts_[*reason];
  if (newest_.size() == named_overtakers) newest_.erase(newest_.begin());
  newest_.push_back({.request_id = record.request_id,
                     .caller = record.caller,
                     .class_name = record.class_name,
                     .reason = *reason});
}

bool request_story::found() const {
  return !events_.empty();
}

std::string request_story::text() const {
  auto out = events_;
  if (counts_.empty()) {
    return out + "No request went ahead while it was next of its caller.\n";
  }
  out += "While it was next of its caller, these went ahead:\n";
  for (const auto& [reason, n] : counts_) {
    out +=
        concat("  ", n, " because ", name_in(ahead_reason_names, reason), "\n");
  }
  out += "The newest of them:\n";
  for (const auto& it : newest_) {
    out += concat("  request ", it.request_id, " of caller ", it.caller,
                  ", class ", it.class_name, ": ",
                  name_in(ahead_reason_names, it.reason), "\n");
  }
  return out;
}

}  // namespace fulmar
