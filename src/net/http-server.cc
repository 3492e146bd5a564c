#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <unordered_set>

#include "endpoint.h"
#include "event-loop-impl.h"
#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/coroutine.h"
#include "fulmarpitch/net/http.h"

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace fulmar {
namespace {

constexpr std::size_t piece_bytes = 65'536;
/// A client that lets more than this pile up is cut off.
constexpr std::size_t max_unsent_bytes = std::size_t{16} * 1024 * 1024;

/// How long, and how much, a refused client may go on sending before its
/// connection is closed. Unread bytes would reset the connection, and the
/// refusal would be lost with it.
constexpr auto linger_timeout = std::chrono::seconds(1);
constexpr std::size_t max_linger_bytes = std::size_t{4} * 1024 * 1024;

/// A connection stays open for this long beyond the time that its client was
/// told, so that a request which is sent within that time arrives before the
/// close, also after a lost packet.
constexpr auto idle_margin = std::chrono::milliseconds(1500);

/// Beyond the limit on connections, one in this many more is accepted to be
/// refused; the others wait in the system's queue.
constexpr std::size_t connections_per_refusal = 8;

/// Pause after a connection could not be accepted, such as for want of
/// descriptors.
constexpr auto accept_pause = std::chrono::milliseconds(20);

constexpr int status_request_timeout = 408;
constexpr int status_internal_error = 500;

using head_parser = http::request_parser<http::empty_body>;
using text_parser = http::request_parser<http::string_body>;
using piece_parser = http::request_parser<http::buffer_body>;

http_request read_head(const http::request<http::empty_body>& from) {
  auto out = http_request{.method = std::string(from.method_string()),
                          .target = std::string(from.target())};
  for (const auto& it : from) {
    out.headers.push_back(
        {std::string(it.name_string()), std::string(it.value())});
  }
  return out;
}

/// \param idle_time how long the client may leave the connection idle; nothing
///     if it ends with the answer.
std::string head_text(const http_response& from, bool chunked,
                      std::optional<std::chrono::seconds> idle_time) {
  auto head = http::response<http::empty_body>();
  head.version(11);
  head.result(static_cast<unsigned>(from.status));
  for (const auto& it : from.headers)
    head.insert(it.name, it.value);
  head.keep_alive(idle_time.has_value());
  if (idle_time)
    head.set(http::field::keep_alive, concat("timeout=", idle_time->count()));
  if (chunked) {
    head.chunked(true);
  } else {
    head.content_length(from.body.size());
  }
  auto out = std::ostringstream();
  out << head.base();
  return out.str();
}

std::string chunk_text(const std::string& piece) {
  constexpr auto base = 16;
  auto digits = std::array<char, sizeof(std::size_t) * 2>();
  auto end = std::to_chars(digits.begin(), digits.end(), piece.size(), base);
  auto size = std::string_view(
      digits.data(), static_cast<std::size_t>(end.ptr - digits.data()));
  return concat(size, "\r\n", piece, "\r\n");
}

/// \return whether a connection may end for this reason while a request that
///     was read on it is not answered.
bool may_leave_unanswered(connection_end why) {
  return why == connection_end::client_left ||
         why == connection_end::client_stuck ||
         why == connection_end::answer_broken_off;
}

bool is_bad_input(const boost::system::error_code& ec) {
  const auto& parser_errors =
      make_error_code(http::error::bad_method).category();
  return ec.category() == parser_errors && ec != http::error::end_of_stream &&
         ec != http::error::partial_message;
}

}  // namespace

struct http_server::impl : std::enable_shared_from_this<http_server::impl> {
  impl(event_loop& event_loop, http_server_options server_options,
       handler handle, streams_body body_streams)
      : loop(event_loop),
        acceptor(loop.native().io),
        options(std::move(server_options)),
        take(std::move(handle)),
        streams(std::move(body_streams)) {}

  event_loop& loop;
  tcp::acceptor acceptor;
  http_server_options options;
  handler take;
  streams_body streams;
  std::function<void(const ended_connection&)> on_end;
  std::unordered_set<class http_session*> sessions;
  /// Sum over the sessions.
  std::size_t unsent = 0;
  bool checking = false;
  /// The server is gone, and with it the loop that would send answers.
  bool stopped = false;
};

/// A connection of a client.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  http_session(tcp::socket socket, std::shared_ptr<http_server::impl> server);
  ~http_session() {
    drop_unsent();
    server_->sessions.erase(this);
  }
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;
  void start();
  /// Refuses the client's request without reading it, and ends.
  void start_refusal();
  void close(connection_end why);
  void close_if_stopping();
  void close_if_expired(instant now);
  bool has_exchange() const { return current_ != nullptr || unsent_ > 0; }
  std::size_t unsent() const { return unsent_; }

 private:
  friend class server_exchange;
  asio::awaitable<void> run();
  asio::awaitable<void> finish();
  asio::awaitable<bool> wait_for_request();
  asio::awaitable<bool> serve_one();
  asio::awaitable<void> linger();
  asio::awaitable<void> send_all();
  void bound_input();
  std::chrono::seconds promise_idle_time();
  void half_close(instant now);
  void report_end(connection_end why);
  void end_late_read(instant now);
  void enqueue(std::string bytes);
  void note_taken(std::size_t bytes);
  void drop_unsent() { note_taken(unsent_); }
  void refuse(error_code code, std::string_view message);
  void refuse(int status, error_code code, std::string_view message);
  void watch_for_close();
  bool has_input();
  bool is_closed_by_client();
  bool is_idle();

  beast::tcp_stream stream_;
  std::shared_ptr<http_server::impl> server_;
  beast::flat_buffer buf_;
  std::deque<std::string> outbox_;
  std::size_t unsent_ = 0;
  bool sending_ = false;
  bool closed_ = false;
  /// A request's first byte was read, and its answer has not ended.
  bool busy_ = false;
  /// Why the connection ends once its work is done.
  connection_end end_ = connection_end::answered;
  instant write_began_{};
  /// When the head or the body that is being read is due; empty if none is.
  std::optional<instant> read_deadline_;
  /// When the wait for a request began.
  instant idle_since_{};
  /// The time that the client was last told it may wait before its next
  /// request, or the timeout at the start of the wait if that is longer.
  instant idle_timeout_{};
  /// When the connection was closed as idle in the direction to the client.
  std::optional<instant> half_closed_at_;
  bool crossed_ = false;
  /// When the request that is being served was read.
  instant request_read_{};
  std::shared_ptr<class server_exchange> current_;
  asio::steady_timer ended_;
};

/// Cuts off the client that has taken least of what was sent to it.
void close_most_unsent(http_server::impl& server) {
  auto most = std::max_element(
      server.sessions.begin(), server.sessions.end(),
      [](const auto* a, const auto* b) { return a->unsent() < b->unsent(); });
  (*most)->close(connection_end::client_stuck);
}

class server_exchange : public http_exchange,
                        public std::enable_shared_from_this<server_exchange> {
 public:
  server_exchange(std::shared_ptr<http_session> owner, http_request request,
                  bool keep_alive)
      : owner_(std::move(owner)),
        request_(std::move(request)),
        keep_alive_(keep_alive) {}

  const http_request& request() const override { return request_; }

  std::string remote_address() const override {
    auto ec = boost::system::error_code();
    auto remote = owner_->stream_.socket().remote_endpoint(ec);
    return ec ? std::string() : remote.address().to_string();
  }

  void respond(http_response response) override {
    if (done_) return;
    owner_->enqueue(head_text(response, false, idle_time()) + response.body);
    end();
  }

  void start_stream(http_response head) override {
    if (done_ || streaming_) return;
    streaming_ = true;
    owner_->enqueue(head_text(head, true, idle_time()));
  }

  void write(std::string piece) override {
    if (done_ || !streaming_ || piece.empty()) return;
    owner_->enqueue(chunk_text(piece));
  }

  void finish() override {
    if (done_ || !streaming_) return;
    owner_->enqueue("0\r\n\r\n");
    end();
  }

  void abort() override {
    if (done_) return;
    end();
    owner_->close(connection_end::answer_broken_off);
  }

  void close_after() override { keep_alive_ = false; }

  /// Ends an exchange that nobody can answer any more, such as after an
  /// unexpected error: the client gets an answer, or sees that it broke off.
  void abandon() {
    if (done_ || owner_->server_->stopped) return;
    LOG(ERROR) << "no answer was given to " << request_.method << ' '
               << request_.target;
    if (streaming_) return abort();
    keep_alive_ = false;
    respond({.status = status_internal_error,
             .headers = {{"Content-Type", "application/json"}},
             .body = R"({"error":"internal error","outcome":"unknown"})"});
  }

  std::size_t unsent_bytes() const override { return owner_->unsent_; }

  void on_closed(std::function<void()> work) override {
    closed_ = std::move(work);
    if (owner_->closed_) notify_closed();
  }

  void read_body(
      std::function<void(absl::StatusOr<std::string>)> take) override {
    if (!parser_) {
      take(std::string());
      return;
    }
    asio::co_spawn(owner_->stream_.get_executor(), read_piece(std::move(take)),
                   report_failure);
  }

  void notify_closed() {
    if (done_) return;
    done_ = true;
    if (auto work = std::move(closed_)) work();
    owner_->ended_.cancel();
  }

  bool done() const { return done_; }
  bool keep_alive() const {
    return keep_alive_ && (!parser_ || parser_->is_done());
  }
  void set_parser(std::unique_ptr<piece_parser> parser) {
    parser_ = std::move(parser);
  }

 private:
  asio::awaitable<void> read_piece(
      std::function<void(absl::StatusOr<std::string>)> take) {
    auto self = shared_from_this();
    auto owner = owner_;
    auto piece = std::string(piece_bytes, '\0');
    auto ec = boost::system::error_code();
    while (!parser_->is_done()) {
      parser_->get().body().data = piece.data();
      parser_->get().body().size = piece.size();
      owner->stream_.expires_after(owner->server_->options.client_timeout);
      co_await http::async_read_some(
          owner->stream_, owner->buf_, *parser_,
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec && ec != http::error::need_buffer) {
        take(make_error(error_code::bad_request,
                        concat("request body: ", ec.message())));
        owner->close(connection_end::client_left);
        co_return;
      }
      auto n = piece.size() - parser_->get().body().size;
      if (n == 0) continue;
      piece.resize(n);
      take(std::move(piece));
      co_return;
    }
    take(std::string());
  }

  std::optional<std::chrono::seconds> idle_time() {
    keep_alive_ = keep_alive();
    if (!keep_alive_) return std::nullopt;
    return owner_->promise_idle_time();
  }

  void end() {
    done_ = true;
    closed_ = nullptr;
    owner_->ended_.cancel();
  }

  std::shared_ptr<http_session> owner_;
  http_request request_;
  bool keep_alive_ = false;
  bool streaming_ = false;
  bool done_ = false;
  std::function<void()> closed_;
  std::unique_ptr<piece_parser> parser_;
};

/// \return an owner of the exchange that answers the request if it is dropped
///     without an answer.
std::shared_ptr<http_exchange> handle_of(
    const std::shared_ptr<server_exchange>& it) {
  return {it.get(), [it](http_exchange*) { it->abandon(); }};
}

http_session::http_session(tcp::socket socket,
                           std::shared_ptr<http_server::impl> server)
    : stream_(std::move(socket)),
      server_(std::move(server)),
      ended_(stream_.get_executor()) {
  server_->sessions.insert(this);
}

void http_session::start() {
  asio::co_spawn(
      stream_.get_executor(),
      [self = shared_from_this()] { return self->run(); }, report_failure);
}

void http_session::start_refusal() {
  busy_ = true;
  refuse(error_code::overloaded, "too many connections");
  asio::co_spawn(
      stream_.get_executor(),
      [self = shared_from_this()] { return self->finish(); }, report_failure);
}

asio::awaitable<void> http_session::run() {
  auto ec = boost::system::error_code();
  stream_.socket().set_option(tcp::no_delay(true), ec);
  while (!closed_) {
    if (!co_await serve_one()) break;
  }
  co_await finish();
}

asio::awaitable<void> http_session::finish() {
  auto ec = boost::system::error_code();
  while (sending_ && !closed_) {
    ended_.expires_after(std::chrono::milliseconds(10));
    co_await ended_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  if (end_ == connection_end::refused && !closed_) co_await linger();
  close(end_);
}

asio::awaitable<void> http_session::linger() {
  auto ec = boost::system::error_code();
  stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
  stream_.expires_after(linger_timeout);
  auto input = std::string(piece_bytes, '\0');
  for (auto total = std::size_t{0}; !ec && total < max_linger_bytes;) {
    total += co_await stream_.async_read_some(
        asio::buffer(input), asio::redirect_error(asio::use_awaitable, ec));
  }
}

// Waits without reading: a request that was read by then would be lost if the
// connection were closed as idle.
asio::awaitable<bool> http_session::wait_for_request() {
  auto ec = boost::system::error_code();
  idle_since_ = event_loop::steady();
  idle_timeout_ = std::max(idle_timeout_, server_->options.idle_timeout);
  while (!has_input()) {
    co_await stream_.socket().async_wait(
        tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, ec));
    if (closed_) co_return false;
    if (!ec && !is_closed_by_client()) continue;
    if (!half_closed_at_) end_ = connection_end::client_left;
    co_return false;
  }
  crossed_ = half_closed_at_.has_value();
  co_return !crossed_;
}

void http_session::bound_input() {
  // The parser holds back a head, or the size, extension or trailers of chunks,
  // and bounds only the head. Bytes that arrived earlier stay.
  auto limit = server_->options.max_header_bytes + piece_bytes;
  buf_.max_size(std::max(limit, buf_.size() + piece_bytes));
}

asio::awaitable<bool> http_session::serve_one() {
  auto ec = boost::system::error_code();
  auto token = asio::redirect_error(asio::use_awaitable, ec);
  auto has_request = co_await wait_for_request();
  if (!has_request) co_return false;
  busy_ = true;
  bound_input();
  auto head = head_parser();
  head.header_limit(server_->options.max_header_bytes);
  head.body_limit(boost::none);
  // A body that was read in pieces has left its own deadline.
  stream_.expires_never();
  read_deadline_ = event_loop::steady() + server_->options.header_timeout;
  co_await http::async_read_header(stream_, buf_, head, token);
  if (ec) {
    read_deadline_.reset();
    if (ec == http::error::header_limit) {
      refuse(error_code::too_large, "the request head is too large");
    } else if (is_bad_input(ec)) {
      refuse(error_code::bad_request, ec.message());
    } else if (end_ != connection_end::refused) {
      end_ = connection_end::client_left;
    }
    co_return false;
  }
  // The head may have been read in the turn in which it was refused as late.
  if (end_ == connection_end::refused) co_return false;
  auto request = read_head(head.get());
  auto keep_alive = head.get().keep_alive();
  auto streamed = server_->streams && server_->streams(request);
  auto parser = std::unique_ptr<piece_parser>();
  if (find_header(request.headers, "expect") == "100-continue") {
    enqueue("HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (streamed) {
    parser = std::make_unique<piece_parser>(std::move(head));
    parser->body_limit(boost::none);
  } else {
    if (head.content_length().value_or(0) > server_->options.max_body_bytes) {
      refuse(error_code::too_large, "the request body is too large");
      co_return false;
    }
    auto text = text_parser(std::move(head));
    text.body_limit(server_->options.max_body_bytes);
    read_deadline_ = event_loop::steady() + server_->options.client_timeout;
    co_await http::async_read(stream_, buf_, text, token);
    read_deadline_.reset();
    auto refused = end_ == connection_end::refused;
    if (ec == http::error::body_limit) {
      refuse(error_code::too_large, "the request body is too large");
    } else if (ec && ec != http::error::end_of_stream && !refused) {
      refuse(error_code::bad_request, ec.message());
    }
    if (ec || refused) co_return false;
    request.body = std::move(text.get().body());
  }
  read_deadline_.reset();
  current_ = std::make_shared<server_exchange>(shared_from_this(),
                                               std::move(request), keep_alive);
  current_->set_parser(std::move(parser));
  request_read_ = event_loop::steady();
  if (!streamed) watch_for_close();
  server_->take(handle_of(current_));
  while (!current_->done() && !closed_) {
    ended_.expires_at(asio::steady_timer::time_point::max());
    co_await ended_.async_wait(token);
  }
  keep_alive = current_->keep_alive();
  current_.reset();
  busy_ = false;
  co_return keep_alive && !closed_;
}

void http_session::watch_for_close() {
  auto watched = std::weak_ptr(current_);
  stream_.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(), watched](boost::system::error_code ec) {
        auto it = watched.lock();
        if (ec || !it || it->done()) return;
        if (self->is_closed_by_client())
          return self->close(connection_end::client_left);
        if (!self->has_input()) self->watch_for_close();
      });
}

bool http_session::has_input() {
  auto ec = boost::system::error_code();
  return buf_.size() > 0 || stream_.socket().available(ec) > 0;
}

bool http_session::is_closed_by_client() {
  auto ec = boost::system::error_code();
  auto& socket = stream_.socket();
  socket.non_blocking(true, ec);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  return ec && ec != asio::error::would_block;
}

void http_session::enqueue(std::string bytes) {
  if (closed_) return;
  unsent_ += bytes.size();
  server_->unsent += bytes.size();
  outbox_.push_back(std::move(bytes));
  if (unsent_ > max_unsent_bytes) {
    close(connection_end::client_stuck);
    return;
  }
  if (server_->unsent > server_->options.max_all_unsent_bytes)
    close_most_unsent(*server_);
  if (closed_ || sending_) return;
  sending_ = true;
  asio::co_spawn(
      stream_.get_executor(),
      [self = shared_from_this()] { return self->send_all(); }, report_failure);
}

void http_session::note_taken(std::size_t bytes) {
  auto n = std::min(unsent_, bytes);
  unsent_ -= n;
  server_->unsent -= n;
}

asio::awaitable<void> http_session::send_all() {
  auto ec = boost::system::error_code();
  while (!outbox_.empty() && !closed_) {
    auto bytes = std::string();
    for (const auto& it : outbox_)
      bytes += it;
    outbox_.clear();
    write_began_ = event_loop::steady();
    co_await asio::async_write(stream_.socket(), asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    note_taken(bytes.size());
    if (ec) close(connection_end::client_left);
  }
  sending_ = false;
}

void http_session::refuse(error_code code, std::string_view message) {
  refuse(http_status(code), code, message);
}

void http_session::refuse(int status, error_code code,
                          std::string_view message) {
  auto body = concat(R"({"error":{"type":"invalid_request","code":")",
                     name_in(error_code_names, code), R"(","message":")",
                     message, R"(","outcome":"not_run"}})");
  auto answer = http_response{.status = status,
                              .headers = {{"Content-Type", "application/json"}},
                              .body = std::move(body)};
  enqueue(head_text(answer, false, std::nullopt) + answer.body);
  end_ = connection_end::refused;
}

void http_session::close(connection_end why) {
  if (closed_) return;
  auto waits = current_ && !current_->done();
  ensure(!waits || may_leave_unanswered(why), invariant::whole_answer,
         "a connection ends before the request that was read is answered");
  closed_ = true;
  report_end(why);
  outbox_.clear();
  drop_unsent();
  auto ec = boost::system::error_code();
  stream_.socket().close(ec);
  ended_.cancel();
  if (auto it = current_) it->notify_closed();
}

void http_session::report_end(connection_end why) {
  if (!server_->on_end) return;
  auto is_cut = current_ &&
                (!current_->done() || why == connection_end::answer_broken_off);
  auto since = current_ ? request_read_ : idle_since_;
  server_->on_end({.why = why,
                   .unanswered = is_cut ? &current_->request() : nullptr,
                   .elapsed = event_loop::steady() - since,
                   .crossed = crossed_});
}

std::chrono::seconds http_session::promise_idle_time() {
  auto out =
      std::chrono::floor<std::chrono::seconds>(server_->options.idle_timeout);
  out = std::max(out, std::chrono::seconds(1));
  idle_timeout_ = out;
  return out;
}

bool http_session::is_idle() {
  return !busy_ && !sending_ && !has_input();
}

void http_session::close_if_stopping() {
  if (is_idle()) close(connection_end::stopping);
}

void http_session::half_close(instant now) {
  auto ec = boost::system::error_code();
  stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
  half_closed_at_ = now;
  end_ = connection_end::idle;
}

// Bytes that have arrived and are not read yet were in time: this process may
// have stood still.
void http_session::end_late_read(instant now) {
  auto ec = boost::system::error_code();
  if (!read_deadline_ || now <= *read_deadline_ ||
      stream_.socket().available(ec) > 0)
    return;
  read_deadline_.reset();
  // Ends the read.
  stream_.cancel();
  refuse(status_request_timeout, error_code::deadline_exceeded,
         "the request did not arrive in time");
}

void http_session::close_if_expired(instant now) {
  const auto& options = server_->options;
  end_late_read(now);
  if (sending_ && now - write_began_ > options.client_timeout)
    return close(connection_end::client_stuck);
  // A shorter timeout holds for clients that have been told of it.
  auto timeout = std::max(idle_timeout_, options.idle_timeout) + idle_margin;
  if (!is_idle()) return;
  if (half_closed_at_) {
    if (now - *half_closed_at_ > linger_timeout) close(connection_end::idle);
  } else if (idle_since_.count() > 0 && now - idle_since_ > timeout) {
    half_close(now);
  }
}

namespace {

/// How often idle connections, and writes that make no progress, are looked
/// for.
constexpr auto check_period = std::chrono::milliseconds(500);

void close_expired(const std::shared_ptr<http_server::impl>& server) {
  auto now = event_loop::steady();
  auto all = std::vector(server->sessions.begin(), server->sessions.end());
  for (auto* it : all)
    it->close_if_expired(now);
}

asio::awaitable<void> accept_all(std::shared_ptr<http_server::impl> server) {
  auto ec = boost::system::error_code();
  auto pause = asio::steady_timer(server->acceptor.get_executor());
  while (server->acceptor.is_open()) {
    auto most = server->options.max_connections;
    auto socket = tcp::socket(server->acceptor.get_executor());
    if (server->sessions.size() < most + most / connections_per_refusal + 1) {
      socket = co_await server->acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec == asio::error::operation_aborted) co_return;
      LOG_IF_EVERY_N(ERROR, ec.failed(), 50)
          << "cannot accept a connection: " << ec.message();
    }
    if (!socket.is_open()) {
      pause.expires_after(accept_pause);
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
      continue;
    }
    auto is_over_limit = server->sessions.size() >= most;
    auto it = std::make_shared<http_session>(std::move(socket), server);
    if (is_over_limit) {
      it->start_refusal();
    } else {
      it->start();
    }
  }
}

}  // namespace

http_server::http_server(event_loop& loop, http_server_options options,
                         handler take, streams_body streams)
    : impl_(std::make_shared<impl>(loop, std::move(options), std::move(take),
                                   std::move(streams))) {}

http_server::~http_server() {
  impl_->stopped = true;
  impl_->on_end = nullptr;
  stop_accepting();
}

absl::Status http_server::start() {
  const auto& options = impl_->options;
  auto status = listen_on(impl_->acceptor, options.host, options.port);
  if (!status.ok()) return status;
  asio::co_spawn(
      impl_->loop.native().io, [server = impl_] { return accept_all(server); },
      report_failure);
  if (!impl_->checking) {
    impl_->checking = true;
    impl_->loop.every(check_period, [server = std::weak_ptr(impl_)] {
      if (auto it = server.lock()) close_expired(it);
    });
  }
  return absl::OkStatus();
}

void http_server::on_connection_end(
    std::function<void(const ended_connection&)> work) {
  impl_->on_end = std::move(work);
}

void http_server::set_limits(const http_server_options& options) {
  auto host = impl_->options.host;
  auto port = impl_->options.port;
  impl_->options = options;
  impl_->options.host = host;
  impl_->options.port = port;
}

void http_server::close_idle() {
  auto all = std::vector(impl_->sessions.begin(), impl_->sessions.end());
  for (auto* it : all)
    it->close_if_stopping();
}

std::size_t http_server::unsent_bytes() const {
  return impl_->unsent;
}

std::size_t http_server::open_exchanges() const {
  return static_cast<std::size_t>(
      std::count_if(impl_->sessions.begin(), impl_->sessions.end(),
                    [](const auto* it) { return it->has_exchange(); }));
}

std::uint16_t http_server::port() const {
  auto ec = boost::system::error_code();
  return impl_->acceptor.local_endpoint(ec).port();
}

void http_server::stop_accepting() {
  auto ec = boost::system::error_code();
  impl_->acceptor.close(ec);
}

std::string_view find_header(const std::vector<http_header>& headers,
                             std::string_view name) {
  for (const auto& it : headers) {
    if (beast::iequals(it.name, {name.data(), name.size()})) return it.value;
  }
  return {};
}

}  // namespace fulmar
