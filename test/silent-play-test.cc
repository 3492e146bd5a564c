// End-to-end play over loopback of sound targets that fall silent for a while
// and go on, beside changes of the configuration: requests of every kind are
// answered whole.

#include <catch2/catch.hpp>
#include <random>

#include "fulmarpitch/net/link-pool.h"
#include "serving-fixture.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

constexpr auto play_time = 8s;
constexpr auto change_interval = 250ms;
constexpr int callers = 10;

/// All targets are silent for this long, once in each period.
constexpr auto joint_silence = 1300ms;
constexpr auto joint_period = 2500ms;

/// Answers at once, or is silent before its answer or in the midst of it.
class silent_script {
 public:
  /// \param together all targets fall silent at the same moment.
  silent_script(unsigned seed, bool together)
      : random_(seed), together_(together) {}

  scripted_answer operator()(const std::string& head) {
    auto out = plain(head);
    auto silence = draw_silence();
    if (silence.count() == 0) {
      out.delay = 10ms;
    } else if (draw(2) == 0) {
      out.delay = silence;
    } else {
      split(out, silence);
    }
    return out;
  }

 private:
  unsigned draw(unsigned below) {
    return static_cast<unsigned>(random_()) % below;
  }

  instant draw_silence() {
    if (!together_) {
      auto alone = std::chrono::milliseconds(300 + draw(1200));
      return draw(2) == 0 ? instant(alone) : instant();
    }
    auto into = event_loop::steady() % instant(joint_period);
    return std::max(instant(joint_silence) - into, instant());
  }

  static scripted_answer plain(const std::string& head) {
    if (!head.starts_with("POST /slow/")) return whole(head);
    return {.bytes = concat(
                "HTTP/1.1 200 OK\r\nFulmarpitch-Attempt-Id: ", id_of(head),
                "\r\nFulmarpitch-Server-Stamp: s\r\n"
                "Content-Length: 4\r\n\r\nokay")};
  }

  /// Sends the head and a part of the body before the silence.
  static void split(scripted_answer& it, instant silence) {
    auto at = std::min(it.bytes.find("\r\n\r\n") + 6, it.bytes.size());
    it.rest = it.bytes.substr(at);
    it.bytes.resize(at);
    it.pause = silence;
  }

  std::mt19937 random_;
  bool together_;
};

std::string configuration_of(int version) {
  auto odd = version % 2 == 1;
  auto route = [&](std::string_view name, std::string_view kind, int timeout_ms,
                   std::string_view more) {
    return concat(R"({"name":")", name, R"(","host":"h","pathPrefix":"/)", name,
                  R"(/","kind":")", kind, R"(","timeoutMs":)",
                  odd ? timeout_ms : timeout_ms + 1500,
                  R"(,"goalMs":300,"attempts":2,"service":"s")", more, "}");
  };
  return concat(R"({"version":)", version, R"(,"routes":[)",
                route("once", "stream", 4000, ""), ",",
                route("again", "stream", 4000, R"(,"resumable":true)"), ",",
                route("slow", "safe", 4000, ""), ",",
                route("jobs", "batch", 0, R"(,"dueMs":18000,"maxWaitS":60)"),
                ",", route(concat("new", version), "safe", 4000, ""),
                R"(],"limits":{"idleTimeoutMs":)", odd ? 1000 : 8000,
                R"(},"services":[{"name":"s"}]})");
}

/// What became of the requests.
struct play_result {
  int sent = 0;
  /// Requests without a whole answer, and those with another than expected.
  std::vector<std::string> unanswered;
  std::vector<std::string> unserved;
};

struct played_call {
  std::string path;
  std::string id;
  std::string fields;
  std::string expected;
};

task<void> call(link_pool& links, const std::string& address, bool kept,
                played_call request, play_result& to) {
  auto link = links.take(address);
  if (!link->is_open()) {
    auto status = co_await link->connect();
    if (!status.ok()) co_return;
  }
  auto head =
      concat("POST ", request.path, " HTTP/1.1\r\nHost: h\r\n",
             "Fulmarpitch-Attempt-Id: ", request.id,
             "\r\nFulmarpitch-Deadline-Ms: 6000\r\n", request.fields,
             kept ? "" : "Connection: close\r\n", "Content-Length: 6\r\n\r\n");
  auto sent = co_await link->send(head, "prompt");
  if (!sent.ok()) co_return;
  ++to.sent;
  auto answer = co_await link->read_head();
  auto body = absl::StatusOr<std::string>(absl::UnknownError("no head"));
  if (answer.ok()) body = co_await link->read_rest(std::size_t{1} << 20U);
  if (!body.ok()) {
    to.unanswered.push_back(
        concat(request.path, " ", request.id, " ", body.status().ToString()));
    co_return;
  }
  if (answer->status != 200 || *body != request.expected) {
    to.unserved.push_back(
        concat(request.path, " ", request.id, " ", answer->status, " ", *body));
  }
  links.give_back(link);
}

/// Sends requests one after the other, of the kinds in turn.
task<void> call_all(fixture& it, link_pool& links, int caller,
                    play_result& to) {
  auto until = event_loop::steady() + play_time;
  auto begun = std::string();
  for (auto n = caller; event_loop::steady() < until; ++n) {
    auto id = concat("c", caller, "-", n);
    auto request = played_call{.id = id, .expected = whole_text()};
    switch (n % 4) {
      case 0:
        request.path = "/slow/1";
        request.expected = "okay";
        break;
      case 1:
        request.path = "/once/1";
        break;
      case 2:
        request.path = "/again/1";
        begun = id;
        break;
      default:
        request.path = "/again/1";
        if (begun.empty()) continue;
        request.fields = concat("Resumes: ", begun, "\r\nLast-Event-Id: 2\r\n");
        request.expected = event(3) + event(4);
    }
    auto kept = caller % 2 == 0;
    co_await call(links, it.client_address, kept, std::move(request), to);
    if (kept) co_await pause_for(100ms * (n % 9));
  }
}

}  // namespace

TEST_CASE("requests are answered while targets are silent and plans change") {
  auto together = GENERATE(false, true);
  auto targets = GENERATE(3U, 6U);
  auto& it = make_fixture();
  for (auto n = 0U; n < targets; ++n)
    it.add_target(silent_script(n, together));
  it.start(true);
  static auto* pools = new std::deque<link_pool>();
  auto& links = pools->emplace_back(
      io_of(it.loop), link_pool_options{.idle = 800ms, .idle_margin = 0ms});
  auto out = play_result();
  auto version = 3;
  auto changes = true;
  it.loop.every(change_interval, [&] {
    if (changes) it.store.put("op", "config", configuration_of(++version));
  });
  for (auto n = 0; n < callers; ++n) {
    asio::co_spawn(io_of(it.loop), call_all(it, links, n, out), asio::detached);
  }
  it.run_for(play_time + 7s);
  changes = false;
  for (const auto& row : out.unanswered)
    UNSCOPED_INFO(row);
  for (const auto& row : out.unserved)
    UNSCOPED_INFO(row);
  CHECK(out.unanswered.empty());
  CHECK(out.unserved.empty());
  CHECK(out.sent > 100);
}
