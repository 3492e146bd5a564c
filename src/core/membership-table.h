#pragma once

/// \file
/// The tables of a membership: members, target states and the updates that
/// still have to be spread.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fulmarpitch/core/membership.h"

namespace fulmar::detail {

/// A row of the member table.
struct member_entry {
  member_record record;
  /// When the state last changed; suspicion and forgetting count from here.
  instant changed_at{};
  /// How often the record was spread since it changed.
  std::uint32_t sent = 0;
  std::uint64_t name_hash = 0;
};

/// A row of the target table.
struct target_entry {
  target_record record;
  std::uint32_t sent = 0;
  std::uint64_t name_hash = 0;
};

/// At most this many target states are kept; the oldest versions go first.
inline constexpr std::size_t max_target_records = 1024;

/// Most records in one datagram.
struct record_limit {
  std::size_t members = 0;
  std::size_t targets = 0;
};

/// Everything known of the data centre but this process itself.
class member_table {
 public:
  using outputs = std::vector<membership_output>;

  /// Merges what was heard of another member.
  /// \return whether anything changed.
  bool merge(const member_record& record, instant now, outputs& out);
  bool merge(const target_record& record, outputs& out);

  /// Records that wait to be spread, the least spread first.
  /// \param limit most records to take.
  /// \param max_sent records spread this often are left out.
  void take_updates(const record_limit& limit, std::uint32_t max_sent,
                    membership_message& message);

  /// Takes in turn the records of the buckets in which two digests differ, to
  /// mend whatever the updates missed.
  void take_refresh(const record_limit& limit,
                    const membership_digest& difference,
                    membership_message& message);

  /// Hash of the members that are not dead and of the target states.
  membership_digest digest() const;

  /// Forgets members that have been dead since before a time.
  void forget_dead(instant before);

  /// Names of the members that are dead, or of those that are not.
  std::vector<std::string> names(bool dead) const;

  std::map<std::string, member_entry> members;
  std::map<std::string, target_entry> targets;

 private:
  void replace(member_entry& entry, const member_record& record, instant now,
               outputs& out);
  void drop_oldest_target();

  std::string member_cursor_;
  std::string target_cursor_;
};

/// Adds one name at one incarnation or version to a digest.
void add_to_digest(membership_digest& digest, std::uint64_t name_hash,
                   std::uint64_t version);

/// Tells whether the bucket of a name is set in a difference of digests.
bool in_difference(const membership_digest& difference,
                   std::uint64_t name_hash);

/// The bits in which two digests differ.
membership_digest difference_of(const membership_digest& a,
                                const membership_digest& b);

/// Adds a record unless the message holds it.
void add_once(std::vector<member_record>& records, const member_record& record);

}  // namespace fulmar::detail
