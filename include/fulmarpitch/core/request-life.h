#pragma once

/// \file
/// The states that a request passes through inside a sequencer.

#include <array>
#include <optional>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// Where a request stands. A held request waits for a retry or for isolation.
enum class life_state { queued, held, running, stopping, done };

inline constexpr std::array<named<life_state>, 5> life_state_names{{
    {life_state::queued, "queued"},
    {life_state::held, "held"},
    {life_state::running, "running"},
    {life_state::stopping, "stopping"},
    {life_state::done, "done"},
}};

/// What can happen to a request.
enum class life_event { hold, release, admit, stop, retry, finish };

inline constexpr std::array<named<life_event>, 6> life_event_names{{
    {life_event::hold, "hold"},
    {life_event::release, "release"},
    {life_event::admit, "admit"},
    {life_event::stop, "stop"},
    {life_event::retry, "retry"},
    {life_event::finish, "finish"},
}};

/// Looks a transition up.
/// \param from where the request stands.
/// \param event what happens to it.
/// \return the state that follows, or nothing when the event is not allowed.
std::optional<life_state> next_state(life_state from, life_event event);

}  // namespace fulmar
