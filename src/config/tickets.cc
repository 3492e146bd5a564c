#include "fulmarpitch/config/tickets.h"

#include <algorithm>
#include <boost/json.hpp>
#include <memory>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

namespace json = boost::json;

/// Times that one store call is sent before the ticket is given up.
constexpr std::uint32_t max_sends = 5;

/// Times that a ticket starts again because other objects were changed.
constexpr std::uint32_t max_rounds = 64;

/// Keys that a ticket's row lists; a key takes under 100 bytes.
constexpr std::size_t max_listed_objects = 256;

constexpr std::size_t digest_characters_in_name = 16;

std::string ticket_key(std::uint64_t number) {
  return concat(config_ticket_prefix, padded(number));
}

std::string snapshot_name(std::uint64_t version, const std::string& digest) {
  return concat(config_snapshot_prefix, padded(version), "/",
                digest.substr(0, digest_characters_in_name));
}

std::string text_at(const json::object& fields, const char* name) {
  const auto& text = fields.at(name).as_string();
  return {text.data(), text.size()};
}

std::string row_of(const config_head& head) {
  return json::serialize(json::object({{"version", head.version},
                                       {"ticket", head.ticket},
                                       {"snapshot", head.snapshot},
                                       {"digest", head.digest}}));
}

config_head read_head_fields(const json::object& fields) {
  return {
      .version = fields.at("version").to_number<std::uint64_t>(),
      .ticket = fields.at("ticket").to_number<std::uint64_t>(),
      .snapshot = text_at(fields, "snapshot"),
      .digest = text_at(fields, "digest"),
  };
}

std::string row_of(const ticket_record& record) {
  auto objects = json::array();
  for (const auto& it : record.objects) {
    objects.push_back({name_in(object_kind_names, it.kind), it.name});
  }
  return json::serialize(
      json::object({{"number", record.number},
                    {"author", record.author},
                    {"digest", record.digest},
                    {"version", record.version},
                    {"accepted_at_us", record.accepted_at.count()},
                    {"object_count", record.object_count},
                    {"objects", std::move(objects)}}));
}

ticket_record read_record_fields(const json::object& fields) {
  auto record = ticket_record{
      .number = fields.at("number").to_number<std::uint64_t>(),
      .author = text_at(fields, "author"),
      .digest = text_at(fields, "digest"),
      .version = fields.at("version").to_number<std::uint64_t>(),
      .accepted_at =
          instant(fields.at("accepted_at_us").to_number<std::int64_t>()),
      .object_count = fields.at("object_count").to_number<std::uint32_t>(),
  };
  for (const auto& it : fields.at("objects").as_array()) {
    const auto kind = std::string(it.at(0).as_string());
    record.objects.push_back(
        {value_in(object_kind_names, kind).value_or(object_kind::model),
         std::string(it.at(1).as_string())});
  }
  return record;
}

/// Reads a row that this module wrote.
template <typename Read>
auto parse_row(const std::string& text, Read read)
    -> absl::StatusOr<decltype(read(json::object()))> {
  try {
    return read(json::parse(text).as_object());
  } catch (const std::exception& error) {
    return make_error(error_code::internal,
                      concat("a row cannot be read: ", error.what()),
                      outcome::unknown);
  }
}

/// One ticket on its way into the stores.
class submission : public std::enable_shared_from_this<submission> {
 public:
  submission(config_stores stores, ticket value, instant now,
             callback<ticket_answer> done)
      : stores_(std::move(stores)),
        ticket_(std::move(value)),
        digest_(digest_of(ticket_)),
        now_(now),
        done_(std::move(done)) {}

  void start() {
    if (ticket_.changes.size() > max_ticket_objects) {
      return done_(ticket_answer{.verdict = ticket_verdict::too_large});
    }
    start_round();
  }

 private:
  using self = std::shared_ptr<submission>;

  /// Runs a store call until it succeeds or was sent too often.
  template <typename T>
  void call(std::function<void(callback<T>)> send, std::function<void(T)> then,
            std::uint32_t sent = 1) {
    send([me = shared_from_this(), send, then, sent](absl::StatusOr<T> result) {
      if (result.ok()) return then(*std::move(result));
      if (sent >= max_sends) return me->give_up();
      me->template call<T>(send, then, sent + 1);
    });
  }

  void give_up() {
    done_(make_error(error_code::store_unavailable,
                     "the stores do not answer; send the same ticket again",
                     commit_sent_ ? outcome::unknown : outcome::not_run));
  }

  void fail(const absl::Status& status) { done_(status); }

  void start_round() {
    if (++round_ > max_rounds) {
      return fail(make_error(error_code::overloaded,
                             "other tickets came first too often"));
    }
    read_record([me = shared_from_this()] { me->load_head(); });
  }

  /// Answers when the number is in use; goes on when it is free.
  void read_record(const std::function<void()>& if_free) {
    const auto key = ticket_key(ticket_.number);
    call<table_row>(
        [me = shared_from_this(), key](callback<table_row> done) {
          me->stores_.tables.read(key, std::move(done));
        },
        [me = shared_from_this(), if_free](const table_row& row) {
          if (row.version == 0) return if_free();
          me->answer_taken(row);
        });
  }

  void answer_taken(const table_row& row) {
    const auto record = parse_row(row.value, read_record_fields);
    if (!record.ok()) return fail(record.status());
    if (record->digest != digest_) {
      return done_(ticket_answer{.verdict = ticket_verdict::number_taken,
                                 .version = record->version});
    }
    const auto verdict = commit_sent_ ? ticket_verdict::accepted
                                      : ticket_verdict::already_accepted;
    done_(ticket_answer{.verdict = verdict, .version = record->version});
  }

  void load_head() {
    call<table_row>(
        [me = shared_from_this()](callback<table_row> done) {
          me->stores_.tables.read(std::string(config_head_key),
                                  std::move(done));
        },
        [me = shared_from_this()](const table_row& row) {
          const auto head = parse_head(row);
          if (!head.ok()) return me->fail(head.status());
          me->head_row_version_ = row.version;
          me->load_snapshot(*head);
        });
  }

  void load_snapshot(const config_head& head) {
    call<config_snapshot>(
        [me = shared_from_this(), head](const callback<config_snapshot>& done) {
          read_snapshot(me->stores_, head, done);
        },
        [me = shared_from_this()](config_snapshot snapshot) {
          me->weigh(std::move(snapshot));
        });
  }

  /// The refused ticket may have been accepted through another VM meanwhile.
  void refuse(const ticket_answer& answer) {
    read_record([me = shared_from_this(), answer] { me->done_(answer); });
  }

  void weigh(config_snapshot snapshot) {
    auto answer = ticket_answer{.verdict = ticket_verdict::conflict,
                                .conflicts = conflicts_with(snapshot)};
    if (!answer.conflicts.empty()) return refuse(answer);
    apply_to(snapshot);
    auto parsed = configuration_of(snapshot);
    if (!parsed.ok()) {
      return refuse({.verdict = ticket_verdict::invalid,
                     .faults = std::move(parsed.faults)});
    }
    store_canonical(snapshot, objects_of(parsed.value));
    write_snapshot(snapshot);
  }

  std::vector<ticket_conflict> conflicts_with(
      const config_snapshot& snapshot) const {
    auto conflicts = std::vector<ticket_conflict>();
    for (const auto& it : ticket_.changes) {
      const auto found = snapshot.objects.find(it.key);
      const auto state =
          found == snapshot.objects.end() ? object_state{} : found->second;
      const auto was_absent = it.base_version == 0 && !state.body;
      if (was_absent || it.base_version == state.version) continue;
      conflicts.push_back(
          {it.key, it.base_version, state.version, state.ticket});
    }
    return conflicts;
  }

  void apply_to(config_snapshot& snapshot) const {
    ++snapshot.version;
    for (const auto& it : ticket_.changes) {
      snapshot.objects[it.key] = {snapshot.version, ticket_.number, it.body};
    }
  }

  /// Keeps bodies in one form, so that an exported folder compares as equal.
  void store_canonical(config_snapshot& snapshot,
                       const object_table& canonical) const {
    for (const auto& [key, body] : canonical) {
      auto& state = snapshot.objects[key];
      if (!state.body) state = {snapshot.version, ticket_.number, body};
      state.body = body;
    }
  }

  /// The snapshot goes first, so that a head never names a missing one.
  void write_snapshot(const config_snapshot& snapshot) {
    auto bytes = to_json(snapshot);
    const auto digest = sha256_hex(bytes);
    auto head = config_head{
        .version = snapshot.version,
        .ticket = ticket_.number,
        .snapshot = snapshot_name(snapshot.version, digest),
        .digest = digest,
    };
    call<bool>(
        [me = shared_from_this(), name = head.snapshot,
         bytes](callback<bool> done) {
          me->stores_.objects.put_if_absent(name, bytes, std::move(done));
        },
        [me = shared_from_this(), head](bool written) {
          if (written) return me->commit(head);
          me->fail(make_error(error_code::internal,
                              "the snapshot's name holds other bytes"));
        });
  }

  table_transaction transaction_for(const config_head& head) const {
    auto record = ticket_record{
        .number = ticket_.number,
        .author = ticket_.author,
        .digest = digest_,
        .version = head.version,
        .accepted_at = now_,
        .object_count = static_cast<std::uint32_t>(ticket_.changes.size()),
    };
    const auto listed = std::min(ticket_.changes.size(), max_listed_objects);
    for (std::size_t n = 0; n < listed; ++n) {
      record.objects.push_back(ticket_.changes[n].key);
    }
    const auto head_key = std::string(config_head_key);
    const auto key = ticket_key(ticket_.number);
    return {
        .id =
            concat("ticket/", ticket_.number, "/", digest_, "/", head.version),
        .conditions = {{head_key, head_row_version_}, {key, 0}},
        .writes = {{head_key, row_of(head)}, {key, row_of(record)}},
    };
  }

  void commit(const config_head& head) {
    commit_sent_ = true;
    call<commit_result>(
        [me = shared_from_this(),
         transaction = transaction_for(head)](callback<commit_result> done) {
          me->stores_.tables.commit(transaction, std::move(done));
        },
        [me = shared_from_this(),
         version = head.version](const commit_result& result) {
          if (!result.committed) return me->start_round();
          me->done_(ticket_answer{.verdict = ticket_verdict::accepted,
                                  .version = version});
        });
  }

  config_stores stores_;
  ticket ticket_;
  std::string digest_;
  instant now_;
  callback<ticket_answer> done_;
  std::uint64_t head_row_version_ = 0;
  std::uint32_t round_ = 0;
  bool commit_sent_ = false;
};

absl::StatusOr<std::vector<ticket_record>> records_in(
    const std::vector<table_row>& rows) {
  auto records = std::vector<ticket_record>();
  for (const auto& it : rows) {
    auto record = parse_row(it.value, read_record_fields);
    if (!record.ok()) return record.status();
    records.push_back(*std::move(record));
  }
  return records;
}

}  // namespace

absl::StatusOr<config_head> parse_head(const table_row& row) {
  if (row.version == 0) return config_head{};
  return parse_row(row.value, read_head_fields);
}

void submit_ticket(const config_stores& stores, ticket value, instant now,
                   callback<ticket_answer> done) {
  std::make_shared<submission>(stores, std::move(value), now, std::move(done))
      ->start();
}

void read_head(const config_stores& stores, const callback<config_head>& done) {
  stores.tables.read(std::string(config_head_key),
                     [done](const absl::StatusOr<table_row>& row) {
                       if (!row.ok()) return done(row.status());
                       done(parse_head(*row));
                     });
}

absl::StatusOr<config_snapshot> verified_snapshot(const config_head& head,
                                                  std::string_view bytes) {
  if (sha256_hex(bytes) != head.digest) {
    return make_error(error_code::internal, "the snapshot's digest differs");
  }
  return parse_config_snapshot(bytes);
}

void read_snapshot(const config_stores& stores, config_head head,
                   const callback<config_snapshot>& done) {
  if (head.version == 0) return done(config_snapshot{});
  const auto name = head.snapshot;
  stores.objects.get(name, [head = std::move(head),
                            done](const absl::StatusOr<std::string>& bytes) {
    if (!bytes.ok()) return done(bytes.status());
    done(verified_snapshot(head, *bytes));
  });
}

void read_ticket(const config_stores& stores, std::uint64_t number,
                 const callback<ticket_record>& done) {
  stores.tables.read(
      ticket_key(number), [number, done](const absl::StatusOr<table_row>& row) {
        if (!row.ok()) return done(row.status());
        if (row->version == 0) {
          return done(make_error(error_code::not_found,
                                 concat("no ticket has number ", number)));
        }
        done(parse_row(row->value, read_record_fields));
      });
}

void list_tickets(const config_stores& stores, std::uint64_t after,
                  std::size_t limit,
                  const callback<std::vector<ticket_record>>& done) {
  stores.tables.scan(
      std::string(config_ticket_prefix), ticket_key(after), limit,
      [done](const absl::StatusOr<std::vector<table_row>>& rows) {
        if (!rows.ok()) return done(rows.status());
        done(records_in(*rows));
      });
}

}  // namespace fulmar
