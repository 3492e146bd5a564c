#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

constexpr std::size_t read_bytes = 65536;

const auto program_start = std::chrono::steady_clock::now();

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

sockaddr_in socket_address(const std::string& ip, std::uint16_t port) {
  auto out = sockaddr_in{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

int bind_socket(const std::string& ip, std::uint16_t port, int type) {
  auto fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto at = socket_address(ip, port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) return fd;
  ::close(fd);
  return -1;
}

/// Reads more bytes.
bool read_more(int fd, std::string& into) {
  auto piece = std::array<char, read_bytes>();
  auto n = ::recv(fd, piece.data(), piece.size(), 0);
  if (n <= 0) return false;
  into.append(piece.data(), static_cast<std::size_t>(n));
  return true;
}

void parse_headers(std::string_view text,
                   std::map<std::string, std::string>& out) {
  while (!text.empty()) {
    auto line = text.substr(0, text.find("\r\n"));
    text.remove_prefix(std::min(text.size(), line.size() + 2));
    auto mark = line.find(':');
    if (mark == std::string_view::npos) continue;
    auto value = line.substr(mark + 1);
    while (value.starts_with(' '))
      value.remove_prefix(1);
    out[lower(std::string(line.substr(0, mark)))] = std::string(value);
  }
}

/// Takes one line, without its end, off the input.
bool take_line(int fd, std::string& input, std::string& line) {
  auto end = std::string::npos;
  while ((end = input.find("\r\n")) == std::string::npos) {
    if (!read_more(fd, input)) return false;
  }
  line = input.substr(0, end);
  input.erase(0, end + 2);
  return true;
}

bool take_bytes(int fd, std::string& input, std::size_t n, std::string& out) {
  while (input.size() < n) {
    if (!read_more(fd, input)) return false;
  }
  out.append(input, 0, n);
  input.erase(0, n);
  return true;
}

bool take_chunks(int fd, std::string& input, std::string& out) {
  constexpr auto base = 16;
  for (;;) {
    auto line = std::string();
    if (!take_line(fd, input, line)) return false;
    auto n = std::strtoul(line.c_str(), nullptr, base);
    if (n > 0 && !take_bytes(fd, input, n, out)) return false;
    if (!take_line(fd, input, line)) return false;
    if (n == 0) return true;
  }
}

bool take_body(int fd, std::string& input,
               const std::map<std::string, std::string>& headers,
               bool until_closed, std::string& out) {
  if (auto it = headers.find("transfer-encoding"); it != headers.end())
    return take_chunks(fd, input, out);
  if (auto it = headers.find("content-length"); it != headers.end()) {
    auto n = std::strtoul(it->second.c_str(), nullptr, 10);
    return take_bytes(fd, input, n, out);
  }
  if (!until_closed) return true;
  while (read_more(fd, input)) {
  }
  out += input;
  input.clear();
  return true;
}

/// Takes the head, without the empty line, off the input.
bool take_head(int fd, std::string& input, std::string& head) {
  auto end = std::string::npos;
  while ((end = input.find("\r\n\r\n")) == std::string::npos) {
    if (!read_more(fd, input)) return false;
  }
  head = input.substr(0, end + 2);
  input.erase(0, end + 4);
  return true;
}

void serve_connection(int fd, const handler& take) {
  auto at = connection(fd);
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  for (auto in = request(); at.read(in); in = request()) {
    if (!take(in, at)) return;
  }
}

void accept_all(int listener, const handler& take) {
  for (;;) {
    auto fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      pause_for(0.01);
      continue;
    }
    std::thread([fd, &take] { serve_connection(fd, take); }).detach();
  }
}

}  // namespace

double seconds() {
  auto age = std::chrono::steady_clock::now() - program_start;
  return std::chrono::duration<double>(age).count();
}

void pause_for(double duration_s) {
  std::this_thread::sleep_for(std::chrono::duration<double>(duration_s));
}

std::string request::header(const std::string& name) const {
  auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

std::string request::path() const {
  return target.substr(0, target.find('?'));
}

std::string request::query(std::string_view name) const {
  auto mark = target.find('?');
  if (mark == std::string::npos) return {};
  auto text = std::string_view(target).substr(mark + 1);
  while (!text.empty()) {
    auto part = text.substr(0, text.find('&'));
    text.remove_prefix(std::min(text.size(), part.size() + 1));
    auto is = part.find('=');
    if (is == std::string_view::npos || part.substr(0, is) != name) continue;
    return decode_percent(part.substr(is + 1));
  }
  return {};
}

connection::~connection() {
  ::close(fd_);
}

bool connection::send(std::string_view bytes) {
  while (!bytes.empty()) {
    auto n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool connection::respond(int status, const header_list& headers,
                         const std::string& body) {
  auto out = "HTTP/1.1 " + std::to_string(status) + " S\r\n";
  for (const auto& [name, value] : headers)
    out += name + ": " + value + "\r\n";
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return send(out);
}

bool connection::is_closed() const {
  char byte = 0;
  auto n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::reset() {
  auto now = linger{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

bool connection::read(request& out) {
  auto head = std::string();
  if (!take_head(fd_, input_, head)) return false;
  auto line = head.substr(0, head.find("\r\n"));
  auto first = line.find(' ');
  auto second = line.find(' ', first + 1);
  if (second == std::string::npos) return false;
  out.method = line.substr(0, first);
  out.target = line.substr(first + 1, second - first - 1);
  parse_headers(std::string_view(head).substr(line.size() + 2), out.headers);
  return take_body(fd_, input_, out.headers, false, out.body);
}

std::string serve(const std::string& ip, std::uint16_t port, handler take) {
  constexpr auto backlog = 256;
  auto fd = bind_socket(ip, port, SOCK_STREAM);
  if (fd < 0 || ::listen(fd, backlog) != 0) return {};
  auto at = sockaddr_in{};
  auto size = socklen_t{sizeof at};
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  // Lives as long as the process.
  auto* kept = new handler(std::move(take));
  std::thread([fd, kept] { accept_all(fd, *kept); }).detach();
  return ip + ":" + std::to_string(ntohs(at.sin_port));
}

bool is_free(const std::string& ip, std::uint16_t port) {
  for (auto type : {SOCK_STREAM, SOCK_DGRAM}) {
    auto fd = bind_socket(ip, port, type);
    if (fd < 0) return false;
    ::close(fd);
  }
  return true;
}

answer call(const std::string& address, const std::string& method,
            const std::string& target, const header_list& headers,
            const std::string& body, double timeout_s) {
  auto out = answer();
  auto mark = address.rfind(':');
  auto port = std::strtoul(address.substr(mark + 1).c_str(), nullptr, 10);
  auto to =
      socket_address(address.substr(0, mark), static_cast<std::uint16_t>(port));
  auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto at = connection(fd);
  auto whole = static_cast<time_t>(timeout_s);
  auto rest =
      static_cast<suseconds_t>((timeout_s - static_cast<double>(whole)) * 1e6);
  auto limit = timeval{.tv_sec = whole, .tv_usec = rest};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
    return out;
  out.connected = true;
  auto text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (!at.send(text)) return out;
  auto input = std::string();
  auto head = std::string();
  if (!take_head(fd, input, head)) return out;
  constexpr std::size_t status_at = 9;
  out.status = std::atoi(head.substr(status_at, 3).c_str());
  parse_headers(std::string_view(head).substr(head.find("\r\n") + 2),
                out.headers);
  out.complete = take_body(fd, input, out.headers, true, out.body);
  return out;
}

namespace {
constexpr auto digits = std::string_view(
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/");
}

std::string encode_base64(std::string_view bytes) {
  auto out = std::string();
  for (auto i = std::size_t{0}; i < bytes.size(); i += 3) {
    auto n = std::min<std::size_t>(3, bytes.size() - i);
    auto bits = std::uint32_t{0};
    for (auto k = std::size_t{0}; k < 3; ++k) {
      auto byte = k < n ? static_cast<unsigned char>(bytes[i + k]) : 0U;
      bits = bits << 8U | byte;
    }
    for (auto k = std::size_t{0}; k < 4; ++k)
      out += k <= n ? digits[bits >> (18 - 6 * k) & 63U] : '=';
  }
  return out;
}

std::string decode_base64(std::string_view text) {
  auto out = std::string();
  auto bits = std::uint32_t{0};
  auto have = 0;
  for (auto c : text) {
    auto value = digits.find(c);
    if (value == std::string_view::npos) break;
    bits = bits << 6U | static_cast<std::uint32_t>(value);
    have += 6;
    if (have < 8) continue;
    have -= 8;
    out += static_cast<char>(bits >> static_cast<unsigned>(have) & 255U);
  }
  return out;
}

std::string decode_percent(std::string_view text) {
  constexpr auto base = 16;
  auto out = std::string();
  for (auto i = std::size_t{0}; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      auto code = std::string(text.substr(i + 1, 2));
      out += static_cast<char>(std::strtoul(code.c_str(), nullptr, base));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

}  // namespace review
