#include "fulmarpitch/net/peer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <map>
#include <set>
#include <vector>

#include "endpoint.h"
#include "event-loop-impl.h"
#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/secret.h"

namespace asio = boost::asio;
using asio::ip::tcp;

namespace fulmar {
namespace {

constexpr std::uint32_t max_frame_bytes = 16U * 1024 * 1024;
constexpr std::size_t max_unsent_bytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t length_bytes = 4;

std::string encode(const wire::envelopeT& message) {
  auto builder = flatbuffers::FlatBufferBuilder();
  builder.Finish(wire::envelope::Pack(builder, &message));
  auto frame = std::string(length_bytes, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                               builder.GetSize());
  frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
               builder.GetSize());
  return frame;
}

template <typename Message>
std::string encode_body(Message message) {
  auto out = wire::envelopeT();
  out.body.Set(std::move(message));
  return encode(out);
}

/// \return false when the bytes are not a whole, valid message.
bool decode(const std::string& bytes, wire::envelopeT& out) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  auto verifier = flatbuffers::Verifier(data, bytes.size());
  if (!verifier.VerifyBuffer<wire::envelope>(nullptr)) return false;
  flatbuffers::GetRoot<wire::envelope>(data)->UnPackTo(&out);
  return out.body.type != wire::body::NONE;
}

std::string proof_text(std::string_view role, std::string_view nonce,
                       std::string_view name) {
  return concat(role, "|", nonce, "|", name);
}

}  // namespace

namespace {
class link;
}

struct peer_network::impl : std::enable_shared_from_this<peer_network::impl> {
  impl(event_loop& event_loop, peer_options peer, take_message message,
       take_loss loss)
      : loop(event_loop),
        options(std::move(peer)),
        on_message(std::move(message)),
        on_loss(std::move(loss)),
        acceptor(loop.native().io) {}

  void send(const std::string& peer, const wire::envelopeT& message);
  void dial(const std::string& peer);
  void add(const std::shared_ptr<link>& it);
  void remove(const std::shared_ptr<link>& it);
  void report_loss(const std::string& peer);
  asio::awaitable<void> accept_all();

  event_loop& loop;
  peer_options options;
  take_message on_message;
  take_loss on_loss;
  tcp::acceptor acceptor;
  std::map<std::string, std::string> addresses;
  std::map<std::string, std::vector<std::shared_ptr<link>>> links;
  std::set<std::shared_ptr<link>> unnamed;
  bool closed = false;
};

namespace {

class link : public std::enable_shared_from_this<link> {
 public:
  link(std::shared_ptr<peer_network::impl> net, tcp::socket socket,
       std::string peer)
      : net_(std::move(net)),
        socket_(std::move(socket)),
        timer_(net_->loop.native().io),
        peer_(std::move(peer)),
        heard_at_(event_loop::steady()),
        nonce_(random_nonce()) {}

  const std::string& peer() const { return peer_; }

  void dial(const tcp::endpoint& to) {
    asio::co_spawn(
        net_->loop.native().io,
        [self = shared_from_this(), to] { return self->run_dialled(to); },
        asio::detached);
    watch();
  }

  void accept() {
    asio::co_spawn(
        net_->loop.native().io,
        [self = shared_from_this()] { return self->run_accepted(); },
        asio::detached);
    watch();
  }

  void send(const std::string& frame) {
    if (closed_) return;
    unsent_ += frame.size();
    if (unsent_ > max_unsent_bytes) {
      close();
      return;
    }
    outbox_ += frame;
    if (ready_) flush();
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    auto ec = boost::system::error_code();
    socket_.close(ec);
    timer_.cancel();
    net_->remove(shared_from_this());
  }

 private:
  asio::awaitable<void> run_dialled(tcp::endpoint to) {
    auto ec = boost::system::error_code();
    co_await socket_.async_connect(
        to, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      close();
      co_return;
    }
    socket_.set_option(tcp::no_delay(true), ec);
    co_await read_all(false);
  }

  asio::awaitable<void> run_accepted() {
    auto ec = boost::system::error_code();
    socket_.set_option(tcp::no_delay(true), ec);
    auto hello = wire::challengeT();
    hello.nonce = nonce_;
    write_now(encode_body(std::move(hello)));
    co_await read_all(true);
  }

  asio::awaitable<void> read_all(bool accepted) {
    auto ec = boost::system::error_code();
    auto token = asio::redirect_error(asio::use_awaitable, ec);
    while (!closed_) {
      unsigned char length[length_bytes];
      co_await asio::async_read(socket_, asio::buffer(length), token);
      auto n = boost::endian::load_big_u32(length);
      if (ec || n > max_frame_bytes) break;
      auto frame = std::string(n, '\0');
      co_await asio::async_read(socket_, asio::buffer(frame), token);
      auto message = wire::envelopeT();
      if (ec || !decode(frame, message)) break;
      heard_at_ = event_loop::steady();
      if (!take(std::move(message), accepted)) break;
    }
    close();
  }

  /// \return false when the peer broke the protocol.
  bool take(wire::envelopeT message, bool accepted) {
    if (!ready_) return accepted ? take_hello(message) : take_set_up(message);
    if (message.body.type == wire::body::keep_alive) return true;
    net_->on_message(peer_, std::move(message));
    return true;
  }

  bool take_hello(const wire::envelopeT& message) {
    const auto* hello = message.body.Ashello();
    if (hello == nullptr) return false;
    const auto& secret = net_->options.secret;
    auto expected = prove(secret, proof_text("hello", nonce_, hello->name));
    if (!same_secret(expected, hello->proof)) return false;
    peer_ = hello->name;
    auto answer = wire::welcomeT();
    answer.name = net_->options.name;
    answer.proof =
        prove(secret, proof_text("welcome", hello->nonce, answer.name));
    write_now(encode_body(std::move(answer)));
    ready_ = true;
    net_->add(shared_from_this());
    return true;
  }

  bool take_set_up(const wire::envelopeT& message) {
    const auto& options = net_->options;
    if (const auto* it = message.body.Aschallenge()) {
      auto hello = wire::helloT();
      hello.name = options.name;
      hello.nonce = nonce_;
      hello.proof =
          prove(options.secret, proof_text("hello", it->nonce, hello.name));
      write_now(encode_body(std::move(hello)));
      return true;
    }
    const auto* it = message.body.Aswelcome();
    if (it == nullptr || it->name != peer_) return false;
    auto expected =
        prove(options.secret, proof_text("welcome", nonce_, it->name));
    if (!same_secret(expected, it->proof)) return false;
    ready_ = true;
    flush();
    return true;
  }

  void write_now(const std::string& frame) {
    early_ += frame;
    flush();
  }

  void flush() {
    if (writing_ || closed_) return;
    writing_ = true;
    asio::co_spawn(
        net_->loop.native().io,
        [self = shared_from_this()] { return self->write_all(); },
        asio::detached);
  }

  asio::awaitable<void> write_all() {
    auto ec = boost::system::error_code();
    while (!closed_) {
      auto bytes = std::exchange(early_, {});
      if (ready_) bytes += std::exchange(outbox_, {});
      if (bytes.empty()) break;
      co_await asio::async_write(socket_, asio::buffer(bytes),
                                 asio::redirect_error(asio::use_awaitable, ec));
      unsent_ -= std::min(unsent_, bytes.size());
      if (ec) close();
    }
    writing_ = false;
  }

  void watch() {
    timer_.expires_after(net_->options.keep_alive_period);
    timer_.async_wait([self = shared_from_this()](auto ec) {
      if (ec || self->closed_) return;
      auto silent = event_loop::steady() - self->heard_at_;
      if (silent > self->net_->options.silence_limit) {
        self->close();
        return;
      }
      if (self->ready_) self->send(encode_body(wire::keep_aliveT()));
      self->watch();
    });
  }

  std::shared_ptr<peer_network::impl> net_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string peer_;
  instant heard_at_;
  std::string nonce_;
  std::string early_;
  std::string outbox_;
  std::size_t unsent_ = 0;
  bool ready_ = false;
  bool writing_ = false;
  bool closed_ = false;
};

}  // namespace

void peer_network::impl::send(const std::string& peer,
                              const wire::envelopeT& message) {
  if (closed) return;
  if (peer == options.name) {
    auto copy = std::make_shared<wire::envelopeT>(message);
    loop.post([self = shared_from_this(), copy] {
      self->on_message(self->options.name, std::move(*copy));
    });
    return;
  }
  if (links[peer].empty()) dial(peer);
  auto& open = links[peer];
  if (open.empty()) {
    report_loss(peer);
    return;
  }
  open.front()->send(encode(message));
}

void peer_network::impl::dial(const std::string& peer) {
  auto it = addresses.find(peer);
  if (it == addresses.end()) return;
  auto to = parse_endpoint(it->second);
  if (!to) return;
  auto made = std::make_shared<link>(shared_from_this(),
                                     tcp::socket(loop.native().io), peer);
  links[peer].push_back(made);
  made->dial(*to);
}

void peer_network::impl::add(const std::shared_ptr<link>& it) {
  unnamed.erase(it);
  links[it->peer()].push_back(it);
}

void peer_network::impl::remove(const std::shared_ptr<link>& it) {
  unnamed.erase(it);
  auto found = links.find(it->peer());
  if (found == links.end()) return;
  auto n = std::erase(found->second, it);
  if (found->second.empty()) links.erase(found);
  if (n > 0) report_loss(it->peer());
}

void peer_network::impl::report_loss(const std::string& peer) {
  if (closed) return;
  loop.post([self = shared_from_this(), peer] {
    if (!self->closed) self->on_loss(peer);
  });
}

asio::awaitable<void> peer_network::impl::accept_all() {
  auto ec = boost::system::error_code();
  auto self = shared_from_this();
  while (acceptor.is_open()) {
    auto socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted) co_return;
    if (ec) continue;
    auto made = std::make_shared<link>(self, std::move(socket), "");
    unnamed.insert(made);
    made->accept();
  }
}

peer_network::peer_network(event_loop& loop, peer_options options,
                           take_message on_message, take_loss on_loss)
    : impl_(std::make_shared<impl>(loop, std::move(options),
                                   std::move(on_message), std::move(on_loss))) {
}

peer_network::~peer_network() {
  impl_->closed = true;
  auto ec = boost::system::error_code();
  impl_->acceptor.close(ec);
  auto all = std::vector<std::shared_ptr<link>>(impl_->unnamed.begin(),
                                                impl_->unnamed.end());
  for (const auto& [peer, open] : impl_->links) {
    all.insert(all.end(), open.begin(), open.end());
  }
  for (const auto& it : all)
    it->close();
}

absl::Status peer_network::start() {
  const auto& options = impl_->options;
  auto status = listen_on(impl_->acceptor, options.host, options.port);
  if (!status.ok()) return status;
  asio::co_spawn(
      impl_->loop.native().io, [net = impl_] { return net->accept_all(); },
      asio::detached);
  return absl::OkStatus();
}

std::uint16_t peer_network::port() const {
  auto ec = boost::system::error_code();
  return impl_->acceptor.local_endpoint(ec).port();
}

void peer_network::set_address(const std::string& peer,
                               const std::string& address) {
  impl_->addresses[peer] = address;
}

void peer_network::forget(const std::string& peer) {
  impl_->addresses.erase(peer);
  auto it = impl_->links.find(peer);
  if (it == impl_->links.end()) return;
  auto open = it->second;
  for (const auto& each : open)
    each->close();
}

void peer_network::send_envelope(const std::string& peer,
                                 const wire::envelopeT& message) {
  impl_->send(peer, message);
}

}  // namespace fulmar
