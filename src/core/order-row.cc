#include <boost/json.hpp>

#include "fulmarpitch/core/orders.h"
#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

namespace json = boost::json;

template <typename E, std::size_t N>
json::string spelled(const std::array<named<E>, N>& names, E value) {
  auto name = name_in(names, value);
  return json::string(name.data(), name.size());
}

std::string_view text_of(const json::object& from, const char* field) {
  const auto& text = from.at(field).as_string();
  return {text.data(), text.size()};
}

std::uint64_t number_of(const json::object& from, const char* field) {
  return from.at(field).to_number<std::uint64_t>();
}

order_row read_row(const json::object& from) {
  auto row = order_row();
  row.lease.holder = text_of(from, "holder");
  row.lease.holder_start = number_of(from, "holder_start");
  row.lease.fencing_number = number_of(from, "fencing_number");
  row.lease.beat = number_of(from, "beat");
  row.order.target = text_of(from, "target");
  row.order.number = number_of(from, "number");
  row.order.value = text_of(from, "value");
  row.order.kind = value_in(order_kind_names, text_of(from, "kind")).value();
  row.progress =
      value_in(order_progress_names, text_of(from, "progress")).value();
  return row;
}

}  // namespace

std::string order_row_key(const std::string& target) {
  return concat("orders/", target);
}

std::string format_order_row(const order_row& row) {
  return json::serialize(json::object{
      {"holder", row.lease.holder},
      {"holder_start", row.lease.holder_start},
      {"fencing_number", row.lease.fencing_number},
      {"beat", row.lease.beat},
      {"target", row.order.target},
      {"number", row.order.number},
      {"kind", spelled(order_kind_names, row.order.kind)},
      {"value", row.order.value},
      {"progress", spelled(order_progress_names, row.progress)},
  });
}

std::optional<order_row> parse_order_row(const std::string& text) {
  try {
    return read_row(json::parse(text).as_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace fulmar
