#include "table-follower.h"

#include <algorithm>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "reports.h"

namespace fulmar::serving {
namespace {

/// Interval of checking whether this daemon must read a table; short compared
/// with the batching delays.
constexpr auto turn_check_interval = std::chrono::milliseconds(100);

/// Logs the first of consecutive failures of a dependency, and its recovery.
class dependency_monitor {
 public:
  dependency_monitor(front& in, std::string_view what)
      : front_(in), what_(what) {}

  void lost(const absl::Status& status) {
    // A truncated change history is not an outage.
    if (code_of(status) == error_code::not_found) return;
    if (std::exchange(lost_, true)) return;
    auto message = std::string(status.message());
    front_.log.add("dependency_lost", {{"what", what_}, {"why", message}});
  }

  void regained() {
    if (!std::exchange(lost_, false)) return;
    front_.store_recovered_at = event_loop::steady();
    front_.log.add("dependency_regained", {{"what", what_}});
  }

 private:
  front& front_;
  std::string_view what_;
  bool lost_ = false;
};

bool reads_for_others(const front& in) {
  return reads_for_others(in.board, in.settings.name, store_lost(in),
                          event_loop::steady());
}

/// Waits until this daemon must poll the store for changes.
task<void> wait_for_turn(front& in, const table_follower& it,
                         dependency_monitor& watch) {
  auto& state = *it.state;
  while (it.shared &&
         !must_poll(state, reads_for_others(in), event_loop::steady())) {
    // Forwarded pages show that the store is reachable.
    if (state.source == feed_source::passed_on) watch.regained();
    co_await pause_for(turn_check_interval);
  }
}

/// Records the source of a table's changes, and logs it if it changed.
void update_source(front& in, const table_follower& it, feed_source source) {
  auto& state = *it.state;
  if (std::exchange(state.source, source) == source) return;
  auto silent = event_loop::steady() - state.confirmed;
  in.log.add("feed_source",
             {{"table", it.table},
              {"source", name_in(feed_source_names, source)},
              {"version", state.version},
              {"gap", state.gap},
              {"confirmed_us_ago", std::int64_t{silent.count()}}});
}

/// Forwards changes to the data centre if this daemon reads for it.
void forward_changes(front& in, const table_follower& it, std::uint64_t after,
                     const row_page& page) {
  if (!it.shared) return;
  auto reads = reads_for_others(in);
  update_source(in, it, reads ? feed_source::for_all : feed_source::for_itself);
  if (!reads) return;
  auto out = feed_page{
      .data_centre = in.settings.data_centre,
      .table = it.table,
      .after = after,
      .version = page.version,
      .rows = it.select_forwarded ? it.select_forwarded(page.rows) : page.rows};
  if (in.store_recovered_at)
    out.outage_ended = event_loop::steady() - *in.store_recovered_at;
  in.reports->send_feed(out);
}

}  // namespace

task<void> follow(front& in, table_follower it) {
  auto watch = dependency_monitor(in, it.what);
  auto& state = *it.state;
  in.followed.push_back(&it);
  for (;;) {
    co_await wait_for_turn(in, it, watch);
    auto after = state.version;
    auto whole = after == 0;
    auto page = absl::StatusOr<row_page>(row_page());
    auto asked = event_loop::steady();
    if (whole) {
      page = co_await it.read_whole();
    } else {
      page = co_await in.store.changes(it.table, after, it.poll_timeout);
    }
    if (!page.ok()) {
      watch.lost(page.status());
      if (code_of(page.status()) == error_code::not_found) state.version = 0;
      co_await pause_for(retry_delay);
      continue;
    }
    watch.regained();
    take_store_time(in, page->now, asked);
    auto current = is_current(in, asked);
    if (!whole && current) forward_changes(in, it, after, *page);
    apply_reply(state, *page, event_loop::steady(), current);
    it.apply(page->rows, whole);
    // An empty store has no version to poll from.
    auto empty = state.version == 0;
    co_await pause_for(empty ? instant(retry_delay) : it.batch_delay);
  }
}

void apply_feed_page(front& in, feed_page page) {
  if (page.data_centre != in.settings.data_centre) return;
  check_for_pause(in);
  auto now = event_loop::steady();
  if (page.outage_ended) {
    auto ended = now - *page.outage_ended;
    in.store_recovered_at =
        std::max(in.store_recovered_at.value_or(ended), ended);
  }
  for (const auto* it : in.followed) {
    if (!it->shared || it->table != page.table) continue;
    auto rows = apply_forwarded(*it->state, std::move(page), now);
    auto known = it->state->version > 0 && !it->state->gap;
    if (known) update_source(in, *it, feed_source::passed_on);
    return it->apply(rows, false);
  }
}

}  // namespace fulmar::serving
