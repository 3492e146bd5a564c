#include "fulmarpitch/fakes/platform-store.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <boost/json.hpp>
#include <list>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/http.h"
#include "fulmarpitch/net/url.h"
#include "platform/json-fields.h"

namespace fulmar {
namespace {

namespace json = boost::json;

constexpr int status_gone = 410;
constexpr int status_failed_condition = 412;
constexpr int status_forbidden = 403;
constexpr int status_bad_request = 400;
constexpr int status_too_large = 413;
constexpr int status_too_many = 429;
constexpr int status_full = 507;

/// How often waits for changes are looked at.
constexpr auto feed_tick = std::chrono::milliseconds(5);

using row_key = std::tuple<std::string, std::string, std::string>;

struct row {
  std::string value;
  std::uint64_t version = 0;
  bool removed = false;
};

row_key key_of(const json::value& from) {
  const auto& in = from.as_object();
  return {platform::text_field(in, "table"), platform::text_field(in, "part"),
          platform::text_field(in, "key")};
}

json::object row_object(const row_key& key, const row& it) {
  const auto& [table, part, name] = key;
  auto out = json::object{
      {"table", table}, {"part", part}, {"key", name}, {"ver", it.version}};
  if (it.removed) {
    out["removed"] = true;
  } else {
    out["value"] = absl::Base64Escape(it.value);
  }
  return out;
}

std::uint64_t number_of(std::string_view target, std::string_view name,
                        std::uint64_t otherwise) {
  auto out = otherwise;
  return absl::SimpleAtoi(query_parameter(target, name), &out) ? out
                                                               : otherwise;
}

}  // namespace

struct platform_store_fake::state
    : std::enable_shared_from_this<platform_store_fake::state> {
  /// A wait for changes.
  struct feed {
    std::shared_ptr<http_exchange> client;
    std::string table;
    std::uint64_t after = 0;
    instant until{};
  };

  /// Calls within the current second.
  struct call_rate {
    std::int64_t second = 0;
    std::size_t calls = 0;

    bool exceeds(std::size_t most, instant now) {
      auto current = std::chrono::floor<std::chrono::seconds>(now).count();
      if (std::exchange(second, current) != current) calls = 0;
      return ++calls > most;
    }
  };

  state(event_loop& event_loop, std::string address, platform_store_limits most)
      : loop(event_loop), host(std::move(address)), limits(most) {}

  event_loop& loop;
  std::string host;
  platform_store_limits limits;
  std::unique_ptr<http_server> server;
  std::map<row_key, row> rows;
  std::map<std::string, std::string> objects;
  std::uint64_t version = 0;
  std::uint64_t history_from = 0;
  store_fault fault = store_fault::none;
  std::uint64_t calls = 0;
  std::uint64_t refused_calls = 0;
  std::size_t object_bytes = 0;
  call_rate reads;
  call_rate writes;
  /// When the transactions of a part that were accepted have been applied.
  std::map<std::string, instant> part_busy_until;
  std::list<feed> feeds;
  /// Exchanges that never get an answer.
  std::vector<std::shared_ptr<http_exchange>> silent;

  json::object stamped() const {
    return {{"ver", version}, {"nowMs", event_loop::steady().count() / 1000}};
  }

  static void answer(http_exchange& client, int status,
                     const json::object& body) {
    client.respond({.status = status,
                    .headers = {{"Content-Type", "application/json"}},
                    .body = json::serialize(body)});
  }

  void take(std::shared_ptr<http_exchange> client) {
    ++calls;
    switch (fault) {
      case store_fault::down:
        client->respond({.status = 503});
        return;
      case store_fault::busy:
        client->respond({.status = 429});
        return;
      case store_fault::reset:
        client->abort();
        return;
      case store_fault::silent:
        silent.push_back(std::move(client));
        return;
      case store_fault::none:
      case store_fault::lost:
        break;
    }
    auto target = std::string_view(client->request().target);
    auto path = path_of(target);
    auto reads_only = client->request().method == "GET";
    auto now = event_loop::steady();
    auto beyond = reads_only ? reads.exceeds(limits.reads_per_second, now)
                             : writes.exceeds(limits.writes_per_second, now);
    if (beyond) {
      client->respond({.status = status_too_many});
    } else if (path == "/v1/rows-tx") {
      transact(std::move(client));
    } else if (path == "/v1/rows-get") {
      read(*client, target);
    } else if (path == "/v1/rows-parts") {
      list_parts(*client, target);
    } else if (path == "/v1/rows-feed") {
      wait_for_changes(std::move(client), target);
    } else {
      take_object(*client, path);
    }
  }

  void refuse(http_exchange& client, int status, const std::string& why) {
    ++refused_calls;
    answer(client, status, {{"error", why}});
  }

  bool fits(const row_key& key) const {
    const auto& [table, part, name] = key;
    return std::max({table.size(), part.size(), name.size()}) <=
           limits.name_bytes;
  }

  std::size_t count_tables(const std::vector<row_key>& with) const {
    auto tables = std::set<std::string>();
    for (const auto& [key, it] : rows)
      tables.insert(std::get<0>(key));
    for (const auto& it : with)
      tables.insert(std::get<0>(it));
    return tables.size();
  }

  /// \return why a transaction is refused for its form or size; empty if it is
  ///     not.
  std::string problem_of(json::object& in, std::size_t bytes) const {
    if (bytes > limits.call_bytes) return "the call is too large";
    auto keys = std::vector<row_key>();
    for (const auto* list : {"precondition", "setKeys", "remove"}) {
      for (const auto& it : in[list].as_array())
        keys.push_back(key_of(it));
    }
    if (keys.size() > limits.call_entries)
      return "the call has too many entries";
    for (const auto& it : keys) {
      if (!fits(it)) return "a row's name is too long";
      if (std::get<1>(it) != std::get<1>(keys.front()))
        return "the entries are of several parts";
    }
    for (const auto& it : in["setKeys"].as_array()) {
      auto value = std::string();
      if (!absl::Base64Unescape(it.at("value").as_string().c_str(), &value))
        return "a value is no base64";
      if (value.size() > limits.row_bytes) return "a value is too long";
    }
    if (count_tables(keys) > limits.tables) return "there are too many tables";
    return {};
  }

  /// \return whether a transaction has to wait for over a second.
  bool is_congested(const std::string& part) {
    constexpr auto longest_wait = std::chrono::seconds(1);
    auto now = event_loop::steady();
    auto& until = part_busy_until[part];
    until = std::max(until, now);
    if (until - now > longest_wait) return true;
    until += instant(std::chrono::seconds(1)) /
             static_cast<std::int64_t>(limits.part_writes_per_second);
    return false;
  }

  void transact(std::shared_ptr<http_exchange> client) {
    auto parsed = boost::system::error_code();
    auto body = json::parse(client->request().body, parsed);
    if (parsed || !body.is_object())
      return refuse(*client, status_bad_request, "the body is no JSON object");
    auto& in = body.as_object();
    auto problem = problem_of(in, client->request().body.size());
    if (!problem.empty()) return refuse(*client, status_bad_request, problem);
    for (const auto* list : {"setKeys", "precondition", "remove"}) {
      const auto& entries = in[list].as_array();
      if (entries.empty()) continue;
      if (is_congested(std::get<1>(key_of(entries.front()))))
        return client->respond({.status = status_too_many});
      break;
    }
    auto conflicts = json::array();
    for (const auto& it : in["precondition"].as_array()) {
      auto key = key_of(it);
      auto wanted = it.at("ver").to_number<std::uint64_t>();
      const auto found = rows.find(key);
      auto exists = found != rows.end() && !found->second.removed;
      auto actual = exists ? found->second.version : 0;
      if (actual == wanted) continue;
      conflicts.push_back(row_object(key, exists ? found->second : row{}));
    }
    auto out = stamped();
    if (!conflicts.empty()) {
      out["rows"] = std::move(conflicts);
      answer(*client, status_failed_condition, out);
      return;
    }
    for (const auto& it : in["setKeys"].as_array()) {
      auto key = key_of(it);
      if (std::get<0>(key) == "op" || std::get<0>(key) == "servers") {
        client->respond({.status = status_forbidden});
        return;
      }
    }
    ++version;
    for (const auto& it : in["setKeys"].as_array()) {
      auto value = std::string();
      absl::Base64Unescape(it.at("value").as_string().c_str(), &value);
      rows[key_of(it)] = {.value = std::move(value), .version = version};
    }
    for (const auto& it : in["remove"].as_array())
      rows[key_of(it)] = {.version = version, .removed = true};
    if (fault == store_fault::lost) {
      silent.push_back(std::move(client));
    } else {
      answer(*client, 200, stamped());
    }
    wake_feeds();
  }

  void read(http_exchange& client, std::string_view q) {
    auto out = stamped();
    auto found = json::array();
    auto limit = std::min<std::size_t>(number_of(q, "limit", limits.read_rows),
                                       limits.read_rows);
    auto bytes = std::size_t{0};
    auto truncated = false;
    auto to = query_parameter(q, "to");
    auto from = row_key(query_parameter(q, "table"), query_parameter(q, "part"),
                        query_parameter(q, "from"));
    if (!fits(from)) {
      return refuse(client, status_bad_request, "a row's name is too long");
    }
    for (auto it = rows.lower_bound(from); it != rows.end(); ++it) {
      const auto& [table, part, key] = it->first;
      if (table != std::get<0>(from) || part != std::get<1>(from)) break;
      if (!to.empty() && key >= to) break;
      if (it->second.removed) continue;
      auto object = row_object(it->first, it->second);
      bytes += json::serialize(object).size();
      auto full = !found.empty() && bytes > limits.read_bytes;
      if (found.size() == limit || full) {
        truncated = true;
        break;
      }
      found.push_back(std::move(object));
    }
    out["rows"] = std::move(found);
    out["truncated"] = truncated;
    answer(client, 200, out);
  }

  void list_parts(http_exchange& client, std::string_view q) {
    auto parts = json::array();
    auto truncated = false;
    auto last = std::string();
    for (const auto& [key, it] : rows) {
      const auto& [table, part, name] = key;
      if (table != query_parameter(q, "table") || it.removed) continue;
      if (!parts.empty() && part == last) continue;
      if (part <= query_parameter(q, "after") &&
          !query_parameter(q, "after").empty())
        continue;
      truncated = parts.size() == limits.listed_names;
      if (truncated) break;
      parts.push_back(json::value(part));
      last = part;
    }
    auto out = stamped();
    out["parts"] = std::move(parts);
    out["truncated"] = truncated;
    answer(client, 200, out);
  }

  void wait_for_changes(std::shared_ptr<http_exchange> client,
                        std::string_view q) {
    auto after = number_of(q, "after", 0);
    if (after < history_from) {
      answer(*client, status_gone, stamped());
      return;
    }
    auto wait = std::chrono::milliseconds(number_of(q, "waitMs", 0));
    feeds.push_back({.client = std::move(client),
                     .table = query_parameter(q, "table"),
                     .after = after,
                     .until = event_loop::steady() + wait});
    wake_feeds();
  }

  void wake_feeds() {
    auto now = event_loop::steady();
    for (auto it = feeds.begin(); it != feeds.end();) {
      auto changed = std::map<std::uint64_t, json::array>();
      for (const auto& [key, row] : rows) {
        if (std::get<0>(key) == it->table && row.version > it->after)
          changed[row.version].push_back(row_object(key, row));
      }
      if (changed.empty() && now < it->until) {
        ++it;
        continue;
      }
      auto list = json::array();
      for (auto& [number, group] : changed) {
        for (auto& row : group)
          list.push_back(std::move(row));
      }
      auto out = stamped();
      out["rows"] = std::move(list);
      answer(*it->client, 200, out);
      it = feeds.erase(it);
    }
  }

  void take_object(http_exchange& client, std::string_view path) {
    constexpr auto put = std::string_view("/v1/blob-put/");
    constexpr auto get = std::string_view("/v1/blob-get/");
    constexpr auto drop = std::string_view("/v1/blob-drop/");
    if (path.starts_with(put)) {
      put_object(client, std::string(path.substr(put.size())));
    } else if (path.starts_with(get)) {
      auto found = objects.find(std::string(path.substr(get.size())));
      if (found == objects.end()) return client.respond({.status = 404});
      client.respond({.body = found->second});
    } else if (path.starts_with(drop)) {
      auto found = objects.find(std::string(path.substr(drop.size())));
      if (found == objects.end()) return client.respond({.status = 404});
      object_bytes -= found->second.size();
      objects.erase(found);
      client.respond({});
    } else {
      client.respond({.status = 404});
    }
  }

  void put_object(http_exchange& client, const std::string& name) {
    const auto& body = client.request().body;
    if (body.size() > limits.object_bytes)
      return refuse(client, status_too_large, "the object is too large");
    if (objects.contains(name))
      return client.respond({.status = status_failed_condition});
    if (object_bytes + body.size() > limits.all_object_bytes)
      return client.respond({.status = status_full});
    object_bytes += body.size();
    objects.emplace(name, body);
    client.respond({});
  }
};

platform_store_fake::platform_store_fake(event_loop& loop, std::string host,
                                         platform_store_limits limits)
    : state_(std::make_shared<state>(loop, std::move(host), limits)) {}

platform_store_fake::~platform_store_fake() {
  state_->feeds.clear();
  state_->silent.clear();
  state_->server.reset();
}

absl::Status platform_store_fake::start() {
  state_->server = std::make_unique<http_server>(
      state_->loop,
      http_server_options{
          .host = state_->host,
          .max_body_bytes = 2 * std::max(state_->limits.object_bytes,
                                         state_->limits.call_bytes)},
      [weak = std::weak_ptr(state_)](std::shared_ptr<http_exchange> client) {
        if (auto it = weak.lock()) it->take(std::move(client));
      });
  state_->loop.every(feed_tick, [weak = std::weak_ptr(state_)] {
    if (auto it = weak.lock()) it->wake_feeds();
  });
  return state_->server->start();
}

std::string platform_store_fake::address() const {
  return concat(state_->host, ":", state_->server->port());
}

void platform_store_fake::put(const std::string& table, const std::string& key,
                              std::string value) {
  state_->rows[{table, "", key}] = {.value = std::move(value),
                                    .version = ++state_->version};
  state_->wake_feeds();
}

void platform_store_fake::remove(const std::string& table,
                                 const std::string& key) {
  state_->rows[{table, "", key}] = {.version = ++state_->version,
                                    .removed = true};
  state_->wake_feeds();
}

std::string platform_store_fake::value(const std::string& table,
                                       const std::string& part,
                                       const std::string& key) const {
  auto it = state_->rows.find({table, part, key});
  return it == state_->rows.end() ? std::string() : it->second.value;
}

std::string platform_store_fake::written() const {
  auto out = std::string();
  for (const auto& [name, it] : state_->rows) {
    const auto& [table, part, key] = name;
    if (table == "op" || table == "servers") continue;
    out += concat(table, "/", part, "/", key, " ", it.value, "\n");
  }
  for (const auto& [name, bytes] : state_->objects)
    out += concat(name, " ", bytes, "\n");
  return out;
}

void platform_store_fake::set_fault(store_fault fault) {
  state_->fault = fault;
}

void platform_store_fake::drop_history() {
  state_->history_from = state_->version + 1;
}

std::uint64_t platform_store_fake::calls() const {
  return state_->calls;
}

std::uint64_t platform_store_fake::refused_calls() const {
  return state_->refused_calls;
}

std::size_t platform_store_fake::objects() const {
  return state_->objects.size();
}

}  // namespace fulmar
