#pragma once

#include <boost/asio/io_context.hpp>

#include "fulmarpitch/net/event-loop.h"

namespace fulmar {

struct event_loop::impl {
  boost::asio::io_context io{1};
};

}  // namespace fulmar
