#pragma once

/// \file
/// The operators' port as a function from requests to answers.

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/config/watcher.h"
#include "fulmarpitch/net/http.h"

namespace fulmar {

/// What the operators' port reads and changes.
struct operator_api {
  config_stores stores;
  /// The configuration in force on this VM, or null.
  std::function<std::shared_ptr<const configuration>()> in_force;
  /// The snapshot in force on this VM; empty before the first.
  std::function<std::string()> snapshot;
  /// What is known of every VM, this one included.
  std::function<std::vector<watcher_status>()> vms;
  /// SHA-256 of keys that count while no configuration is in force, so that
  /// the first ticket can be applied.
  std::vector<std::string> first_key_hashes;
};

/// Whether a request belongs to the operators' API.
/// \param target path and query.
bool is_operator_path(std::string_view target);

/// Answers `POST /operator/v1/tickets`, `GET /operator/v1/tickets[/N]`,
/// `GET /operator/v1/state` and `GET /operator/v1/configuration`, which gives
/// the snapshot in force, or with `?newest=1` the newest in the stores.
/// \param api what to read and change.
/// \param request the request, with `Authorization: Bearer KEY`.
/// \param now wall-clock time, kept in the ticket's row.
/// \param done receives the answer once.
void answer_operator(const operator_api& api, const http_request& request,
                     instant now,
                     const std::function<void(http_response)>& done);

}  // namespace fulmar
