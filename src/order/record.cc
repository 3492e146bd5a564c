#include "fulmarpitch/order/record.h"

#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

constexpr std::size_t epoch_digits = 10;

order_record record_of(const admit_command& command) {
  return {.number = command.number,
          .kind = record_kind::admit,
          .request_id = command.request_id,
          .origin = command.origin,
          .caller = command.chosen.caller,
          .class_name = command.chosen.class_name,
          .attempt = command.attempt,
          .config_version = command.inputs.config_version,
          .detail =
              admit_detail{.inputs = command.inputs, .chosen = command.chosen}};
}

order_record record_of(const refuse_command& command) {
  return {.number = command.number,
          .kind = record_kind::refuse,
          .request_id = command.request_id,
          .origin = command.origin,
          .caller = command.caller,
          .class_name = command.class_name,
          .detail = refuse_detail{.code = command.code,
                                  .what = command.what,
                                  .retry_after = command.retry_after}};
}

order_record record_of(const preempt_command& command) {
  return {.number = command.number,
          .kind = record_kind::preempt,
          .request_id = command.request_id,
          .origin = command.origin,
          .attempt = command.attempt};
}

order_record record_of(const cancel_command& command) {
  return {.number = command.number,
          .kind = record_kind::cancel,
          .request_id = command.request_id,
          .origin = command.origin,
          .attempt = command.attempt};
}

}  // namespace

std::string to_text(const epoch_id& epoch) {
  if (epoch.number == 0) return "";
  return concat(padded(epoch.number, epoch_digits), "-", epoch.incarnation);
}

std::optional<epoch_id> epoch_from_text(std::string_view text) {
  auto dash = text.find('-');
  if (dash == std::string_view::npos || dash < epoch_digits) {
    return std::nullopt;
  }
  auto out = epoch_id{.incarnation = std::string(text.substr(dash + 1))};
  for (auto it : text.substr(0, dash)) {
    if (it < '0' || it > '9') return std::nullopt;
    out.number = out.number * 10 + static_cast<std::uint64_t>(it - '0');
  }
  if (to_text(out) != text) return std::nullopt;
  return out;
}

order_record make_record(const sequencer_command& command,
                         const record_context& context) {
  auto out = std::visit([](const auto& it) { return record_of(it); }, command);
  if (out.kind == record_kind::admit) return out;
  out.config_version = context.config_version;
  if (out.kind == record_kind::refuse) return out;
  out.caller = context.caller;
  out.class_name = context.class_name;
  return out;
}

}  // namespace fulmar
