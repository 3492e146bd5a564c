#include "fulmarpitch/net/event-loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <ctime>

#include "event-loop-impl.h"
#include "fulmarpitch/net/coroutine.h"

namespace fulmar {
namespace {

struct periodic_timer : std::enable_shared_from_this<periodic_timer> {
  periodic_timer(asio::io_context& io, instant every,
                 std::function<void()> function)
      : timer(io), period(every), work(std::move(function)) {}

  void arm() {
    timer.expires_after(period);
    timer.async_wait([self = shared_from_this()](auto ec) {
      if (ec) return;
      self->work();
      self->arm();
    });
  }

  asio::steady_timer timer;
  instant period;
  std::function<void()> work;
};

template <typename Clock>
instant read_clock() {
  return std::chrono::duration_cast<instant>(Clock::now().time_since_epoch());
}

}  // namespace

event_loop::event_loop() : impl_(std::make_unique<impl>()) {}
event_loop::~event_loop() = default;

void event_loop::run() {
  impl_->io.restart();
  auto guard = asio::make_work_guard(impl_->io);
  impl_->io.run();
}

void event_loop::stop() {
  impl_->io.stop();
}

void event_loop::post(std::function<void()> work) {
  asio::post(impl_->io, std::move(work));
}

void event_loop::after(instant delay, std::function<void()> work) {
  auto timer = std::make_shared<asio::steady_timer>(impl_->io, delay);
  timer->async_wait([timer, work = std::move(work)](auto ec) {
    if (!ec) work();
  });
}

void event_loop::every(instant period, std::function<void()> work) {
  std::make_shared<periodic_timer>(impl_->io, period, std::move(work))->arm();
}

void event_loop::on_termination(std::function<void()> work) {
  auto signals = std::make_shared<asio::signal_set>(impl_->io, SIGTERM, SIGINT);
  signals->async_wait([signals, work = std::move(work)](auto ec, int) {
    if (!ec) work();
  });
}

asio::io_context& io_of(event_loop& loop) {
  return loop.native().io;
}

instant event_loop::now() {
  return read_clock<std::chrono::system_clock>();
}

instant event_loop::steady() {
  return read_clock<std::chrono::steady_clock>();
}

instant event_loop::since_boot() {
  auto time = timespec();
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<instant>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace fulmar
