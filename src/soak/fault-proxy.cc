#include "fulmarpitch/soak/fault-proxy.h"

#include <boost/asio/write.hpp>

#include "../net/endpoint.h"
#include "fulmarpitch/core/text.h"

namespace fulmar::soak {
namespace {

/// Delay of each piece under `link_fault::delayed`.
constexpr auto piece_delay = std::chrono::milliseconds(40);

/// How often held bytes look whether the cut is over.
constexpr auto cut_check = std::chrono::milliseconds(10);

constexpr std::size_t piece_bytes = std::size_t{16} * 1024;

/// One connection through the proxy.
struct carried {
  tcp::socket near;
  tcp::socket far;
  bool silent = false;

  void close(bool reset) {
    for (auto* it : {&near, &far}) {
      auto ignored = boost::system::error_code();
      if (reset) it->set_option(asio::socket_base::linger(true, 0), ignored);
      it->close(ignored);
    }
  }
};

}  // namespace

struct fault_proxy::state : std::enable_shared_from_this<fault_proxy::state> {
  state(event_loop& loop, std::string far_address)
      : io(io_of(loop)),
        acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
        to(std::move(far_address)) {}

  asio::io_context& io;
  tcp::acceptor acceptor;
  std::string to;
  link_fault fault = link_fault::none;
  std::list<std::weak_ptr<carried>> open;

  task<void> accept() {
    for (;;) {
      auto [ec, socket] = co_await acceptor.async_accept(as_result);
      if (ec == asio::error::operation_aborted) co_return;
      if (ec) continue;
      auto it = std::make_shared<carried>(
          carried{.near = std::move(socket), .far = tcp::socket(io)});
      if (fault == link_fault::reset) {
        it->close(true);
        continue;
      }
      it->silent = fault == link_fault::cut;
      open.push_back(it);
      asio::co_spawn(io, carry(shared_from_this(), it), asio::detached);
    }
  }

  static task<void> carry(std::shared_ptr<state> self,
                          std::shared_ptr<carried> it) {
    auto endpoint = parse_endpoint(self->to);
    auto [ec] = co_await it->far.async_connect(*endpoint, as_result);
    if (ec) {
      it->close(true);
      co_return;
    }
    asio::co_spawn(self->io, pump(self, it, true), asio::detached);
    co_await pump(self, it, false);
  }

  static task<void> pump(std::shared_ptr<state> self,
                         std::shared_ptr<carried> it, bool outward) {
    auto& from = outward ? it->near : it->far;
    auto& into = outward ? it->far : it->near;
    auto bytes = std::array<char, piece_bytes>();
    for (;;) {
      auto [ec, n] =
          co_await from.async_read_some(asio::buffer(bytes), as_result);
      if (it->silent) co_return;
      if (ec) break;
      if (self->fault == link_fault::delayed) co_await pause_for(piece_delay);
      while (!outward && self->fault == link_fault::cut_one_way &&
             into.is_open())
        co_await pause_for(cut_check);
      auto [ec2, m] = co_await asio::async_write(
          into, asio::buffer(bytes.data(), n), as_result);
      if (ec2) break;
    }
    it->close(false);
  }
};

fault_proxy::fault_proxy(event_loop& loop, std::string to)
    : state_(std::make_shared<state>(loop, std::move(to))) {
  asio::co_spawn(state_->io, state_->accept(), asio::detached);
}

fault_proxy::~fault_proxy() {
  auto ignored = boost::system::error_code();
  state_->acceptor.close(ignored);
}

std::string fault_proxy::address() const {
  return concat("127.0.0.1:", state_->acceptor.local_endpoint().port());
}

void fault_proxy::set(link_fault fault) {
  state_->fault = fault;
  std::erase_if(state_->open, [](const auto& it) { return it.expired(); });
  for (const auto& weak : state_->open) {
    auto it = weak.lock();
    if (!it) continue;
    if (fault == link_fault::reset) it->close(true);
    if (fault == link_fault::silenced || fault == link_fault::cut)
      it->silent = true;
  }
}

link_fault fault_proxy::fault() const {
  return state_->fault;
}

}  // namespace fulmar::soak
