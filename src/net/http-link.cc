#include "fulmarpitch/net/http-link.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>
#include <utility>

#include "answer-reader.h"
#include "endpoint.h"
#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/event-loop.h"

namespace fulmar {
namespace {

namespace http = boost::beast::http;

/// Unacknowledged bytes reset a connection after this: longer than any round
/// trip between regions with a few retransmissions.
constexpr unsigned user_timeout_ms = 2000;

answer_head head_of(const http::response_parser<http::buffer_body>& from) {
  const auto& in = from.get();
  auto out = answer_head{.status = static_cast<int>(in.result_int())};
  for (const auto& it : in) {
    out.headers.push_back({.name = std::string(it.name_string()),
                           .value = std::string(it.value())});
  }
  if (auto length = from.content_length(); length && !from.chunked())
    out.length = *length;
  out.ends_with_connection = from.need_eof();
  return out;
}

}  // namespace

/// An answer that is being read, counted in its table.
class kept_answer {
 public:
  explicit kept_answer(std::shared_ptr<link_table> table)
      : table_(std::move(table)) {}
  ~kept_answer() { table_->kept_bytes_ -= text.size(); }
  kept_answer(const kept_answer&) = delete;
  kept_answer& operator=(const kept_answer&) = delete;

  /// \return whether the answer may be kept with what was added.
  bool append(std::string_view piece) {
    text += piece;
    table_->kept_bytes_ += piece.size();
    return text.size() <= min_kept_answer_bytes ||
           table_->kept_bytes_ <= table_->max_kept_bytes_;
  }

  std::string release() {
    table_->kept_bytes_ -= text.size();
    return std::exchange(text, {});
  }

  std::string text;

 private:
  std::shared_ptr<link_table> table_;
};

void link_table::note_silence(const std::string& address, instant sent) {
  ++silences_;
  auto& newest = unanswered_[address];
  newest = std::max(newest, sent);
}

bool link_table::may_be_silent(const std::string& address,
                               instant heard) const {
  auto it = unanswered_.find(address);
  return it != unanswered_.end() && heard <= it->second;
}

void link_table::forget_silences(instant before) {
  absl::erase_if(unanswered_,
                 [&](const auto& it) { return it.second < before; });
}

void link_table::close_expired(instant now) {
  for (auto* it : links_) {
    if (!it->deadline_ || now < *it->deadline_ || !it->is_open()) continue;
    it->expired_ = true;
    it->close();
  }
}

http_link::http_link(asio::io_context& io, std::shared_ptr<link_table> table,
                     std::string address, std::string source)
    : socket_(io),
      table_(std::move(table)),
      address_(std::move(address)),
      source_(std::move(source)) {
  table_->links_.insert(this);
}

http_link::~http_link() {
  table_->links_.erase(this);
}

absl::Status http_link::failure(std::string_view what,
                                const boost::system::error_code& ec) {
  auto code =
      expired_ ? error_code::deadline_exceeded : error_code::attempt_failed;
  auto why = expired_ ? std::string("its time is up") : ec.message();
  auto timed_out = expired_ || ec == asio::error::timed_out;
  if (sending_ && !heard_ && timed_out)
    table_->note_silence(address_, sent_at_);
  close();
  return make_error(code, concat(what, " ", address_, ": ", why),
                    sending_ ? outcome::unknown : outcome::not_run);
}

boost::system::error_code http_link::bind_source() {
  auto ec = boost::system::error_code();
  if (source_.empty()) return ec;
  auto ip = asio::ip::make_address(source_, ec);
  auto at = tcp::endpoint(ip, 0);
  if (!ec) socket_.open(at.protocol(), ec);
  // The port is chosen with the other side's address, so that it may be in use
  // for another one.
  int enabled = 1;
  if (!ec)
    ::setsockopt(socket_.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT,
                 &enabled, sizeof enabled);
  if (!ec) socket_.bind(at, ec);
  return ec;
}

task<absl::Status> http_link::connect() {
  auto endpoint = parse_endpoint(address_);
  if (!endpoint) {
    co_return make_error(error_code::bad_request,
                         concat("not an address: ", address_));
  }
  if (auto fault = bind_source()) co_return failure("binding for", fault);
  auto [ec] = co_await socket_.async_connect(*endpoint, as_result);
  if (ec) co_return failure("connecting to", ec);
  auto ignored = boost::system::error_code();
  socket_.set_option(tcp::no_delay(true), ignored);
  // Without it a connection through a partition hangs for minutes.
  unsigned timeout = user_timeout_ms;
  ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
               sizeof timeout);
  co_return absl::OkStatus();
}

task<absl::Status> http_link::send(std::string_view head,
                                   std::string_view body) {
  reset_parser(parser_, max_head_bytes);
  sending_ = true;
  heard_ = false;
  sent_at_ = event_loop::steady();
  ++exchanges_;
  auto parts = std::array{asio::buffer(head), asio::buffer(body)};
  auto [ec, n] = co_await asio::async_write(socket_, parts, as_result);
  if (ec) co_return failure("sending to", ec);
  co_return absl::OkStatus();
}

task<absl::StatusOr<answer_head>> http_link::read_head() {
  auto ec = co_await read_final_head(socket_, input_, parser_, max_head_bytes);
  if (parser_->got_some()) heard_ = true;
  if (ec) co_return failure("reading from", ec);
  auto head = head_of(*parser_);
  note_keep_alive(head);
  co_return head;
}

task<absl::StatusOr<std::string_view>> http_link::read_piece() {
  while (!parser_->is_done()) {
    auto& body = parser_->get().body();
    body.data = piece_.data();
    body.size = piece_.size();
    auto [ec, n] =
        co_await http::async_read_some(socket_, input_, *parser_, as_result);
    auto got = piece_.size() - body.size;
    auto end_of_body = ec == http::error::end_of_stream && parser_->is_done();
    if (ec && ec != http::error::need_buffer && !end_of_body)
      co_return failure("reading from", ec);
    if (got > 0) co_return std::string_view(piece_.data(), got);
  }
  co_return std::string_view();
}

task<absl::StatusOr<std::string>> http_link::read_rest(std::size_t limit) {
  auto out = kept_answer(table_);
  for (;;) {
    auto piece = co_await read_piece();
    if (!piece.ok()) co_return piece.status();
    if (piece->empty()) {
      auto text = out.release();
      co_return text;
    }
    auto fits = out.append(*piece) && out.text.size() <= limit;
    if (fits) continue;
    close();
    co_return make_error(error_code::too_large,
                         concat("the answer of ", address_, " is too long"));
  }
}

void http_link::close() {
  auto ignored = boost::system::error_code();
  auto unfinished = sending_ && !(parser_ && parser_->is_done());
  // A reset drops the part of a request that is still on its way.
  if (unfinished) socket_.set_option(tcp::socket::linger(true, 0), ignored);
  socket_.close(ignored);
}

bool http_link::reusable() const {
  return socket_.is_open() && parser_ && parser_->is_done() &&
         parser_->keep_alive() && refused_.size() < max_refusals;
}

void http_link::note_refusal(std::string_view request_id) {
  refused_.emplace_back(request_id);
}

bool http_link::has_refused(std::string_view request_id) const {
  return std::find(refused_.begin(), refused_.end(), request_id) !=
         refused_.end();
}

bool http_link::is_quiet() {
  if (!socket_.is_open() || input_.size() > 0) return false;
  auto ec = boost::system::error_code();
  socket_.non_blocking(true, ec);
  char byte = 0;
  socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  return ec == asio::error::would_block;
}

void http_link::note_keep_alive(const answer_head& head) {
  // The form is `timeout=N`, among other parameters.
  constexpr auto name = std::string_view("timeout=");
  auto value = find_header(head.headers, "Keep-Alive");
  auto at = value.find(name);
  if (at == std::string_view::npos) return;
  value.remove_prefix(at + name.size());
  auto end = value.find_first_not_of("0123456789");
  auto digits = std::string(value.substr(0, end));
  auto seconds = std::uint32_t{0};
  if (absl::SimpleAtoi(digits, &seconds))
    idle_limit_ = std::chrono::seconds(seconds);
}

}  // namespace fulmar
