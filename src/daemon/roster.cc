#include "fulmarpitch/daemon/roster.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <optional>

#include "../net/endpoint.h"
#include "../net/event-loop-impl.h"
#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/secret.h"
#include "gossip-wire.h"

namespace asio = boost::asio;
using asio::ip::udp;

namespace fulmar {
namespace {

constexpr auto tick_period = std::chrono::milliseconds(50);
/// Leading bytes of the proof that a datagram carries.
constexpr std::size_t tag_bytes = 16;
constexpr std::size_t max_datagram_bytes = 16'384;

}  // namespace

struct roster::impl : std::enable_shared_from_this<roster::impl> {
  impl(event_loop& event_loop, roster_options roster_options,
       roster_handlers roster_handlers)
      : loop(event_loop),
        options(std::move(roster_options)),
        handlers(std::move(roster_handlers)),
        members(options.membership),
        socket(loop.native().io) {}

  void receive();
  void take(std::size_t n);
  void tick();
  void carry_out(const membership_output& output);
  void send(const send_output& output);
  void note_roles();

  event_loop& loop;
  roster_options options;
  roster_handlers handlers;
  membership members;
  udp::socket socket;
  udp::endpoint sender;
  std::array<char, max_datagram_bytes> buf{};
  std::vector<std::string> roles;
  std::uint64_t sent = 0;
  bool closed = false;
};

void roster::impl::receive() {
  socket.async_receive_from(
      asio::buffer(buf), sender,
      [self = shared_from_this()](auto ec, std::size_t n) {
        if (self->closed || ec == asio::error::operation_aborted) return;
        if (!ec) self->take(n);
        self->receive();
      });
}

void roster::impl::take(std::size_t n) {
  if (n < tag_bytes) return;
  auto tag = std::string_view(buf.data(), tag_bytes);
  auto bytes = std::string_view(buf.data() + tag_bytes, n - tag_bytes);
  auto expected = prove(options.secret, bytes);
  if (!same_secret(tag, std::string_view(expected).substr(0, tag_bytes))) {
    return;
  }
  auto message = decode_gossip(bytes);
  if (!message) return;
  auto from = concat(sender.address().to_string(), ":", sender.port());
  members.receive(from, *message, event_loop::now());
  tick();
}

void roster::impl::tick() {
  if (closed) return;
  for (const auto& it : members.tick(event_loop::now()))
    carry_out(it);
  note_roles();
}

void roster::impl::carry_out(const membership_output& output) {
  if (const auto* it = std::get_if<send_output>(&output)) {
    send(*it);
  } else if (const auto* up = std::get_if<member_up_output>(&output)) {
    if (handlers.on_up) handlers.on_up(up->member);
  } else if (const auto* dead = std::get_if<member_dead_output>(&output)) {
    if (handlers.on_dead) handlers.on_dead(dead->member);
  } else if (const auto* target = std::get_if<target_state_output>(&output)) {
    if (handlers.on_target) handlers.on_target(target->target);
  }
}

void roster::impl::send(const send_output& output) {
  auto to = parse_endpoint(output.to_address);
  if (!to) return;
  auto bytes = encode_gossip(output.message);
  auto datagram = prove(options.secret, bytes).substr(0, tag_bytes) + bytes;
  auto ec = boost::system::error_code();
  socket.send_to(asio::buffer(datagram),
                 udp::endpoint(to->address(), to->port()), 0, ec);
  if (!ec) sent += datagram.size();
}

void roster::impl::note_roles() {
  auto now = members.role_members();
  if (now == roles) return;
  roles = std::move(now);
  if (handlers.on_roles_changed) handlers.on_roles_changed();
}

roster::roster(event_loop& loop, roster_options options,
               roster_handlers handlers)
    : impl_(std::make_shared<impl>(loop, std::move(options),
                                   std::move(handlers))) {}

roster::~roster() {
  impl_->closed = true;
  auto ec = boost::system::error_code();
  impl_->socket.close(ec);
}

absl::Status roster::start() {
  auto ec = boost::system::error_code();
  auto host = asio::ip::make_address(impl_->options.host, ec);
  auto at = udp::endpoint(host, impl_->options.port);
  if (!ec) impl_->socket.open(at.protocol(), ec);
  if (!ec) impl_->socket.bind(at, ec);
  if (!ec) impl_->socket.non_blocking(true, ec);
  if (ec) {
    return make_error(
        error_code::bad_request,
        concat("cannot receive datagrams on ", impl_->options.host, ":",
               impl_->options.port, ": ", ec.message()));
  }
  impl_->receive();
  auto self = std::weak_ptr(impl_);
  impl_->loop.every(tick_period, [self] {
    if (auto it = self.lock()) it->tick();
  });
  impl_->tick();
  return absl::OkStatus();
}

membership& roster::members() {
  return impl_->members;
}

std::string roster::owner_of(const std::string& role) const {
  return rendezvous_owner(role, impl_->roles);
}

std::uint64_t roster::bytes_sent() const {
  return impl_->sent;
}

}  // namespace fulmar
