#pragma once

/// \file
/// Membership within a data centre, after SWIM with Lifeguard's local health:
/// direct and indirect pings, suspicion before death, refutation by a higher
/// incarnation, updates carried on the pings. A few delegates of each data
/// centre exchange summaries with the delegates of the others.
/// Reads no clock and opens no socket.

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// What is believed of a member.
enum class member_state { up, suspect, dead };

inline constexpr std::array<named<member_state>, 3> member_state_names{{
    {member_state::up, "up"},
    {member_state::suspect, "suspect"},
    {member_state::dead, "dead"},
}};

/// A member as it is spread within its data centre. Only the member itself
/// writes its record; others change `state` alone.
struct member_record {
  std::string name;
  std::string peer_address;
  std::string http_address;
  /// Grows with each start of the process and each change of the record.
  std::uint64_t incarnation = 0;
  /// Names one start of the process.
  std::uint64_t start = 0;
  std::uint64_t config_version = 0;
  member_state state = member_state::up;
  bool ready = false;
  /// Takes no new roles or work, but still answers.
  bool leaving = false;

  bool operator==(const member_record&) const = default;
};

/// Whether a target may receive work.
enum class target_state { serving, leaving, gone };

inline constexpr std::array<named<target_state>, 3> target_state_names{{
    {target_state::serving, "serving"},
    {target_state::leaving, "leaving"},
    {target_state::gone, "gone"},
}};

/// A target's state; the highest version is in force.
struct target_record {
  std::string name;
  std::uint64_t version = 0;
  target_state state = target_state::serving;

  bool operator==(const target_record&) const = default;
};

/// What one data centre tells the others about itself.
struct data_centre_summary {
  std::string data_centre;
  /// Grows with each summary of the data centre.
  std::uint64_t version = 0;
  std::uint64_t config_version = 0;
  std::uint32_t live_members = 0;
  /// Peer addresses of the delegates.
  std::vector<std::string> delegates;

  bool operator==(const data_centre_summary&) const = default;
};

/// What a datagram is for.
enum class membership_message_kind {
  ping,
  ack,
  /// Asks the receiver to ping `target` and to relay its ack.
  ping_request,
  /// Spreads updates at once and asks for no answer.
  update,
  /// Exchanged between data centres; answered by `summary_reply`.
  summary,
  summary_reply,
};

/// Hashes of the live members and target states that a sender holds, 16 buckets
/// of 16 bits, four to a word, so that a receiver knows which of its records
/// the sender may lack.
using membership_digest = std::array<std::uint64_t, 4>;

/// One datagram.
struct membership_message {
  membership_message_kind kind = membership_message_kind::ping;
  /// Joins an ack to its ping.
  std::uint64_t sequence = 0;
  /// Name and data centre of the sender.
  std::string from;
  std::string data_centre;
  /// The sender's record, by incarnation; the receiver asks for the record
  /// through the digest when it does not hold it.
  std::uint64_t incarnation = 0;
  membership_digest digest{};
  /// Highest configuration version that the sender has heard of.
  std::uint64_t highest_config_version = 0;
  /// The member a ping request or a relayed ack is about.
  std::string target;
  std::string target_address;
  std::vector<member_record> members;
  std::vector<target_record> targets;
  std::vector<data_centre_summary> summaries;
};

/// Bytes that a message takes on the wire: an upper estimate of its FlatBuffers
/// form plus the UDP and IPv4 headers.
/// \param message the datagram.
/// \return bytes.
std::size_t wire_bytes(const membership_message& message);

/// The shell must send this datagram.
struct send_output {
  std::string to_address;
  membership_message message;
};

/// A member joined, came back or started again.
struct member_up_output {
  member_record member;
  /// Whether the process lost what it held: a new start of a known name.
  bool restarted = false;
};

struct member_suspect_output {
  member_record member;
};

struct member_dead_output {
  member_record member;
};

/// A member takes no new roles or work any more.
struct member_leaving_output {
  member_record member;
};

struct target_state_output {
  target_record target;
};

using membership_output =
    std::variant<send_output, member_up_output, member_suspect_output,
                 member_dead_output, member_leaving_output,
                 target_state_output>;

/// How a membership is built.
struct membership_options {
  std::string name;
  std::string data_centre;
  std::string peer_address;
  std::string http_address;
  /// Names this start of the process; the clock's microseconds will do.
  std::uint64_t start = 1;
  /// Peer addresses in this data centre that are asked to let this one join.
  std::vector<std::string> seeds;
  /// Peer addresses in other data centres.
  std::vector<std::string> remote_seeds;
  instant ping_period = std::chrono::milliseconds(500);
  instant ack_timeout = std::chrono::milliseconds(200);
  /// Time for a suspected member to refute.
  instant suspicion = std::chrono::milliseconds(3000);
  instant summary_period = std::chrono::seconds(2);
  /// Dead members are forgotten after this.
  instant dead_retention = std::chrono::hours(2);
  std::size_t indirect_pings = 3;
  std::size_t delegates = 2;
  /// Most member records and most target records in one datagram.
  std::size_t records_per_message = 3;
  std::size_t targets_per_message = 8;
  std::uint64_t random_seed = 1;
};

/// The failure detector of one process.
class membership {
 public:
  explicit membership(membership_options options);
  ~membership();
  membership(membership&&) noexcept;
  membership& operator=(membership&&) noexcept;

  /// Takes a datagram in; answers leave with the next `tick`, which the shell
  /// may call at once.
  /// \param from_address where the datagram came from; answers go there.
  /// \param message the datagram.
  /// \param now the time; never runs backwards.
  void receive(const std::string& from_address,
               const membership_message& message, instant now);

  /// Runs the timers.
  /// \param now the time; never runs backwards.
  /// \return datagrams to send and changes, in order.
  std::vector<membership_output> tick(instant now);

  /// The time of the next timer; the shell may sleep until then.
  instant next_timer() const;

  /// Every member of the data centre that is not forgotten, this one included,
  /// by name.
  std::vector<member_record> members() const;

  /// Names of the members that may hold roles: ready, not dead, not leaving.
  std::vector<std::string> role_members() const;

  std::optional<member_record> member(const std::string& name) const;
  std::vector<target_record> targets() const;

  /// Latest summary of each other data centre, by name.
  std::vector<data_centre_summary> summaries() const;

  /// Whether this process exchanges summaries for its data centre.
  bool is_delegate() const;

  /// Highest configuration version that any VM was heard to know.
  std::uint64_t highest_config_version() const;

  /// Sets the version this process has in force; lower ones are ignored.
  void set_config_version(std::uint64_t version);
  void set_ready(bool ready);

  /// Announces that this process takes no new work. Not taken back.
  void set_leaving();

  /// Spreads a target's state; a version not above the known one is ignored.
  void set_target(const target_record& target);

  /// Gives the platform's lagging list of VMs as a hint: unknown addresses are
  /// invited, members that are missing are pinged next. Decides nothing alone.
  /// \param peer_addresses the peer addresses of the listed VMs.
  void hint_platform_list(const std::vector<std::string>& peer_addresses);

  /// Pings a member next, say after a failed connection to it.
  void hint_failing(const std::string& name);

  /// Local health: 0 when pings are answered, up to 8 when this process itself
  /// seems slow or cut off; timeouts grow with it.
  std::uint32_t local_health() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace fulmar
