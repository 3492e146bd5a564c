#include "fulmarpitch/state/files.h"

#include <boost/json.hpp>
#include <list>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/state/backoff.h"
#include "fulmarpitch/state/content-hash.h"

namespace fulmar {
namespace detail {
namespace {

namespace json = boost::json;

constexpr std::size_t chunk_digits = 8;

struct chunk_write {
  std::string name;
  std::string bytes;
  bool waiting = false;
  backoff retry;
};

std::string file_key(std::string_view caller, std::string_view id) {
  return concat("file/", key_part(caller), '/', key_part(id));
}

std::string file_value(const file_info& file) {
  auto out = json::object();
  out["id"] = file.id;
  out["caller"] = file.caller;
  out["name"] = file.name;
  out["bytes"] = file.bytes;
  out["items"] = file.items;
  out["chunks"] = file.chunks;
  out["content_hash"] = file.content_hash;
  out["created"] = file.created.count();
  return json::serialize(out);
}

absl::Status damaged_file() {
  return make_error(error_code::internal, "a stored file is damaged",
                    outcome::unknown);
}

absl::StatusOr<file_info> parse_file(const std::string& value) {
  try {
    const auto row = json::parse(value).as_object();
    auto out = file_info();
    out.id = row.at("id").as_string().c_str();
    out.caller = row.at("caller").as_string().c_str();
    out.name = row.at("name").as_string().c_str();
    out.bytes = row.at("bytes").to_number<std::uint64_t>();
    out.items = row.at("items").to_number<std::uint64_t>();
    out.chunks = row.at("chunks").to_number<std::uint64_t>();
    out.content_hash = row.at("content_hash").as_string().c_str();
    out.created = instant(row.at("created").to_number<std::int64_t>());
    return out;
  } catch (const std::exception&) {
    return damaged_file();
  }
}

const json::string* text_member(const json::object& from,
                                std::string_view name) {
  const auto* const value = from.if_contains({name.data(), name.size()});
  return value == nullptr ? nullptr : value->if_string();
}

/// Writes an item as one line of a chunk's object.
std::string item_line(const json::object& item, std::uint64_t line) {
  auto out = json::object();
  out["custom_id"] = item.at("custom_id");
  out["line"] = line;
  if (const auto* url = text_member(item, "url")) out["url"] = *url;
  out["body"] = item.at("body");
  return concat(json::serialize(out), '\n');
}

}  // namespace
}  // namespace detail

struct file_upload::state {
  state(platform_stores its_stores, file_upload_options its_options)
      : stores(std::move(its_stores)),
        options(std::move(its_options)),
        row_retry(options.first_retry, options.longest_retry,
                  options.random_seed) {}

  platform_stores stores;
  file_upload_options options;
  content_hash hash;
  hash_set custom_ids;
  std::string line;
  std::string chunk;
  std::uint64_t chunk_items = 0;
  std::uint64_t line_number = 0;
  line_fault fault = line_fault::none;
  file_info file;
  std::list<detail::chunk_write> writes;
  /// Set once the content has ended.
  callback<file_info> done;
  bool row_waiting = false;
  backoff row_retry;
  instant now{};
};

namespace {

using state_ptr = std::shared_ptr<file_upload::state>;

absl::Status fault_status(const file_upload::state& it) {
  if (it.fault == line_fault::none) return absl::OkStatus();
  const auto large = it.fault == line_fault::line_too_long ||
                     it.fault == line_fault::too_many_items;
  return make_error(large ? error_code::too_large : error_code::bad_request,
                    concat("line ", it.line_number, ": ",
                           name_in(line_fault_names, it.fault)));
}

void write_row(const state_ptr& it);

/// Answers a finished upload once all its chunks are in the store.
void chunk_written(const state_ptr& it) {
  if (it->done && it->writes.empty()) write_row(it);
}

void put_chunk(const state_ptr& it, detail::chunk_write& write) {
  if (write.waiting || !write.retry.ready(it->now)) return;
  write.waiting = true;
  const auto weak = std::weak_ptr(it);
  it->stores.objects.put_if_absent(
      write.name, write.bytes,
      [weak, name = write.name](const absl::StatusOr<bool>& put) {
        const auto self = weak.lock();
        if (!self) return;
        auto at = self->writes.begin();
        while (at->name != name)
          ++at;
        at->waiting = false;
        if (!put.ok()) return at->retry.failed(self->now);
        self->writes.erase(at);
        chunk_written(self);
      });
}

void cut_chunk(const state_ptr& it) {
  if (it->chunk_items == 0) return;
  const auto& options = it->options;
  const auto number = it->file.chunks++;
  it->chunk_items = 0;
  it->writes.push_back({.name = chunk_object_name(options.file_id, number),
                        .bytes = std::exchange(it->chunk, {}),
                        .retry = {options.first_retry, options.longest_retry,
                                  options.random_seed + number}});
  put_chunk(it, it->writes.back());
}

/// Checks a line and adds its item to the chunk.
line_fault take_item(file_upload::state& it) {
  namespace json = boost::json;
  auto ec = json::error_code();
  const auto value = json::parse(it.line, ec);
  if (ec || !value.is_object()) return line_fault::not_json;
  const auto& item = value.get_object();
  const auto* const id = detail::text_member(item, "custom_id");
  if (id == nullptr || id->empty()) return line_fault::no_custom_id;
  if (id->size() > it.options.most_custom_id_bytes) {
    return line_fault::no_custom_id;
  }
  const auto* const body = item.if_contains("body");
  if (body == nullptr || !body->is_object()) return line_fault::no_body;
  if (it.file.items >= it.options.most_items) {
    return line_fault::too_many_items;
  }
  if (!it.custom_ids.insert(text_hash({id->data(), id->size()}))) {
    return line_fault::doubled_custom_id;
  }
  it.chunk += detail::item_line(item, it.line_number);
  ++it.chunk_items;
  ++it.file.items;
  return line_fault::none;
}

bool blank(std::string_view line) {
  return line.find_first_not_of(" \t\r") == std::string_view::npos;
}

void end_line(const state_ptr& it) {
  ++it->line_number;
  if (!blank(it->line)) it->fault = take_item(*it);
  it->line.clear();
  const auto full = it->chunk_items >= it->options.chunk_items ||
                    it->chunk.size() >= it->options.chunk_bytes;
  if (full && it->fault == line_fault::none) cut_chunk(it);
}

void add_to_line(file_upload::state& it, std::string_view part) {
  if (it.line.size() + part.size() <= it.options.most_line_bytes) {
    it.line += part;
    return;
  }
  ++it.line_number;
  it.fault = line_fault::line_too_long;
}

void write_row(const state_ptr& it) {
  if (it->row_waiting || !it->row_retry.ready(it->now)) return;
  it->row_waiting = true;
  const auto weak = std::weak_ptr(it);
  const auto key = detail::file_key(it->file.caller, it->file.id);
  it->stores.table.commit({.id = concat("file-", it->file.id),
                           .writes = {{key, detail::file_value(it->file)}}},
                          [weak](const absl::StatusOr<commit_result>& result) {
                            const auto self = weak.lock();
                            if (!self) return;
                            self->row_waiting = false;
                            if (!result.ok())
                              return self->row_retry.failed(self->now);
                            const auto done =
                                std::exchange(self->done, nullptr);
                            done(self->file);
                          });
}

}  // namespace

file_upload::file_upload(platform_stores stores, file_upload_options options)
    : state_(std::make_shared<state>(std::move(stores), std::move(options))) {
  state_->file.id = state_->options.file_id;
  state_->file.caller = state_->options.caller;
  state_->file.name = state_->options.name;
}

file_upload::~file_upload() = default;
file_upload::file_upload(file_upload&&) noexcept = default;
file_upload& file_upload::operator=(file_upload&&) noexcept = default;

absl::Status file_upload::feed(std::string_view bytes) {
  state_->hash.add(bytes);
  state_->file.bytes += bytes.size();
  while (!bytes.empty() && state_->fault == line_fault::none) {
    const auto end = bytes.find('\n');
    add_to_line(*state_, bytes.substr(0, end));
    if (end == std::string_view::npos) break;
    if (state_->fault == line_fault::none) end_line(state_);
    bytes.remove_prefix(end + 1);
  }
  return fault_status(*state_);
}

bool file_upload::ready() const {
  return state_->writes.size() < state_->options.most_writes;
}

void file_upload::finish(instant now, callback<file_info> done) {
  const auto open = state_->fault == line_fault::none;
  if (open && !state_->line.empty()) end_line(state_);
  if (state_->fault == line_fault::none && state_->file.items == 0) {
    state_->fault = line_fault::empty_file;
  }
  if (auto status = fault_status(*state_); !status.ok()) return done(status);
  state_->now = now;
  state_->file.created = now;
  state_->file.content_hash = state_->hash.finish();
  cut_chunk(state_);
  state_->done = std::move(done);
  chunk_written(state_);
}

void file_upload::tick(instant now) {
  state_->now = now;
  const auto keep = state_;
  for (auto it = keep->writes.begin(); it != keep->writes.end();) {
    auto& write = *it++;
    put_chunk(keep, write);
  }
  chunk_written(keep);
}

line_fault file_upload::fault() const {
  return state_->fault;
}

std::uint64_t file_upload::bad_line() const {
  return state_->fault == line_fault::none ? 0 : state_->line_number;
}

void find_file(const platform_stores& stores, const std::string& caller,
               const std::string& file_id, callback<file_info> done) {
  stores.table.read(
      detail::file_key(caller, file_id),
      [done = std::move(done)](const absl::StatusOr<table_row>& row) {
        if (!row.ok()) return done(row.status());
        if (row->version == 0) {
          return done(make_error(error_code::not_found, "no such file"));
        }
        done(detail::parse_file(row->value));
      });
}

std::string chunk_object_name(std::string_view file_id, std::uint64_t chunk) {
  return concat("files/", detail::key_part(file_id), '/',
                padded(chunk, detail::chunk_digits));
}

absl::StatusOr<std::vector<batch_item>> parse_chunk(std::string_view bytes) {
  namespace json = boost::json;
  auto out = std::vector<batch_item>();
  try {
    while (!bytes.empty()) {
      const auto end = bytes.find('\n');
      if (end == std::string_view::npos) return detail::damaged_file();
      const auto value = json::parse({bytes.data(), end});
      const auto& item = value.as_object();
      auto& to = out.emplace_back();
      to.custom_id = item.at("custom_id").as_string().c_str();
      to.line = item.at("line").to_number<std::uint64_t>();
      if (const auto* url = detail::text_member(item, "url")) {
        to.url = url->c_str();
      }
      const auto& body = item.at("body").as_object();
      if (const auto* model = detail::text_member(body, "model")) {
        to.model = model->c_str();
      }
      to.body = json::serialize(body);
      bytes.remove_prefix(end + 1);
    }
  } catch (const std::exception&) {
    return detail::damaged_file();
  }
  return out;
}

}  // namespace fulmar
