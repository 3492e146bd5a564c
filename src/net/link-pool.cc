#include "fulmarpitch/net/link-pool.h"

#include <algorithm>
#include <utility>

#include "fulmarpitch/net/event-loop.h"

namespace fulmar {

link_pool::link_pool(asio::io_context& io, link_pool_options options)
    : io_(io), options_(std::move(options)) {}

bool link_pool::is_good(const idle_link& it, instant now) const {
  if (now >= it.until || !it.link->is_open()) return false;
  return !options_.timeouts_show_silence ||
         !links_->may_be_silent(it.link->address(), it.since);
}

link_ptr link_pool::take(const std::string& address) {
  auto& idle = idle_[address];
  auto now = event_loop::steady();
  while (!idle.empty()) {
    auto it = std::move(idle.back());
    idle.pop_back();
    if (is_good(it, now) && it.link->is_quiet()) return it.link;
    it.link->close();
  }
  return make_link(address);
}

link_ptr link_pool::make_link(const std::string& address) {
  return std::make_shared<http_link>(io_, links_, address, options_.source);
}

bool link_pool::keeps_link(const std::string& address) const {
  auto it = idle_.find(address);
  return it != idle_.end() && !it->second.empty();
}

void link_pool::give_back(link_ptr it) {
  it->expire_at(std::nullopt);
  auto& idle = idle_[it->address()];
  if (!it->reusable() || idle.size() >= options_.per_address) {
    it->close();
    return;
  }
  auto stay = options_.idle;
  if (auto limit = it->idle_limit())
    stay = std::min(stay, *limit - options_.idle_margin);
  if (stay.count() <= 0) {
    it->close();
    return;
  }
  auto now = event_loop::steady();
  idle.push_back({.link = std::move(it), .since = now, .until = now + stay});
}

void link_pool::close_idle(instant now) {
  links_->forget_silences(now - options_.idle);
  absl::erase_if(idle_, [&](auto& row) {
    std::erase_if(row.second, [&](idle_link& it) {
      auto over = !is_good(it, now);
      if (over) it.link->close();
      return over;
    });
    return row.second.empty();
  });
}

void link_pool::drop(const std::string& address) {
  auto it = idle_.find(address);
  if (it == idle_.end()) return;
  for (auto& idle : it->second)
    idle.link->close();
  idle_.erase(it);
}

}  // namespace fulmar
