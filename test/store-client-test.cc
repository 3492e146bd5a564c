// Calls to the platform's store over connections that fail.

#include "platform/store-client.h"

#include <catch2/catch.hpp>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/fakes/platform-store.h"
#include "fulmarpitch/net/link-pool.h"
#include "fulmarpitch/soak/fault-proxy.h"
#include "scripted-target.h"

using namespace fulmar;
using namespace fulmar::serving;
using soak::fault_proxy;
using soak::link_fault;

namespace {

constexpr auto tick_period = std::chrono::milliseconds(5);

template <typename T>
T run_until_done(event_loop& loop, task<T> work) {
  auto out = std::optional<T>();
  asio::co_spawn(io_of(loop), std::move(work),
                 [&](const std::exception_ptr& fault, T result) {
                   if (!fault) out = std::move(result);
                   loop.stop();
                 });
  loop.run();
  return std::move(*out);
}

/// Creates an object that lives as long as the process, because suspended
/// coroutines hold references to it.
template <typename T, typename... Args>
T& make_kept(Args... args) {
  static auto* all = new std::deque<T>();
  return all->emplace_back(args...);
}

/// A store client behind a proxy, with the daemon's pool of connections.
struct store_path {
  event_loop loop;
  platform_store_fake fake{loop, "127.0.0.1"};
  fault_proxy proxy;
  link_pool links{io_of(loop), {.idle = std::chrono::seconds(30)}};
  platform::store_call_counts counts;
  row_store store;

  store_path() : proxy(loop, start(fake)) {
    store = platform::connect_store(
        links,
        {.address = proxy.address(),
         .row_timeout = std::chrono::milliseconds(300),
         .changes_timeout = std::chrono::milliseconds(200),
         .object_timeout = std::chrono::milliseconds(300),
         .kept_link_timeout = std::chrono::milliseconds(100),
         .kept_link_object_timeout = std::chrono::milliseconds(100)},
        counts);
    fake.put("t", "k", "v");
    asio::co_spawn(io_of(loop), close_expired(), asio::detached);
  }

  static std::string start(platform_store_fake& it) {
    REQUIRE(it.start().ok());
    return it.address();
  }

  task<void> close_expired() {
    for (;;) {
      co_await pause_for(tick_period);
      links.links().close_expired(event_loop::steady());
    }
  }

  template <typename T>
  T wait_for(task<T> work) {
    return run_until_done(loop, std::move(work));
  }

  /// Opens connections by as many calls at a time, and leaves them idle.
  void open_links(int count) {
    auto open = count;
    for (auto n = 0; n < count; ++n) {
      asio::co_spawn(io_of(loop), store.read({.table = "t"}),
                     [&](const std::exception_ptr&, const auto& page) {
                       REQUIRE(page.ok());
                       if (--open == 0) loop.stop();
                     });
    }
    loop.run();
  }
};

row_transaction write(const std::string& key) {
  return {.writes = {{.name = {.table = "t", .key = key}, .value = "x"}}};
}

task<bool> put(row_store& store) {
  auto status = co_await store.put_object("o", "bytes");
  co_return status.ok();
}

}  // namespace

// Each idle connection used to cost a timeout, so that a daemon had no store
// for as long as the pool lasted.
TEST_CASE("reads go on when the open connections fall silent") {
  auto& it = make_kept<store_path>();
  it.open_links(16);
  it.proxy.set(link_fault::silenced);
  for (auto n = 0; n < 4; ++n)
    CHECK(it.wait_for(it.store.read({.table = "t"})).ok());
  CHECK(it.counts.failures == 1);
}

TEST_CASE("a wait for changes goes on when the open connections fall silent") {
  auto& it = make_kept<store_path>();
  it.open_links(16);
  it.proxy.set(link_fault::silenced);
  auto page = it.wait_for(it.store.changes("t", 0, instant{}));
  REQUIRE(page.ok());
  CHECK(page->rows.size() == 1);
}

TEST_CASE("an object is read when the open connections fall silent") {
  auto& it = make_kept<store_path>();
  REQUIRE(it.wait_for(put(it.store)));
  it.open_links(16);
  it.proxy.set(link_fault::silenced);
  auto object = it.wait_for(it.store.get_object("o"));
  REQUIRE(object.ok());
  CHECK(*object == "bytes");
}

TEST_CASE("one write at most fails when the open connections fall silent") {
  auto& it = make_kept<store_path>();
  it.open_links(16);
  it.proxy.set(link_fault::silenced);
  auto first = it.wait_for(it.store.commit(write("a")));
  REQUIRE_FALSE(first.ok());
  // It may have been done, so it is not sent again.
  CHECK(outcome_of(first.status()) == outcome::unknown);
  for (const auto* key : {"b", "c", "d"})
    CHECK(it.wait_for(it.store.commit(write(key))).ok());
}

namespace {

/// A store that answers each call with one status and an empty page.
struct odd_store {
  event_loop loop;
  scripted_target peer;
  link_pool links{io_of(loop), {}};
  platform::store_call_counts counts;
  row_store store;

  explicit odd_store(int status)
      : peer(loop,
             [status](const auto&) {
               return scripted_answer{
                   .bytes = concat("HTTP/1.1 ", status, " Any\r\n",
                                   "Content-Length: 2\r\n\r\n{}")};
             }),
        store(platform::connect_store(links, {.address = peer.address()},
                                      counts)) {}

  template <typename T>
  T wait_for(task<T> work) {
    return run_until_done(loop, std::move(work));
  }
};

}  // namespace

// A commit that got 410 counted as done.
TEST_CASE("a status that does not answer a call is no success") {
  auto status = GENERATE(302, 404, 410, 412, 500);
  CAPTURE(status);
  auto& it = make_kept<odd_store>(status);
  CHECK_FALSE(it.wait_for(it.store.read({.table = "t"})).ok());
  CHECK_FALSE(it.wait_for(it.store.parts("t")).ok());
  CHECK_FALSE(it.wait_for(it.store.get_object("o")).ok());
  auto committed = it.wait_for(it.store.commit(write("a")));
  CHECK(committed.ok() == (status == 412));
  if (committed.ok()) CHECK_FALSE(committed->committed);
  CHECK(it.wait_for(it.store.put_object("o", "x")).ok() == (status == 412));
  CHECK(it.wait_for(it.store.drop_object("o")).ok() == (status == 404));
  auto changes = it.wait_for(it.store.changes("t", 1, instant{}));
  CHECK_FALSE(changes.ok());
  CHECK((code_of(changes.status()) == error_code::not_found) ==
        (status == 410));
}
