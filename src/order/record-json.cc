#include <boost/json.hpp>

#include "fulmarpitch/order/record.h"

namespace fulmar {
namespace {

namespace json = boost::json;

constexpr std::size_t record_fields = 13;
constexpr std::size_t class_fields = 6;
constexpr std::size_t caller_fields = 5;
constexpr std::size_t target_fields = 3;
constexpr std::size_t admit_fields = 4;
constexpr std::size_t refuse_fields = 3;
constexpr std::size_t open_fields = 4;
constexpr std::size_t close_fields = 1;
constexpr std::size_t hole_fields = 3;
constexpr std::size_t scratch_bytes = 16UL * 1024;

json::string_view text(std::string_view it) {
  return {it.data(), it.size()};
}

/// Arrays of one record share the memory resource of the outermost.
class writer {
 public:
  explicit writer(json::storage_ptr memory) : memory_(std::move(memory)) {}

  json::array record(const order_record& it) const {
    auto out = list(record_fields);
    out.emplace_back(text(it.pool));
    out.emplace_back(text(to_text(it.epoch)));
    out.emplace_back(it.number);
    out.emplace_back(it.time.count());
    out.emplace_back(text(name_in(record_kind_names, it.kind)));
    out.emplace_back(text(it.request_id));
    out.emplace_back(text(it.origin));
    out.emplace_back(text(it.caller));
    out.emplace_back(text(it.class_name));
    out.emplace_back(it.attempt);
    out.emplace_back(it.config_version);
    out.emplace_back(text(to_text(it.previous)));
    out.emplace_back(std::visit(
        [&](const auto& detail) { return write(detail); }, it.detail));
    return out;
  }

 private:
  json::array list(std::size_t size) const {
    auto out = json::array(memory_);
    out.reserve(size);
    return out;
  }

  json::array write(const std::monostate&) const { return list(0); }

  // Request, caller and class of the choice are the record's own.
  json::array write(const admit_detail& it) const {
    auto out = list(admit_fields);
    auto classes = list(it.inputs.classes.size());
    for (const auto& one : it.inputs.classes) {
      classes.emplace_back(write(one));
    }
    auto targets = list(it.inputs.targets.size());
    for (const auto& one : it.inputs.targets) {
      targets.emplace_back(write(one));
    }
    out.emplace_back(std::move(classes));
    out.emplace_back(std::move(targets));
    out.emplace_back(text(it.chosen.target));
    out.emplace_back(text(name_in(choice_rule_names, it.chosen.rule)));
    return out;
  }

  json::array write(const class_candidate& it) const {
    auto out = list(class_fields);
    out.emplace_back(text(it.name));
    out.emplace_back(it.rank);
    out.emplace_back(text(name_in(work_kind_names, it.kind)));
    out.emplace_back(it.owed_tokens);
    out.emplace_back(it.may_admit ? 1 : 0);
    auto callers = list(it.callers.size());
    for (const auto& one : it.callers) {
      auto row = list(caller_fields);
      row.emplace_back(text(one.caller));
      row.emplace_back(text(one.request_id));
      row.emplace_back(one.virtual_tokens);
      row.emplace_back(one.deadline.count());
      row.emplace_back(one.arrival_number);
      callers.emplace_back(std::move(row));
    }
    out.emplace_back(std::move(callers));
    return out;
  }

  json::array write(const target_candidate& it) const {
    auto out = list(target_fields);
    out.emplace_back(text(it.target));
    out.emplace_back(it.cost_us);
    out.emplace_back(it.may_admit ? 1 : 0);
    return out;
  }

  json::array write(const refuse_detail& it) const {
    auto out = list(refuse_fields);
    out.emplace_back(text(name_in(error_code_names, it.code)));
    out.emplace_back(text(name_in(outcome_names, it.what)));
    out.emplace_back(it.retry_after.count());
    return out;
  }

  json::array write(const open_detail& it) const {
    auto out = list(open_fields);
    out.emplace_back(it.provisional ? 1 : 0);
    out.emplace_back(text(to_text(it.predecessor)));
    out.emplace_back(text(it.previous_segment.name));
    out.emplace_back(text(to_text(it.previous_segment.hash)));
    return out;
  }

  json::array write(const close_detail& it) const {
    auto holes = list(it.holes.size());
    for (const auto& one : it.holes) {
      auto row = list(hole_fields);
      row.emplace_back(one.from);
      row.emplace_back(one.to);
      row.emplace_back(text(name_in(hole_kind_names, one.kind)));
      holes.emplace_back(std::move(row));
    }
    auto out = list(close_fields);
    out.emplace_back(std::move(holes));
    return out;
  }

  json::storage_ptr memory_;
};

/// Reads fields one after the other; the first fault is thrown within this
/// file only and returned by `decode_record`.
class reader {
 public:
  reader(const json::value& value, std::size_t size) {
    if (!value.is_array()) throw record_fault::wrong_type;
    fields_ = &value.get_array();
    if (fields_->size() != size) throw record_fault::wrong_shape;
  }

  const json::value& next() { return (*fields_)[at_++]; }

  std::string string() {
    const auto& it = next();
    if (!it.is_string()) throw record_fault::wrong_type;
    const auto& text = it.get_string();
    return {text.data(), text.size()};
  }

  template <typename T>
  T number() {
    const auto& it = next();
    if (!it.is_int64() && !it.is_uint64()) throw record_fault::wrong_type;
    auto ec = boost::system::error_code();
    auto out = it.to_number<T>(ec);
    if (ec) throw record_fault::wrong_type;
    return out;
  }

  instant time() { return instant(number<std::int64_t>()); }

  bool flag() {
    auto it = number<std::int64_t>();
    if (it != 0 && it != 1) throw record_fault::wrong_type;
    return it == 1;
  }

  template <typename E, std::size_t N>
  E name(const std::array<named<E>, N>& names) {
    auto out = value_in(names, string());
    if (!out) throw record_fault::unknown_name;
    return *out;
  }

  digest hash() {
    auto out = digest_from_text(string());
    if (!out) throw record_fault::wrong_type;
    return *out;
  }

  epoch_id epoch() {
    auto it = string();
    if (it.empty()) return {};
    auto out = epoch_from_text(it);
    if (!out) throw record_fault::wrong_type;
    return *out;
  }

  const json::array& list() {
    const auto& it = next();
    if (!it.is_array()) throw record_fault::wrong_type;
    return it.get_array();
  }

 private:
  const json::array* fields_ = nullptr;
  std::size_t at_ = 0;
};

class_candidate read_class(const json::value& value) {
  auto in = reader(value, class_fields);
  auto out = class_candidate();
  out.name = in.string();
  out.rank = in.number<std::uint32_t>();
  out.kind = in.name(work_kind_names);
  out.owed_tokens = in.number<std::int64_t>();
  out.may_admit = in.flag();
  for (const auto& it : in.list()) {
    auto row = reader(it, caller_fields);
    auto& one = out.callers.emplace_back();
    one.caller = row.string();
    one.request_id = row.string();
    one.virtual_tokens = row.number<std::int64_t>();
    one.deadline = row.time();
    one.arrival_number = row.number<std::uint64_t>();
  }
  return out;
}

admit_detail read_admit(const json::value& value, const order_record& record) {
  auto in = reader(value, admit_fields);
  auto out = admit_detail();
  out.inputs.config_version = record.config_version;
  for (const auto& it : in.list()) {
    out.inputs.classes.push_back(read_class(it));
  }
  for (const auto& it : in.list()) {
    auto row = reader(it, target_fields);
    auto& one = out.inputs.targets.emplace_back();
    one.target = row.string();
    one.cost_us = row.number<std::int64_t>();
    one.may_admit = row.flag();
  }
  out.chosen.request_id = record.request_id;
  out.chosen.caller = record.caller;
  out.chosen.class_name = record.class_name;
  out.chosen.target = in.string();
  out.chosen.rule = in.name(choice_rule_names);
  return out;
}

refuse_detail read_refuse(const json::value& value) {
  auto in = reader(value, refuse_fields);
  auto out = refuse_detail();
  out.code = in.name(error_code_names);
  out.what = in.name(outcome_names);
  out.retry_after = in.time();
  return out;
}

open_detail read_open(const json::value& value) {
  auto in = reader(value, open_fields);
  auto out = open_detail();
  out.provisional = in.flag();
  out.predecessor = in.epoch();
  out.previous_segment.name = in.string();
  out.previous_segment.hash = in.hash();
  return out;
}

close_detail read_close(const json::value& value) {
  auto in = reader(value, close_fields);
  auto out = close_detail();
  for (const auto& it : in.list()) {
    auto row = reader(it, hole_fields);
    auto& one = out.holes.emplace_back();
    one.from = row.number<std::uint64_t>();
    one.to = row.number<std::uint64_t>();
    one.kind = row.name(hole_kind_names);
  }
  return out;
}

record_detail read_detail(const json::value& value,
                          const order_record& record) {
  switch (record.kind) {
    case record_kind::admit:
      return read_admit(value, record);
    case record_kind::refuse:
      return read_refuse(value);
    case record_kind::epoch_open:
      return read_open(value);
    case record_kind::epoch_close:
      return read_close(value);
    case record_kind::preempt:
    case record_kind::cancel:
      break;
  }
  reader(value, 0);
  return {};
}

order_record read_record(const json::value& value) {
  auto in = reader(value, record_fields);
  auto out = order_record();
  out.pool = in.string();
  out.epoch = in.epoch();
  out.number = in.number<std::uint64_t>();
  out.time = in.time();
  out.kind = in.name(record_kind_names);
  out.request_id = in.string();
  out.origin = in.string();
  out.caller = in.string();
  out.class_name = in.string();
  out.attempt = in.number<std::uint32_t>();
  out.config_version = in.number<std::uint64_t>();
  out.previous = in.hash();
  out.detail = read_detail(in.next(), out);
  return out;
}

}  // namespace

std::string encode_record(const order_record& record) {
  std::array<unsigned char, scratch_bytes> scratch;  // NOLINT
  auto memory = json::monotonic_resource(scratch.data(), scratch.size());
  auto out = writer(&memory).record(record);
  return json::serialize(out);
}

decoded_record decode_record(std::string_view line) {
  std::array<unsigned char, scratch_bytes> scratch;  // NOLINT
  auto memory = json::monotonic_resource(scratch.data(), scratch.size());
  auto ec = boost::system::error_code();
  auto options = json::parse_options();
  options.allow_invalid_utf8 = true;
  auto value = json::parse(text(line), ec, &memory, options);
  if (ec) return record_fault::not_json;
  try {
    auto out = read_record(value);
    if (encode_record(out) != line) return record_fault::not_canonical;
    return out;
  } catch (record_fault fault) {
    return fault;
  }
}

}  // namespace fulmar
