#include "fulmarpitch/net/change-signal.h"

namespace fulmar {

task<void> change_signal::wait(instant longest) {
  auto it = waiters_.emplace(waiters_.end(), io_, longest);
  co_await it->async_wait(as_result);
  waiters_.erase(it);
}

void change_signal::notify() {
  for (auto& it : waiters_)
    it.cancel();
}

}  // namespace fulmar
