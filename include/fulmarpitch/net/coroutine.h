#pragma once

/// \file
/// Short names for the parts of Asio that the coroutines here use.

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/net/event-loop.h"

namespace fulmar {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

template <typename T>
using task = asio::awaitable<T>;

/// Completion token: `co_await` gives a tuple that begins with the error.
inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// \return the Asio loop behind an event loop.
asio::io_context& io_of(event_loop& loop);

/// Completion handler of a coroutine that nothing waits for: logs an exception,
/// and lets a broken invariant end the loop.
struct failure_report {
  void operator()(const std::exception_ptr& fault) const;
};
inline constexpr auto report_failure = failure_report();

/// Suspends a coroutine.
/// \param delay how long.
inline task<void> pause_for(instant delay) {
  auto timer = asio::steady_timer(co_await asio::this_coro::executor);
  timer.expires_after(delay);
  co_await timer.async_wait(as_result);
}

}  // namespace fulmar
