#pragma once

/// \file
/// Numbered change tickets: each carries the whole new state of what it
/// touches, and is accepted by one conditional transaction.

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/config/configuration.h"
#include "fulmarpitch/core/types.h"
#include "fulmarpitch/stores/stores.h"

namespace fulmar {

/// The row that names the newest version and its snapshot.
inline constexpr std::string_view config_head_key = "config/head";
inline constexpr std::string_view config_ticket_prefix = "config/ticket/";
inline constexpr std::string_view config_snapshot_prefix = "config/snapshot/";

/// Most objects that one ticket may touch.
inline constexpr std::size_t max_ticket_objects = 4096;

/// The new state of one object.
struct object_change {
  object_key key;
  /// Version of the configuration that last changed the object, as the author
  /// saw it; 0 when the object was absent.
  std::uint64_t base_version = 0;
  /// The object's whole JSON; nothing removes it.
  std::optional<std::string> body;
};

struct ticket {
  std::uint64_t number = 0;
  std::string author;
  std::vector<object_change> changes;
};

/// A ticket as the table service keeps it.
struct ticket_record {
  std::uint64_t number = 0;
  std::string author;
  /// SHA-256 of the ticket's canonical JSON.
  std::string digest;
  /// The version that the ticket made.
  std::uint64_t version = 0;
  instant accepted_at{};
  std::vector<object_key> objects;
  /// How many objects were touched; `objects` may hold fewer.
  std::uint32_t object_count = 0;
};

/// The newest version.
struct config_head {
  std::uint64_t version = 0;
  std::uint64_t ticket = 0;
  /// Name of the snapshot in the object store.
  std::string snapshot;
  /// SHA-256 of the snapshot's bytes.
  std::string digest;
};

/// One object with its last change. Removed objects stay, without a body, so
/// that a ticket that loses to a removal can be told which ticket did it.
struct object_state {
  std::uint64_t version = 0;
  std::uint64_t ticket = 0;
  std::optional<std::string> body;
};

/// What a snapshot holds.
struct config_snapshot {
  std::uint64_t version = 0;
  std::map<object_key, object_state> objects;
};

/// How a ticket was answered.
enum class ticket_verdict {
  accepted,
  already_accepted,
  conflict,
  number_taken,
  invalid,
  too_large,
};

inline constexpr std::array<named<ticket_verdict>, 6> ticket_verdict_names{{
    {ticket_verdict::accepted, "accepted"},
    {ticket_verdict::already_accepted, "already_accepted"},
    {ticket_verdict::conflict, "conflict"},
    {ticket_verdict::number_taken, "number_taken"},
    {ticket_verdict::invalid, "invalid"},
    {ticket_verdict::too_large, "too_large"},
}};

/// An object that another ticket changed first.
struct ticket_conflict {
  object_key key;
  std::uint64_t base_version = 0;
  std::uint64_t current_version = 0;
  /// The ticket that made the current version.
  std::uint64_t winner = 0;
};

struct ticket_answer {
  ticket_verdict verdict = ticket_verdict::accepted;
  /// The version the ticket made; 0 when it made none.
  std::uint64_t version = 0;
  std::vector<ticket_conflict> conflicts;
  std::vector<declaration_fault> faults;
};

/// The stores that hold tickets and snapshots.
struct config_stores {
  table_store tables;
  object_store objects;
};

/// Parses a ticket document and checks its form.
/// \param text the document, as schema/ticket.schema.json describes it.
/// \param faults receives every fault.
/// \return the ticket, or nothing.
std::optional<ticket> parse_ticket(std::string_view text,
                                   std::vector<declaration_fault>& faults);

/// Writes a ticket as canonical JSON.
std::string to_json(const ticket& value);

/// Hashes the ticket's content; the order of changes does not count.
std::string digest_of(const ticket& value);

/// Works out what turns one state into another.
/// \param from the state in force.
/// \param to the objects wanted.
/// \return a change for each object that differs.
std::vector<object_change> difference(const config_snapshot& from,
                                      const object_table& to);

/// Writes a snapshot as canonical JSON.
std::string to_json(const config_snapshot& value);

/// Parses what `to_json` wrote.
/// \return the snapshot, or `bad_request`.
absl::StatusOr<config_snapshot> parse_config_snapshot(std::string_view text);

/// Checks a snapshot's declarations.
/// \return the configuration at the snapshot's version, or all faults.
parsed_configuration configuration_of(const config_snapshot& value);

/// Submits a ticket. It is retried while only other objects change, and after
/// a lost reply it is sent again under the same transaction id.
/// \param stores the platform's stores.
/// \param value the ticket.
/// \param now the time, kept in the ticket's row.
/// \param done receives the answer, or `store_unavailable` with outcome
///   `unknown`: the same ticket may then be sent again.
void submit_ticket(const config_stores& stores, ticket value, instant now,
                   callback<ticket_answer> done);

/// Reads the head out of its row.
/// \return the head, version 0 for an absent row, or `internal`.
absl::StatusOr<config_head> parse_head(const table_row& row);

/// Reads the newest version; version 0 before the first ticket.
void read_head(const config_stores& stores, const callback<config_head>& done);

/// Checks a snapshot's bytes against the head that names them.
/// \return the snapshot, or `internal` when the digest differs.
absl::StatusOr<config_snapshot> verified_snapshot(const config_head& head,
                                                  std::string_view bytes);

/// Reads a version's snapshot and checks its digest.
void read_snapshot(const config_stores& stores, config_head head,
                   const callback<config_snapshot>& done);

/// Reads one ticket; `not_found` when no ticket has the number.
void read_ticket(const config_stores& stores, std::uint64_t number,
                 const callback<ticket_record>& done);

/// Lists tickets by number.
/// \param after only greater numbers.
/// \param limit most tickets to give.
void list_tickets(const config_stores& stores, std::uint64_t after,
                  std::size_t limit,
                  const callback<std::vector<ticket_record>>& done);

}  // namespace fulmar
