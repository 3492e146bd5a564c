#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/order/audit.h"
#include "fulmarpitch/order/log.h"
#include "fulmarpitch/order/succession.h"

namespace fulmar::order_test {

using objects = std::map<std::string, std::string>;

inline const auto pool = std::string("round-assistant@etela");

/// Writes an object as the object store would.
inline bool put_if_absent(objects& store, const std::string& name,
                          const std::string& bytes) {
  return store.try_emplace(name, bytes).first->second == bytes;
}

inline append_segment writer_to(objects& store) {
  return [&store](const std::string& name, const std::string& bytes,
                  const std::function<void(absl::Status)>& done) {
    done(segment_status(put_if_absent(store, name, bytes)));
  };
}

/// An admission that the rule makes; `salt` varies its inputs.
inline admit_command make_admit(std::uint64_t number, std::string origin,
                                std::uint64_t salt = 0) {
  auto id = std::to_string(number);
  auto tokens = static_cast<std::int64_t>(salt % 5);
  auto batch = class_candidate{
      .name = "sheets",
      .kind = work_kind::batch,
      .callers = {{.caller = "depot", .request_id = concat("b", id)}}};
  auto online = class_candidate{.name = "drivers",
                                .rank = 1,
                                .owed_tokens = tokens - 2,
                                .callers = {{.caller = "north",
                                             .request_id = concat("n", id),
                                             .virtual_tokens = tokens,
                                             .arrival_number = 1},
                                            {.caller = "south",
                                             .request_id = concat("s", id),
                                             .virtual_tokens = 2,
                                             .arrival_number = 2}}};
  auto inputs = choice_inputs{
      .config_version = 7,
      .classes = {batch, online},
      .targets = {{.target = "t1", .cost_us = 40}, {.target = "t2"}}};
  if (salt % 7 == 3) inputs.classes[1].callers.clear();
  auto chosen = *choose(inputs);
  return {.number = number,
          .request_id = chosen.request_id,
          .origin = std::move(origin),
          .attempt = 1,
          .chosen = chosen,
          .inputs = std::move(inputs)};
}

/// A command of any kind.
inline sequencer_command make_command(std::uint64_t number, std::string origin,
                                      std::uint64_t salt) {
  auto id = concat("r", number);
  switch (salt % 6) {
    case 0:
      return refuse_command{.number = number,
                            .request_id = id,
                            .origin = std::move(origin),
                            .caller = "north",
                            .class_name = "drivers"};
    case 1:
      return preempt_command{
          .number = number, .request_id = id, .origin = std::move(origin)};
    case 2:
      return cancel_command{
          .number = number, .request_id = id, .origin = std::move(origin)};
    default:
      return make_admit(number, std::move(origin), salt / 6);
  }
}

inline std::vector<stored_segment> stored(const objects& store,
                                          const epoch_id& epoch) {
  auto out = std::vector<stored_segment>();
  for (const auto& [name, bytes] : store) {
    if (name.rfind(epoch_folder(pool, epoch), 0) == 0) {
      out.push_back({name, bytes});
    }
  }
  return out;
}

inline audit_report audit_of(const objects& store, audit_options options = {}) {
  auto auditor = order_auditor(std::move(options));
  for (const auto& [name, bytes] : store)
    auditor.add({name, bytes});
  return auditor.finish();
}

inline bool has(const audit_report& report, audit_fault fault) {
  for (const auto& it : report.findings) {
    if (it.fault == fault) return true;
  }
  return false;
}

}  // namespace fulmar::order_test
