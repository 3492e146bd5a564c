#pragma once

/// \file
/// Holds the teams' requests to their rates, at all daemons together.

#include <optional>
#include <string>

#include "fulmarpitch/teams/team.h"
#include "src/serving/front.h"

namespace fulmar::teams {

/// Counts a request of a team against its rate.
/// \param by the team; must stay valid during the call only.
/// \return nothing if the request may run; else after which time its client may
///     return.
std::optional<instant> admit_request(serving::front& in, const team& by);

/// Creates the ledger of a daemon that starts.
/// \param began current time on the steady clock.
rate_ledger make_ledger(const serving::vm_settings& settings,
                        std::uint64_t incarnation, instant began);

/// Takes over the rates of the configuration in force.
void apply_rates(serving::front& in);

/// Notes that a daemon is registered in the store for this data centre.
void expect_daemon(serving::front& in, const std::string& name);

/// Notes that all registered daemons are expected.
void note_daemons_listed(serving::front& in);

/// Takes what a member of the data centre reported.
void hear_report(serving::front& in, const serving::load_report& it);

/// Notices members that fell silent and teams that are refused no longer, and
/// sends a report if counts have waited.
/// \param now current time on the steady clock.
void observe_rates(serving::front& in, instant now);

/// \return the metrics of teams that have a rate; empty if none has.
std::string rate_metrics(const serving::front& in);

}  // namespace fulmar::teams
