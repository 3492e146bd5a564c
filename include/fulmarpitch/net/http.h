#pragma once

/// \file
/// HTTP/1.1 server and client over Beast, without its headers.

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/net/event-loop.h"

namespace fulmar {

struct http_header {
  std::string name;
  std::string value;
};

struct http_request {
  std::string method = "GET";
  /// Path and query.
  std::string target = "/";
  std::vector<http_header> headers;
  std::string body;
};

struct http_response {
  int status = 200;
  std::vector<http_header> headers;
  std::string body;
};

/// Finds a header; names compare without case.
/// \param headers the headers to search.
/// \param name the header's name.
/// \return its value, or an empty text.
std::string_view find_header(const std::vector<http_header>& headers,
                             std::string_view name);

/// One request that a server received, and the answer to it. Every call is
/// safe after the client has gone; it then does nothing. Must not outlive the
/// event loop.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  virtual const http_request& request() const = 0;

  /// \return the IP address that the connection comes from; empty after it
  ///     ended.
  virtual std::string remote_address() const = 0;

  /// Answers at once. Ends the exchange.
  virtual void respond(http_response response) = 0;

  /// Sends the head of an answer whose body follows in pieces.
  virtual void start_stream(http_response head) = 0;
  virtual void write(std::string piece) = 0;
  /// Ends the streamed body and the exchange.
  virtual void finish() = 0;
  /// Closes the connection, so that the answer does not look complete.
  virtual void abort() = 0;
  /// Closes the connection after this exchange.
  virtual void close_after() = 0;
  /// Bytes handed to `write` that the client has not taken yet.
  virtual std::size_t unsent_bytes() const = 0;

  /// Runs a function once if the client goes before the exchange ends.
  virtual void on_closed(std::function<void()> work) = 0;

  /// Asks for the next piece of a streamed request body. An empty piece is the
  /// end; an error means that the client went or sent a bad body.
  virtual void read_body(
      std::function<void(absl::StatusOr<std::string>)> take) = 0;
};

struct http_server_options {
  std::string host = "127.0.0.1";
  /// 0 lets the system choose.
  std::uint16_t port = 0;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  std::uint32_t max_header_bytes = 16 * 1024;
  std::size_t max_connections = 4096;
  /// A client slower than this to send a body or take a piece is cut off.
  instant client_timeout = std::chrono::seconds(30);
  /// A client slower than this to send a head is cut off.
  instant header_timeout = std::chrono::seconds(30);
  /// A connection without a request for this long is closed.
  instant idle_timeout = std::chrono::seconds(30);
  /// Bytes that all clients together have not taken; beyond it the client that
  /// has most is cut off.
  std::size_t max_all_unsent_bytes = std::numeric_limits<std::size_t>::max();
};

/// Why a connection of a client ends.
enum class connection_end {
  /// The last answer was sent, and one side had asked for the end.
  answered,
  /// A request was refused before it was read whole.
  refused,
  /// The client sent no request for the idle timeout.
  idle,
  /// The server stops, and no request had begun.
  stopping,
  /// The client closed the connection.
  client_left,
  /// The client does not take its answer.
  client_stuck,
  /// The answer cannot be completed, and must not look complete.
  answer_broken_off,
};

inline constexpr std::array<named<connection_end>, 7> connection_end_names{{
    {connection_end::answered, "answered"},
    {connection_end::refused, "refused"},
    {connection_end::idle, "idle"},
    {connection_end::stopping, "stopping"},
    {connection_end::client_left, "client_left"},
    {connection_end::client_stuck, "client_stuck"},
    {connection_end::answer_broken_off, "answer_broken_off"},
}};

/// The end of a client's connection.
struct ended_connection {
  connection_end why = connection_end::answered;
  /// The request that gets no complete answer; null if there is none.
  const http_request* unanswered = nullptr;
  /// Time since that request was read, or without one since the last answer.
  instant elapsed{};
  /// Closed as idle: a request arrived behind the close and was not read.
  bool crossed = false;
};

/// Listens and hands requests to a function.
class http_server {
 public:
  struct impl;
  using handler = std::function<void(std::shared_ptr<http_exchange>)>;
  /// Tells whether a request's body is read in pieces with `read_body`.
  using streams_body = std::function<bool(const http_request& head)>;

  /// \param loop the loop to run on.
  /// \param options address and limits.
  /// \param take receives every request.
  /// \param streams picks requests with streamed bodies; none when empty.
  http_server(event_loop& loop, http_server_options options, handler take,
              streams_body streams = {});
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Sets a function that learns of every connection that ends.
  void on_connection_end(std::function<void(const ended_connection&)> work);

  /// Binds and starts to accept.
  /// \return an error when the address can't be bound.
  absl::Status start();
  std::uint16_t port() const;

  /// Changes the limits on clients; requests under way keep theirs.
  /// \param options address and port are not taken.
  void set_limits(const http_server_options& options);

  /// Stops accepting; open exchanges go on.
  void stop_accepting();

  /// Closes the connections on which no request has begun, as the server stops.
  void close_idle();

  /// \return exchanges that have not ended, or whose answer the system has not
  ///     taken whole.
  std::size_t open_exchanges() const;

  /// \return the bytes that clients have not taken yet.
  std::size_t unsent_bytes() const;

 private:
  std::shared_ptr<impl> impl_;
};

struct http_call_options {
  /// Host and port.
  std::string address;
  http_request request;
  instant connect_timeout = std::chrono::seconds(1);
  /// Longest silence, from the request on.
  instant idle_timeout = std::chrono::seconds(30);
};

/// Receives an answer as it arrives. `on_end` runs exactly once, last.
struct http_call_handlers {
  std::function<void(const http_response& head)> on_head;
  std::function<void(std::string_view piece)> on_data;
  /// The outcome in the status is `not_run` only when no byte was sent.
  std::function<void(absl::Status)> on_end;
};

/// A call that can be cancelled. Must not outlive the event loop.
class http_call {
 public:
  virtual ~http_call() = default;
  /// Closes the connection. `on_end` runs with `cancelled` unless it ran.
  virtual void cancel() = 0;
};

/// Starts a call on a connection of its own.
/// \param loop the loop to run on.
/// \param options where and what.
/// \param handlers receive the answer.
/// \return the running call.
std::shared_ptr<http_call> start_call(event_loop& loop,
                                      http_call_options options,
                                      http_call_handlers handlers);

/// Makes a call and gathers the whole answer.
/// \param loop the loop to run on.
/// \param options where and what.
/// \param take receives the answer or the failure.
void fetch(event_loop& loop, http_call_options options,
           std::function<void(absl::StatusOr<http_response>)> take);

}  // namespace fulmar
