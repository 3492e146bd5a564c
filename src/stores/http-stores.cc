#include "fulmarpitch/stores/http-stores.h"

#include <boost/json.hpp>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/url.h"

namespace json = boost::json;

namespace fulmar {
namespace {

constexpr std::string_view commit_path = "/table/commit";
constexpr std::string_view read_path = "/table/read";
constexpr std::string_view scan_path = "/table/scan";
constexpr std::string_view list_path = "/objects/list";
constexpr std::string_view object_prefix = "/objects/by-name/";

std::string text_of(const json::value& value) {
  return json::value_to<std::string>(value);
}

json::object row_to_json(const table_row& row) {
  return {{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

table_row row_from_json(const json::value& value) {
  return {.key = text_of(value.at("key")),
          .value = text_of(value.at("value")),
          .version = value.at("version").to_number<std::uint64_t>()};
}

json::object to_json(const table_transaction& from) {
  auto conditions = json::array();
  for (const auto& it : from.conditions) {
    conditions.push_back({{"key", it.key}, {"version", it.version}});
  }
  auto writes = json::array();
  for (const auto& it : from.writes) {
    auto value = it.value ? json::value(*it.value) : json::value(nullptr);
    writes.push_back({{"key", it.key}, {"value", std::move(value)}});
  }
  return {{"id", from.id},
          {"conditions", std::move(conditions)},
          {"writes", std::move(writes)}};
}

table_transaction transaction_from_json(const json::value& from) {
  auto out = table_transaction{.id = text_of(from.at("id"))};
  for (const auto& it : from.at("conditions").as_array()) {
    out.conditions.push_back(
        {text_of(it.at("key")), it.at("version").to_number<std::uint64_t>()});
  }
  for (const auto& it : from.at("writes").as_array()) {
    auto value = it.at("value").is_null() ? std::optional<std::string>()
                                          : text_of(it.at("value"));
    out.writes.push_back({text_of(it.at("key")), std::move(value)});
  }
  return out;
}

json::object page_request(const std::string& prefix, const std::string& after,
                          std::size_t limit) {
  return {{"prefix", prefix}, {"after", after}, {"limit", limit}};
}

/// Reads an answer; a malformed one counts as a failed call.
template <typename T, typename Read>
absl::StatusOr<T> read_answer(const absl::StatusOr<http_response>& answer,
                              Read read) {
  if (!answer.ok()) {
    return make_error(error_code::store_unavailable,
                      std::string(answer.status().message()), outcome::unknown);
  }
  for (auto code : {error_code::not_found, error_code::bad_request,
                    error_code::too_large}) {
    if (answer->status != http_status(code)) continue;
    return make_error(code, concat("the platform refused the call: ",
                                   name_in(error_code_names, code)));
  }
  if (answer->status != 200) {
    return make_error(error_code::store_unavailable,
                      concat("the platform answered ", answer->status),
                      outcome::unknown);
  }
  try {
    return read(answer->body);
  } catch (const std::exception& e) {
    return make_error(error_code::store_unavailable,
                      concat("the platform's answer is malformed: ", e.what()),
                      outcome::unknown);
  }
}

struct client {
  event_loop* loop;
  http_stores_options options;

  template <typename T, typename Read>
  void call(http_request&& request, callback<T> done, Read read) const {
    fetch(*loop,
          {.address = options.address,
           .request = std::move(request),
           .connect_timeout = options.timeout,
           .idle_timeout = options.timeout},
          [done = std::move(done), read](const auto& answer) {
            done(read_answer<T>(answer, read));
          });
  }

  template <typename T, typename Read>
  void post(std::string_view path, const json::object& body, callback<T> done,
            Read read) const {
    call<T>({.method = "POST",
             .target = std::string(path),
             .body = json::serialize(body)},
            std::move(done), read);
  }
};

commit_result read_commit(const std::string& body) {
  auto value = json::parse(body);
  auto out = commit_result{.committed = value.at("committed").as_bool()};
  for (const auto& it : value.at("conflicts").as_array()) {
    out.conflicts.push_back(text_of(it));
  }
  return out;
}

std::vector<table_row> read_rows(const std::string& body) {
  auto out = std::vector<table_row>();
  auto value = json::parse(body);
  for (const auto& it : value.at("rows").as_array()) {
    out.push_back(row_from_json(it));
  }
  return out;
}

std::vector<std::string> read_names(const std::string& body) {
  auto out = std::vector<std::string>();
  auto value = json::parse(body);
  for (const auto& it : value.at("names").as_array()) {
    out.push_back(text_of(it));
  }
  return out;
}

using exchange_ptr = std::shared_ptr<http_exchange>;

void answer_json(const exchange_ptr& it, const json::object& body) {
  it->respond({.headers = {{"Content-Type", "application/json"}},
               .body = json::serialize(body)});
}

template <typename T, typename Write>
callback<T> answer_with(const exchange_ptr& it, Write write) {
  return [it, write](const absl::StatusOr<T>& got) {
    if (!got.ok()) {
      it->respond({.status = http_status(code_of(got.status()))});
      return;
    }
    write(it, *got);
  };
}

void write_commit(const exchange_ptr& it, const commit_result& got) {
  auto conflicts = json::array(got.conflicts.begin(), got.conflicts.end());
  answer_json(
      it, {{"committed", got.committed}, {"conflicts", std::move(conflicts)}});
}

void write_rows(const exchange_ptr& it, const std::vector<table_row>& got) {
  auto rows = json::array();
  for (const auto& row : got)
    rows.push_back(row_to_json(row));
  answer_json(it, {{"rows", std::move(rows)}});
}

void write_names(const exchange_ptr& it, const std::vector<std::string>& got) {
  answer_json(it, {{"names", json::array(got.begin(), got.end())}});
}

void serve_table(const table_store& table, std::string_view path,
                 const exchange_ptr& it) {
  auto body = json::parse(it->request().body);
  if (path == commit_path) {
    table.commit(transaction_from_json(body),
                 answer_with<commit_result>(it, write_commit));
    return;
  }
  if (path == read_path) {
    table.read(text_of(body.at("key")),
               answer_with<table_row>(it, [](const auto& to, const auto& row) {
                 answer_json(to, row_to_json(row));
               }));
    return;
  }
  table.scan(text_of(body.at("prefix")), text_of(body.at("after")),
             body.at("limit").to_number<std::size_t>(),
             answer_with<std::vector<table_row>>(it, write_rows));
}

void serve_object(const object_store& objects, std::string_view encoded,
                  const exchange_ptr& it) {
  auto name = percent_decode(encoded);
  if (!name) {
    it->respond({.status = http_status(error_code::bad_request)});
    return;
  }
  if (it->request().method == "PUT") {
    objects.put_if_absent(
        *name, it->request().body,
        answer_with<bool>(it, [](const auto& to, bool written) {
          answer_json(to, {{"written", written}});
        }));
    return;
  }
  objects.get(*name,
              answer_with<std::string>(it, [](const auto& to, const auto& buf) {
                to->respond({.body = buf});
              }));
}

}  // namespace

table_store make_http_table_store(event_loop& loop,
                                  http_stores_options options) {
  auto to = client{&loop, std::move(options)};
  return {.commit =
              [to](const table_transaction& transaction,
                   callback<commit_result> done) {
                to.post<commit_result>(commit_path, to_json(transaction),
                                       std::move(done), read_commit);
              },
          .read =
              [to](const std::string& key, callback<table_row> done) {
                to.post<table_row>(read_path, {{"key", key}}, std::move(done),
                                   [](const std::string& body) {
                                     return row_from_json(json::parse(body));
                                   });
              },
          .scan =
              [to](const std::string& prefix, const std::string& after,
                   std::size_t limit, callback<std::vector<table_row>> done) {
                to.post<std::vector<table_row>>(
                    scan_path, page_request(prefix, after, limit),
                    std::move(done), read_rows);
              }};
}

object_store make_http_object_store(event_loop& loop,
                                    http_stores_options options) {
  auto to = client{&loop, std::move(options)};
  return {.put_if_absent =
              [to](const std::string& name, std::string bytes,
                   callback<bool> done) {
                to.call<bool>(
                    {.method = "PUT",
                     .target = concat(object_prefix, percent_encode(name)),
                     .body = std::move(bytes)},
                    std::move(done), [](const std::string& body) {
                      return json::parse(body).at("written").as_bool();
                    });
              },
          .get =
              [to](const std::string& name, callback<std::string> done) {
                to.call<std::string>(
                    {.target = concat(object_prefix, percent_encode(name))},
                    std::move(done),
                    [](const std::string& body) { return body; });
              },
          .list =
              [to](const std::string& prefix, const std::string& after,
                   std::size_t limit, callback<std::vector<std::string>> done) {
                to.post<std::vector<std::string>>(
                    list_path, page_request(prefix, after, limit),
                    std::move(done), read_names);
              }};
}

void serve_stores(const table_store& table, const object_store& objects,
                  const std::shared_ptr<http_exchange>& it) {
  auto path = path_of(it->request().target);
  try {
    if (auto name = after_prefix(path, object_prefix)) {
      serve_object(objects, *name, it);
      return;
    }
    if (path == list_path) {
      auto body = json::parse(it->request().body);
      objects.list(text_of(body.at("prefix")), text_of(body.at("after")),
                   body.at("limit").to_number<std::size_t>(),
                   answer_with<std::vector<std::string>>(it, write_names));
      return;
    }
    if (path == commit_path || path == read_path || path == scan_path) {
      serve_table(table, path, it);
      return;
    }
    it->respond({.status = http_status(error_code::not_found)});
  } catch (const std::exception&) {
    it->respond({.status = http_status(error_code::bad_request)});
  }
}

}  // namespace fulmar
