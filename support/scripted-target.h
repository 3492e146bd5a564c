#pragma once

/// \file
/// A target whose responses a test gives byte for byte.

#include <absl/strings/numbers.h>

#include <array>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/coroutine.h"
#include "fulmarpitch/net/http.h"

namespace fulmar {

/// What a scripted target does with one request.
struct scripted_answer {
  /// Sent verbatim.
  std::string bytes;
  /// Sent repeatedly after `bytes` until the other side closes.
  std::string endless{};
  /// Pause before each repetition.
  instant endless_interval{};
  /// Closes the connection after the response.
  bool close = false;
  /// Resets the connection after the response, once the other side has had
  /// time to read it.
  bool reset = false;
  /// Neither responds nor closes the connection.
  bool silent = false;
  /// Time to wait before responding.
  instant delay{};
  /// Sent verbatim after a pause.
  instant pause{};
  std::string rest{};
};

/// When a scripted target responds, relative to reading the request body.
enum class answer_time { after_body, before_body };

/// Listens on loopback and gets each response from a function.
class scripted_target {
 public:
  using script = std::function<scripted_answer(const std::string& head)>;

  scripted_target(event_loop& loop, script respond,
                  answer_time when = answer_time::after_body)
      : answer(std::move(respond)),
        acceptor_(io_of(loop), {asio::ip::make_address("127.0.0.1"), 0}),
        when_(when) {
    asio::co_spawn(io_of(loop), accept(), asio::detached);
  }

  std::string address() const {
    return concat("127.0.0.1:", acceptor_.local_endpoint().port());
  }

  /// Gives the response to each request.
  script answer;
  /// Heads of the requests received.
  std::vector<std::string> heads;
  std::vector<std::string> bodies;
  /// Number of open connections.
  int open = 0;
  /// The connection whose request the script answers, counted from 1.
  int connection = 0;
  /// Bytes sent from `scripted_answer::endless`.
  std::size_t endless_bytes = 0;

 private:
  task<void> accept() {
    for (;;) {
      auto [ec, socket] = co_await acceptor_.async_accept(as_result);
      if (ec) co_return;
      asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)),
                     asio::detached);
    }
  }

  task<void> serve(tcp::socket socket) {
    ++open;
    co_await serve_all(std::move(socket));
    --open;
  }

  task<void> serve_all(tcp::socket socket) {
    auto input = std::string();
    auto number = ++accepted_;
    for (;;) {
      auto [ec, n] = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(input), "\r\n\r\n", as_result);
      if (ec) co_return;
      auto head = input.substr(0, n);
      auto body = std::size_t{0};
      constexpr auto name = std::string_view("Content-Length: ");
      if (auto at = head.find(name); at != std::string::npos) {
        auto end = head.find("\r\n", at);
        auto digits = head.substr(at + name.size(), end - at - name.size());
        (void)absl::SimpleAtoi(digits, &body);
      }
      auto early = when_ == answer_time::before_body;
      auto it = scripted_answer();
      if (early) {
        connection = number;
        it = answer(head);
        co_await asio::async_write(socket, asio::buffer(it.bytes), as_result);
      }
      while (input.size() < n + body) {
        auto more = std::array<char, 4096>();
        auto [ec2, m] =
            co_await socket.async_read_some(asio::buffer(more), as_result);
        if (ec2) co_return;
        input.append(more.data(), m);
      }
      bodies.push_back(input.substr(n, body));
      input.erase(0, n + body);
      heads.push_back(head);
      if (early) continue;
      connection = number;
      it = answer(head);
      if (it.silent) {
        silent_.push_back(std::make_unique<tcp::socket>(std::move(socket)));
        co_return;
      }
      if (it.delay.count() > 0) co_await pause_for(it.delay);
      co_await asio::async_write(socket, asio::buffer(it.bytes), as_result);
      if (it.pause.count() > 0) co_await pause_for(it.pause);
      if (!it.rest.empty())
        co_await asio::async_write(socket, asio::buffer(it.rest), as_result);
      if (!it.endless.empty()) co_await send_endlessly(socket, it);
      if (it.reset) {
        co_await pause_for(std::chrono::milliseconds(50));
        auto ignored = boost::system::error_code();
        socket.set_option(tcp::socket::linger(true, 0), ignored);
        // Destroying the socket would clear the option.
        socket.close(ignored);
        co_return;
      }
      if (it.close) co_return;
    }
  }

  task<void> send_endlessly(tcp::socket& socket, const scripted_answer& it) {
    for (;;) {
      if (it.endless_interval.count() > 0)
        co_await pause_for(it.endless_interval);
      auto [ec, n] = co_await asio::async_write(
          socket, asio::buffer(it.endless), as_result);
      endless_bytes += n;
      if (ec) co_return;
    }
  }

  tcp::acceptor acceptor_;
  answer_time when_;
  int accepted_ = 0;
  std::vector<std::unique_ptr<tcp::socket>> silent_;
};

}  // namespace fulmar
