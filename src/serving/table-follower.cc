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

/// Forwards changes to the data centre.
void forward_changes(front& in, const table_follower& it, std::uint64_t after,
                     const row_page& page) {
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

/// What the store was asked for a table.
struct table_query {
  /// The changes after this version; 0 for the whole table.
  std::uint64_t after = 0;
  /// When it was asked, on the steady clock.
  instant asked{};
};

/// Applies the rows that the store answered, and forwards them if this daemon
/// reads for its data centre.
/// \return whether the copy is as new as the question.
bool apply_page(front& in, const table_follower& it, const table_query& query,
                row_page page) {
  take_store_time(in, page.now, query.asked);
  auto current = is_current(in, query.asked);
  auto whole = query.after == 0;
  if (current && !whole && it.shared && reads_for_others(in))
    forward_changes(in, it, query.after, page);
  apply_reply(*it.state, page, event_loop::steady(), current);
  it.apply(page.rows, whole);
  return current;
}

const table_follower* find_follower(const front& in, std::string_view table) {
  auto it = std::find_if(in.followed.begin(), in.followed.end(),
                         [&](const auto* at) { return at->table == table; });
  return it == in.followed.end() ? nullptr : *it;
}

}  // namespace

task<void> follow(front& in, table_follower it) {
  auto watch = dependency_monitor(in, it.what);
  auto& state = *it.state;
  in.followed.push_back(&it);
  for (;;) {
    co_await wait_for_turn(in, it, watch);
    auto query =
        table_query{.after = state.version, .asked = event_loop::steady()};
    auto page = absl::StatusOr<row_page>(row_page());
    if (query.after == 0) {
      page = co_await it.read_whole();
    } else {
      page = co_await in.store.changes(it.table, query.after, it.poll_timeout);
    }
    if (!page.ok()) {
      watch.lost(page.status());
      if (code_of(page.status()) == error_code::not_found) state.version = 0;
      co_await pause_for(retry_delay);
      continue;
    }
    watch.regained();
    auto changes = query.after > 0;
    auto current = apply_page(in, it, query, std::move(*page));
    if (current && changes && it.shared) {
      auto reads = reads_for_others(in);
      update_source(in, it,
                    reads ? feed_source::for_all : feed_source::for_itself);
    }
    // An empty store has no version to poll from.
    auto empty = state.version == 0;
    co_await pause_for(empty ? instant(retry_delay) : it.batch_delay);
  }
}

task<bool> refresh(front& in, std::string table) {
  const auto* it = find_follower(in, table);
  if (it == nullptr) co_return false;
  // A page may hold only the oldest of the changes.
  for (auto done = false; !done;) {
    auto query =
        table_query{.after = it->state->version, .asked = event_loop::steady()};
    if (query.after == 0) co_return false;
    auto page = co_await in.store.changes(table, query.after, instant{});
    if (!page.ok()) co_return false;
    done = page->rows.empty();
    auto current = apply_page(in, *it, query, std::move(*page));
    if (!current) co_return false;
  }
  co_return true;
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
  const auto* it = find_follower(in, page.table);
  if (it == nullptr || !it->shared) return;
  auto rows = apply_forwarded(*it->state, std::move(page), now);
  auto known = it->state->version > 0 && !it->state->gap;
  if (known) update_source(in, *it, feed_source::passed_on);
  it->apply(rows, false);
}

}  // namespace fulmar::serving
