// Serving daemons with a target that sends endless responses, over loopback.
// Guards against unbounded buffering, and against truncated responses that look
// complete.

#include <absl/strings/escaping.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "serving-fixture.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

/// Limit of what a daemon may read of one response, including socket buffers.
constexpr auto max_received_bytes = std::size_t{16} * 1024 * 1024;

const auto filler = std::string(4096, 'x');

struct endless_body {
  const char* name;
  std::string bytes;
};

std::vector<endless_body> endless_streams() {
  return std::vector<endless_body>({{"an event", filler},
                                    {"comments", ": wait\n\n"},
                                    {"the first event", "id: 1\ndata: d1\n\n"},
                                    {"chunk extensions", ""}});
}

/// Responds to the first request with an endless stream, then with whole ones.
scripted_target::script endless_once(const endless_body& it, bool* is_first) {
  return [it, is_first](const std::string& head) {
    if (!std::exchange(*is_first, false)) return whole(head);
    auto out = scripted_answer{
        .bytes = stream_head(id_of(head)) + chunk(event(1)), .close = true};
    if (it.bytes.empty()) {
      out.bytes += "5;x=";
      out.endless = filler;
    } else {
      out.endless = chunk(it.bytes);
    }
    return out;
  };
}

/// Responds to the first request with a given head and an endless body, then
/// with whole streams.
scripted_target::script endless_after(const std::string& head_text,
                                      bool* is_first) {
  return [head_text, is_first](const std::string& head) {
    if (!std::exchange(*is_first, false)) return whole(head);
    return scripted_answer{
        .bytes = concat(head_text, "\r\nFulmarpitch-Attempt-Id: ", id_of(head),
                        "\r\n\r\n"),
        .endless = filler,
        .close = true};
  };
}

/// Removes SSE comments, which are forwarded but belong to no event.
std::string without_comments(std::string text) {
  constexpr auto comment = std::string_view(": wait\n\n");
  for (auto at = text.find(comment); at != std::string::npos;
       at = text.find(comment, at))
    text.erase(at, comment.size());
  return text;
}

std::size_t endless_bytes(const fixture& it) {
  auto out = std::size_t{0};
  for (const auto& target : it.targets)
    out += target.endless_bytes;
  return out;
}

}  // namespace

TEST_CASE("an endless resumable stream resumes at another target") {
  auto body = GENERATE(from_range(endless_streams()));
  CAPTURE(body.name);
  auto is_first = true;
  auto& it = make_fixture();
  it.add_target(endless_once(body, &is_first));
  it.add_target(endless_once(body, &is_first));
  it.start();
  auto answer = it.post("/again/1", "a1");
  REQUIRE(answer.ok());
  CHECK(without_comments(answer->body) == whole_text());
  CHECK(endless_bytes(it) < max_received_bytes);
}

TEST_CASE("an endless stream that may run only once does not look complete") {
  auto body = GENERATE(from_range(endless_streams()));
  CAPTURE(body.name);
  auto is_first = true;
  auto& it = make_fixture();
  it.add_target(endless_once(body, &is_first));
  it.start();
  CHECK_FALSE(it.post("/once/1", "a1").ok());
  CHECK(endless_bytes(it) < max_received_bytes);
}

TEST_CASE("an endless stream of a batch item is retried") {
  auto body = GENERATE(from_range(endless_streams()));
  CAPTURE(body.name);
  auto is_first = true;
  auto& it = make_fixture();
  it.add_target(endless_once(body, &is_first));
  it.start();
  auto job = concat(
      R"({"requests":[{"id":"i1","path":"/jobs/1/i1","headers":{},"body":")",
      absl::Base64Escape("p"), R"(","tokens":10}]})");
  REQUIRE(it.post("/jobs/1", "j1", job)->status == 202);
  auto results = std::string();
  it.until([&] {
    auto answer = it.get("/v1/lots/j1?after=0");
    if (answer.ok()) results = answer->body;
    return results.find("done") != std::string::npos;
  });
  CHECK(results.find(R"("output":"d1\nd2\nd3\nd4")") != std::string::npos);
  CHECK(endless_bytes(it) < max_received_bytes);
}

TEST_CASE("an endless response is retried at the next target") {
  const auto* head = GENERATE("HTTP/1.1 503 Busy\r\nFulmarpitch-Not-Run: 1",
                              "HTTP/1.1 500 Broken",
                              "HTTP/1.1 200 OK\r\nFulmarpitch-Server-Stamp: s");
  CAPTURE(head);
  auto is_first = true;
  auto& it = make_fixture();
  it.add_target(endless_after(head, &is_first));
  it.add_target(endless_after(head, &is_first));
  it.start();
  auto answer = it.post("/slow/1", "a1");
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_text());
  CHECK(endless_bytes(it) < max_received_bytes);
}

// What a client does not take must not pile up at the daemon.
TEST_CASE("an endless stream is not read faster than its client takes it") {
  constexpr std::size_t most = std::size_t{16} * 1024 * 1024;
  auto& it = make_fixture();
  auto& target = it.add_target([](const std::string& head) {
    return scripted_answer{
        .bytes = stream_head(id_of(head)),
        .endless = chunk(concat("data: ", std::string(4000, 'x'), "\n\n"))};
  });
  it.start();
  auto client = tcp::socket(io_of(it.loop));
  client.open(tcp::v4());
  client.set_option(asio::socket_base::receive_buffer_size(64 * 1024));
  client.connect({asio::ip::make_address("127.0.0.1"), it.ports.client});
  asio::write(client,
              asio::buffer(std::string(
                  "POST /once/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
                  "Fulmarpitch-Attempt-Id: a1\r\n\r\n")));
  it.run_for(2s);
  CHECK(target.endless_bytes > 0);
  CHECK(target.endless_bytes < most);
  CHECK(target.open == 1);
}
