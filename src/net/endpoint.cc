#include "endpoint.h"

#include <charconv>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"

namespace asio = boost::asio;
using asio::ip::tcp;

namespace fulmar {

std::optional<tcp::endpoint> parse_endpoint(std::string_view address) {
  auto colon = address.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  auto port = std::uint16_t{};
  const auto* end = address.data() + address.size();
  auto [it, error] = std::from_chars(address.data() + colon + 1, end, port);
  auto ec = boost::system::error_code();
  auto host = asio::ip::make_address(address.substr(0, colon), ec);
  if (ec || error != std::errc() || it != end) return std::nullopt;
  return tcp::endpoint(host, port);
}

absl::Status listen_on(tcp::acceptor& acceptor, const std::string& host,
                       std::uint16_t port) {
  auto ec = boost::system::error_code();
  auto address = asio::ip::make_address(host, ec);
  auto at = tcp::endpoint(address, port);
  if (!ec) acceptor.open(at.protocol(), ec);
  if (!ec) acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor.bind(at, ec);
  if (!ec) acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (!ec) return absl::OkStatus();
  return make_error(
      error_code::bad_request,
      concat("cannot listen on ", host, ":", port, ": ", ec.message()));
}

}  // namespace fulmar
