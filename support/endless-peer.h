#pragma once

/// \file
/// A peer that sends without end, and a client that reads from it.

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "fulmarpitch/net/coroutine.h"
#include "fulmarpitch/net/http-link.h"

namespace fulmar {

/// The sender stops after this many bytes, so that a failing test ends.
inline constexpr auto max_sent_bytes = std::size_t{64} * 1024 * 1024;

/// Sends `first`, then `again` repeatedly until the other side closes.
/// \return the number of repeated bytes sent.
inline task<std::size_t> send_endlessly(tcp::socket& socket, std::string first,
                                        std::string again) {
  auto sent = std::size_t{0};
  co_await asio::async_write(socket, asio::buffer(first), as_result);
  while (sent < max_sent_bytes) {
    auto [ec2, n] =
        co_await asio::async_write(socket, asio::buffer(again), as_result);
    sent += n;
    if (ec2) break;
  }
  co_return sent;
}

/// Accepts one connection and answers its request with an endless response.
inline task<std::size_t> send_endless_response(tcp::acceptor& acceptor,
                                               std::string first,
                                               std::string again) {
  auto [ec, socket] = co_await acceptor.async_accept(as_result);
  auto input = std::string();
  co_await asio::async_read_until(socket, asio::dynamic_buffer(input),
                                  "\r\n\r\n", as_result);
  auto sent = co_await send_endlessly(socket, first, again);
  co_return sent;
}

/// Connects to a local port and sends an endless request.
inline task<std::size_t> send_endless_request(asio::io_context& io,
                                              std::uint16_t port,
                                              std::string first,
                                              std::string again) {
  auto socket = tcp::socket(io);
  auto to = tcp::endpoint(asio::ip::make_address("127.0.0.1"), port);
  co_await socket.async_connect(to, as_result);
  auto sent = co_await send_endlessly(socket, first, again);
  co_return sent;
}

/// Sends a request and reads the whole response, up to 1 MiB.
inline task<absl::Status> fetch_whole(http_link& link) {
  constexpr auto limit = std::size_t{1024} * 1024;
  auto connected = co_await link.connect();
  if (!connected.ok()) co_return connected;
  auto sent = co_await link.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n", "");
  if (!sent.ok()) co_return sent;
  auto head = co_await link.read_head();
  if (!head.ok()) co_return head.status();
  auto body = co_await link.read_rest(limit);
  co_return body.status();
}

}  // namespace fulmar
