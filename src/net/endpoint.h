#pragma once

#include <absl/status/status.h>

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar {

/// Reads an IP address and port such as `127.0.0.1:8080`.
/// \return nothing for any other text.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(
    std::string_view address);

/// Binds an acceptor and starts to listen.
/// \param acceptor a closed acceptor.
/// \param host the IP address.
/// \param port the port; 0 lets the system choose.
/// \return an error that names the address.
absl::Status listen_on(boost::asio::ip::tcp::acceptor& acceptor,
                       const std::string& host, std::uint16_t port);

}  // namespace fulmar
