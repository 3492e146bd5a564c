#pragma once

/// \file
/// Percent-encoding, the parts of a request target, and addresses.

#include <optional>
#include <string>
#include <string_view>

namespace fulmar {

/// Encodes everything but letters, digits and `-_.~/`.
/// \param text any bytes.
/// \return the encoded text.
std::string percent_encode(std::string_view text);

/// Decodes a percent-encoded text.
/// \param text the encoded text.
/// \return the bytes, or nothing when an escape is malformed.
std::optional<std::string> percent_decode(std::string_view text);

/// \param target a request target.
/// \return the target without its query.
std::string_view path_of(std::string_view target);

/// Reads a parameter of a target's query.
/// \param target a request target.
/// \param name the parameter's name.
/// \return its decoded value, empty when absent or malformed.
std::string query_parameter(std::string_view target, std::string_view name);

/// \return whether a text is an IP address and a port that can be connected to.
bool is_address(std::string_view text);

/// Takes a prefix off a path.
/// \param path the path.
/// \param prefix what it should begin with.
/// \return the rest, or nothing when it begins otherwise.
std::optional<std::string_view> after_prefix(std::string_view path,
                                             std::string_view prefix);

}  // namespace fulmar
