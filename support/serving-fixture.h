#pragma once

/// \file
/// Serving daemons on loopback with a fake store and scripted targets.

#include <unistd.h>

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "fulmarpitch/core/text.h"
#include "fulmarpitch/fakes/platform-store.h"
#include "fulmarpitch/net/http.h"
#include "fulmarpitch/serving/daemon.h"
#include "fulmarpitch/soak/fault-proxy.h"
#include "scripted-target.h"

namespace fulmar::serving_test {

using namespace std::chrono_literals;

inline constexpr auto test_timeout = 20s;

inline constexpr auto configuration_text = R"({"version":3,"routes":[
  {"name":"once","host":"h","pathPrefix":"/once/","kind":"stream",
   "timeoutMs":3000,"goalMs":300,"attempts":2,"service":"s"},
  {"name":"again","host":"h","pathPrefix":"/again/","kind":"stream",
   "timeoutMs":3000,"goalMs":300,"attempts":2,"resumable":true,"service":"s"},
  {"name":"slow","host":"h","pathPrefix":"/slow/","kind":"safe",
   "timeoutMs":4000,"goalMs":1000,"attempts":2,"service":"s"},
  {"name":"jobs","host":"h","pathPrefix":"/jobs/","kind":"batch",
   "attempts":2,"dueMs":18000,"maxWaitS":60,"maxQueued":1000,"service":"s"}],
  "services":[{"name":"s","healthPath":"/healthz","maxConns":50}]})";

inline std::string event(int id) {
  return concat("id: ", id, "\ndata: d", id, "\n\n");
}

inline std::string chunk(const std::string& text) {
  auto size = hex(text.size());
  return concat(size, "\r\n", text, "\r\n");
}

inline std::string id_of(const std::string& head) {
  constexpr auto name = std::string_view("Fulmarpitch-Attempt-Id: ");
  auto at = head.find(name) + name.size();
  return head.substr(at, head.find("\r\n", at) - at);
}

inline std::string stream_head(const std::string& id) {
  return concat("HTTP/1.1 200 OK\r\nFulmarpitch-Attempt-Id: ", id,
                "\r\nFulmarpitch-Server-Stamp: stamp\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
}

inline int first_event(const std::string& head) {
  constexpr auto name = std::string_view("Last-Event-Id: ");
  auto at = head.find(name);
  return at == std::string::npos ? 1 : head[at + name.size()] - '0' + 1;
}

inline constexpr int last_event = 4;

/// Responds with the whole stream, or with the rest of a resumed one.
inline scripted_answer whole(const std::string& head) {
  auto out = stream_head(id_of(head));
  for (auto it = first_event(head); it <= last_event; ++it)
    out += chunk(event(it));
  return {.bytes = out + "0\r\n\r\n"};
}

inline std::string whole_text() {
  auto out = std::string();
  for (auto it = 1; it <= last_event; ++it)
    out += event(it);
  return out;
}

inline scripted_answer refuse_to_run(const std::string& head) {
  return {.bytes = concat(
              "HTTP/1.1 503 Busy\r\nFulmarpitch-Attempt-Id: ", id_of(head),
              "\r\nFulmarpitch-Not-Run: 1\r\n"
              "Content-Length: 0\r\n\r\n")};
}

/// \return whether a port can be bound at an address.
template <typename Protocol>
bool is_free(const char* ip, std::uint16_t port) {
  auto io = asio::io_context();
  auto ec = boost::system::error_code();
  auto socket = typename Protocol::socket(io, Protocol::v4());
  socket.bind({asio::ip::make_address(ip), port}, ec);
  return !ec;
}

/// Finds a free port below the kernel's ephemeral range: outgoing connections
/// take ports of that range while the test runs. Tests that start one after the
/// other begin far apart, as another one may take a port before it is bound.
inline std::uint16_t free_port() {
  constexpr auto ports_per_test = 1'000;
  constexpr auto tests = 22;
  static auto next = 10'000 + getpid() % tests * ports_per_test;
  for (;;) {
    auto port = static_cast<std::uint16_t>(next++);
    if (is_free<tcp>("127.0.0.1", port) && is_free<tcp>("127.0.0.2", port) &&
        is_free<udp>("127.0.0.1", port) && is_free<udp>("127.0.0.2", port)) {
      return port;
    }
  }
}

struct daemon_ports {
  std::uint16_t client = free_port();
  std::uint16_t ready = free_port();
  std::uint16_t peer = free_port();
  std::uint16_t metrics = free_port();
};

struct fixture {
  event_loop loop;
  platform_store_fake store{loop, "127.0.0.1"};
  std::deque<scripted_target> targets;
  /// Proxy between the first daemon and the store.
  std::unique_ptr<soak::fault_proxy> proxy;
  std::unique_ptr<serving::serving_daemon> daemon;
  /// A second daemon with the same store and targets.
  std::unique_ptr<serving::serving_daemon> second;
  /// Used by both daemons, at different addresses.
  daemon_ports ports;
  std::string client_address;

  fixture() {
    REQUIRE(store.start().ok());
    store.put("op", "config", configuration_text);
    loop.after(test_timeout, [this] { loop.stop(); });
  }

  scripted_target& add_target(scripted_target::script answer,
                              answer_time when = answer_time::after_body) {
    auto& it = targets.emplace_back(loop, std::move(answer), when);
    list_target(targets.size(), 0);
    return it;
  }

  /// Writes a target's row to the store; `started_ms` of 0 omits its start
  /// time, and an empty `version` that of its software.
  void list_target(std::size_t number, std::uint64_t started_ms,
                   const std::string& version = {}) {
    const auto& it = targets[number - 1];
    auto software = version.empty()
                        ? std::string()
                        : concat(R"("version":")", version, R"(",)");
    auto started =
        started_ms > 0 ? concat(R"("born":)", started_ms, ",") : std::string();
    store.put("servers", concat("t", number),
              concat(R"({"service":"s","zone":"dc","slots":8,"state":"ready",)",
                     started, software, R"("addr":")", it.address(), R"("})"));
  }

  /// Adds a target whose software has a version.
  scripted_target& add_target(scripted_target::script answer,
                              const std::string& version) {
    auto& it = add_target(std::move(answer));
    list_target(targets.size(), 0, version);
    return it;
  }

  std::unique_ptr<serving::serving_daemon> start_daemon(
      const std::string& name, const std::string& ip,
      const std::string& store_address) {
    auto settings =
        serving::vm_settings{.name = name,
                             .address = ip,
                             .data_centre = "dc",
                             .region = "r",
                             .regions = {{"dc", "r"}},
                             .client_address = concat(ip, ":", ports.client),
                             .ready_address = concat(ip, ":", ports.ready),
                             .first_peer_port = ports.peer,
                             .seeds = {"127.0.0.1"},
                             .metrics_port = ports.metrics,
                             .store_address = store_address};
    auto out = std::make_unique<serving::serving_daemon>(loop, settings);
    REQUIRE(out->start().ok());
    return out;
  }

  void start(bool with_second = false) {
    client_address = concat("127.0.0.1:", ports.client);
    proxy = std::make_unique<soak::fault_proxy>(loop, store.address());
    daemon = start_daemon("vm-1", "127.0.0.1", proxy->address());
    if (with_second)
      second = start_daemon("vm-2", "127.0.0.2", store.address());
    until([&] {
      auto answer = get("/none/");
      return answer.ok() && answer->status == 404;
    });
    run_for(100ms);
  }

  void run_for(instant time) {
    loop.after(time, [this] { loop.stop(); });
    loop.run();
  }

  void until(const std::function<bool()>& done) {
    for (auto n = 0; n < 300 && !done(); ++n)
      run_for(20ms);
  }

  absl::StatusOr<http_response> call(http_request request) {
    auto out = absl::StatusOr<http_response>(absl::UnknownError("no answer"));
    request.headers.push_back({"Host", "h"});
    fetch(loop,
          {.address = client_address,
           .request = std::move(request),
           .idle_timeout = 8s},
          [&](auto answer) {
            out = std::move(answer);
            loop.stop();
          });
    loop.run();
    return out;
  }

  absl::StatusOr<http_response> get(const std::string& path) {
    return call({.target = path});
  }

  absl::StatusOr<http_response> post(const std::string& path,
                                     const std::string& id,
                                     std::string body = "prompt") {
    return call({.method = "POST",
                 .target = path,
                 .headers = {{"Fulmarpitch-Attempt-Id", id},
                             {"Fulmarpitch-Deadline-Ms", "2500"},
                             {"Connection", "close, X-Private"},
                             {"X-Private", "1"},
                             {"X-Kept", "1"}},
                 .body = std::move(body)});
  }
};

/// Creates a fixture that lives as long as the process, because suspended
/// coroutines hold references to it.
inline fixture& make_fixture() {
  static auto* all = new std::deque<fixture>();
  return all->emplace_back();
}

}  // namespace fulmar::serving_test
