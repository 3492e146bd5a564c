#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "answer-reader.h"
#include "endpoint.h"
#include "event-loop-impl.h"
#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/http.h"

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace fulmar {
namespace {

constexpr std::size_t read_bytes = 16'384;

constexpr std::uint32_t max_head_bytes = 64 * 1024;

/// Bytes that the parser may hold back; it bounds the head, and neither the
/// size nor the extension or trailers of chunks.
constexpr std::size_t max_input_bytes = std::size_t{128} * 1024;

http::request<http::string_body> to_beast(const http_call_options& options) {
  const auto& from = options.request;
  auto out = http::request<http::string_body>();
  out.version(11);
  out.method_string(from.method);
  out.target(from.target);
  out.set(http::field::host, options.address);
  out.set(http::field::connection, "close");
  for (const auto& it : from.headers)
    out.set(it.name, it.value);
  out.body() = from.body;
  out.prepare_payload();
  return out;
}

class beast_call : public http_call,
                   public std::enable_shared_from_this<beast_call> {
 public:
  beast_call(event_loop& loop, http_call_options options,
             http_call_handlers handlers)
      : stream_(loop.native().io),
        options_(std::move(options)),
        handlers_(std::move(handlers)) {}

  void start() {
    asio::co_spawn(
        stream_.get_executor(),
        [self = shared_from_this()] { return self->run(); }, asio::detached);
  }

  void cancel() override {
    if (ended_) return;
    cancelled_ = true;
    auto ec = boost::system::error_code();
    stream_.socket().close(ec);
    stream_.cancel();
  }

 private:
  void end(absl::Status status) {
    if (ended_) return;
    ended_ = true;
    auto take = std::move(handlers_.on_end);
    handlers_ = {};
    if (take) take(std::move(status));
  }

  void fail(std::string_view step, const boost::system::error_code& ec) {
    auto what = sent_ ? outcome::unknown : outcome::not_run;
    auto code = cancelled_ ? error_code::cancelled : error_code::attempt_failed;
    end(make_error(
        code, concat(step, " ", options_.address, ": ", ec.message()), what));
  }

  asio::awaitable<void> run() {
    auto to = parse_endpoint(options_.address);
    if (!to) {
      end(make_error(error_code::bad_request,
                     concat("bad address ", options_.address)));
      co_return;
    }
    auto ec = boost::system::error_code();
    auto token = asio::redirect_error(asio::use_awaitable, ec);
    stream_.expires_after(options_.connect_timeout);
    co_await stream_.async_connect(*to, token);
    if (ec || cancelled_) {
      fail("connect to", ec);
      co_return;
    }
    stream_.socket().set_option(tcp::no_delay(true), ec);
    auto request = to_beast(options_);
    sent_ = true;
    stream_.expires_after(options_.idle_timeout);
    co_await http::async_write(stream_, request, token);
    if (ec) {
      fail("send to", ec);
      co_return;
    }
    co_await read_answer();
  }

  asio::awaitable<void> read_answer() {
    auto ec = boost::system::error_code();
    auto token = asio::redirect_error(asio::use_awaitable, ec);
    auto buf = beast::flat_buffer(max_input_bytes);
    auto reader = std::optional<answer_parser>();
    stream_.expires_after(options_.idle_timeout);
    ec = co_await read_final_head(stream_, buf, reader, max_head_bytes);
    if (ec) {
      fail("read from", ec);
      co_return;
    }
    auto& parser = *reader;
    give_head(parser.get());
    auto piece = std::string(read_bytes, '\0');
    while (!parser.is_done() && !ended_) {
      parser.get().body().data = piece.data();
      parser.get().body().size = piece.size();
      stream_.expires_after(options_.idle_timeout);
      co_await http::async_read_some(stream_, buf, parser, token);
      if (ec && ec != http::error::need_buffer) {
        fail("read from", ec);
        co_return;
      }
      auto n = piece.size() - parser.get().body().size;
      if (n > 0 && handlers_.on_data) {
        handlers_.on_data({piece.data(), n});
      }
    }
    end(absl::OkStatus());
  }

  template <typename Message>
  void give_head(const Message& from) {
    if (!handlers_.on_head) return;
    auto head = http_response{.status = static_cast<int>(from.result_int())};
    for (const auto& it : from) {
      head.headers.push_back(
          {std::string(it.name_string()), std::string(it.value())});
    }
    handlers_.on_head(head);
  }

  beast::tcp_stream stream_;
  http_call_options options_;
  http_call_handlers handlers_;
  bool sent_ = false;
  bool ended_ = false;
  bool cancelled_ = false;
};

}  // namespace

std::shared_ptr<http_call> start_call(event_loop& loop,
                                      http_call_options options,
                                      http_call_handlers handlers) {
  auto call = std::make_shared<beast_call>(loop, std::move(options),
                                           std::move(handlers));
  call->start();
  return call;
}

void fetch(event_loop& loop, http_call_options options,
           std::function<void(absl::StatusOr<http_response>)> take) {
  auto answer = std::make_shared<http_response>();
  auto handlers = http_call_handlers{
      .on_head = [answer](const http_response& head) { *answer = head; },
      .on_data = [answer](std::string_view piece) { answer->body += piece; },
      .on_end =
          [answer, take = std::move(take)](const absl::Status& status) {
            if (!status.ok()) {
              take(status);
              return;
            }
            take(std::move(*answer));
          }};
  start_call(loop, std::move(options), std::move(handlers));
}

}  // namespace fulmar
