#pragma once

/// \file
/// Recognises requests under which targets ended, however often they are sent.

#include <cstdint>
#include <string_view>

namespace fulmar::serving {

/// Names what a request asks of a target. A request that is sent again has
/// another id and the same content.
/// \param method the HTTP method.
/// \param path the path, with its query.
/// \param body the whole body.
std::uint64_t content_key(std::string_view method, std::string_view path,
                          std::string_view body);

}  // namespace fulmar::serving
