#pragma once

/// \file
/// Blocking HTTP/1.1 for the stand-ins: a server with a thread a connection,
/// and a client. Independent of the project's own code.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

/// \return seconds since the program started, on the steady clock.
double seconds();

void pause_for(double duration_s);

using header_list = std::vector<std::pair<std::string, std::string>>;

struct request {
  std::string method;
  std::string target;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  std::string header(const std::string& name) const;
  std::string path() const;
  std::string query(std::string_view name) const;
};

/// One open connection.
class connection {
 public:
  explicit connection(int descriptor) : fd_(descriptor) {}
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  bool send(std::string_view bytes);
  bool respond(int status, const header_list& headers, const std::string& body);
  /// \return whether the peer has closed or reset the connection.
  bool is_closed() const;
  /// Closes with a reset.
  void reset();
  /// Reads one request; false at the end of the connection.
  bool read(request& out);
  int descriptor() const { return fd_; }

 private:
  int fd_;
  std::string input_;
};

/// Returns false to end the connection.
using handler = std::function<bool(const request&, connection&)>;

/// Serves until the process ends.
/// \param port 0 for a free port.
/// \return the address, as IP:PORT; empty if it can't be bound.
std::string serve(const std::string& ip, std::uint16_t port, handler take);

/// \return whether a port of an IP address is free for TCP and UDP.
bool is_free(const std::string& ip, std::uint16_t port);

struct answer {
  bool connected = false;
  /// The whole answer arrived.
  bool complete = false;
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Sends one request on a new connection and reads the answer.
answer call(const std::string& address, const std::string& method,
            const std::string& target, const header_list& headers,
            const std::string& body, double timeout_s);

std::string encode_base64(std::string_view bytes);
std::string decode_base64(std::string_view text);
std::string decode_percent(std::string_view text);

}  // namespace review
