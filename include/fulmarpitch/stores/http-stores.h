#pragma once

/// \file
/// The platform's stores over HTTP, from both sides.

#include <memory>
#include <string>

#include "fulmarpitch/net/http.h"
#include "fulmarpitch/stores/stores.h"

namespace fulmar {

struct http_stores_options {
  /// Host and port of the platform.
  std::string address;
  /// A call that takes longer has failed; it may have taken effect.
  instant timeout = std::chrono::seconds(2);
};

/// Gives the table service behind an address.
table_store make_http_table_store(event_loop& loop,
                                  http_stores_options options);

/// Gives the object store behind an address.
object_store make_http_object_store(event_loop& loop,
                                    http_stores_options options);

/// Answers a request to the platform's HTTP interface from stores.
/// \param table the table service to ask.
/// \param objects the object store to ask.
/// \param it the request.
void serve_stores(const table_store& table, const object_store& objects,
                  const std::shared_ptr<http_exchange>& it);

}  // namespace fulmar
