/// \file
/// A tenant hands in a batch job whose item has a header with line ends in its
/// value. A server gets a request that nobody sent, in the name of another
/// tenant.

#include <algorithm>

#include "fulmarpitch/core/text.h"
#include "harness.h"

namespace {

using fulmar::concat;
using fulmar::task;
using namespace std::chrono_literals;

constexpr auto configuration_text =
    R"({"version":7,"routes":[)"
    R"({"name":"r-online","host":"h.example","pathPrefix":"/online/",)"
    R"("kind":"stream","timeoutMs":5000,"goalMs":300,"priority":0,)"
    R"("service":"s","attempts":1,"public":false,"sticky":true,)"
    R"("resumable":false,"gapAimMs":500},)"
    R"({"name":"r-batch","host":"h.example","pathPrefix":"/jobs/",)"
    R"("kind":"batch","timeoutMs":15000,"goalMs":500,"priority":2,)"
    R"("service":"s","attempts":3,"public":false,"sticky":true,)"
    R"("resumable":true,"gapAimMs":500,"dueMs":18000,"maxWaitS":60,)"
    R"("maxQueued":2100000}],)"
    R"("services":[{"name":"s","healthPath":"/healthz","maxConns":410}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
    R"("tenants":[{"name":"tenant-a","apiKeys":["key-a"],"priority":1},)"
    R"({"name":"tenant-b","apiKeys":["key-b"],"priority":1}]})";

/// The header of the item, and what stands in its value with the disruption.
constexpr auto header_name = "Fulmarpitch-Length-Hint";
constexpr auto plain_value = "125";
constexpr auto forged_id = "f0f0f0f0f0f0f0f0";

std::string forged_value() {
  return concat(plain_value, "\r\nContent-Length: 0\r\n\r\n",
                "POST /online/forged HTTP/1.1\r\nHost: h.example\r\n",
                "Fulmarpitch-Attempt-Id: ", forged_id, "\r\n",
                "Fulmarpitch-Tenant: tenant-a\r\nContent-Length: 0\r\n\r\n",
                "GET /v1/report HTTP/1.1\r\nX-Rest: 1");
}

struct state {
  explicit state(review::case_options options) : bench(std::move(options)) {}

  review::bench bench;
  std::deque<review::model_server> servers;
  /// The ids that clients sent, and the tenants whose keys came with them.
  std::map<std::string, std::string> sent;
};

std::string text_of(const review::begun_run& it) {
  auto out = concat(it.method, " ", it.path, " id ", it.id);
  for (const auto& row : it.headers) {
    if (row.name == "Fulmarpitch-Tenant")
      out += concat(" Fulmarpitch-Tenant ", row.value);
  }
  return out;
}

/// Judges a request that begins to run at a server.
void judge(state& it, const review::begun_run& run) {
  auto& b = it.bench;
  b.note(concat("a server runs ", text_of(run)));
  auto known = it.sent.find(run.id);
  if (known == it.sent.end())
    return b.broken(concat("UNASKED: a server runs a request whose id no ",
                           "client sent: ", text_of(run)));
  auto tenant = fulmar::find_header(run.headers, "Fulmarpitch-Tenant");
  if (tenant != known->second)
    b.broken(concat("UNASKED: a server runs a request of ", known->second,
                    " in another name: ", text_of(run)));
}

task<bool> play(state& it) {
  auto& b = it.bench;
  auto& server = it.servers.emplace_back(
      b.loop, review::server_options{.id = "i-0", .slots = 8, .events = 5});
  server.on_run = [&it](const review::begun_run& run) { judge(it, run); };
  b.put_server("i-0", "s", server.address(), "a", 8);
  b.put_configuration(configuration_text);
  for (auto n = 0; n < 2; ++n)
    b.add_machine("a", 160);
  for (auto& row : b.machines)
    b.start(row);
  for (auto& row : b.machines) {
    auto ready = co_await b.wait_ready(row, 5s);
    if (!ready) co_return false;
  }
  co_await fulmar::pause_for(2s);
  auto job = concat("job-", b.unique());
  auto items = review::make_items(job, "/jobs/", 3, 475, 2000);
  auto value = b.options.trouble ? forged_value() : std::string(plain_value);
  items[1].headers.insert(items[1].headers.begin(),
                          {.name = header_name, .value = value});
  for (const auto& row : items)
    it.sent[row.id] = "tenant-b";
  auto body = review::job_body(items);
  b.note(concat("tenant-b hands in batch job ", job, " ", body));
  auto what = review::outgoing{.method = "POST",
                               .path = concat("/jobs/", job),
                               .headers = {{"Fulmarpitch-Attempt-Id", job},
                                           {"X-Api-Key", "key-b"},
                                           {"Content-Type", "application/json"},
                                           {"Fulmarpitch-Deadline-Ms", "4000"}},
                               .body = std::move(body)};
  auto got = co_await b.call(b.machines.front().front(), std::move(what));
  b.note(concat("the batch job is answered ", got.status));
  if (!got.complete) co_return false;
  co_await fulmar::pause_for(4s);
  auto read = review::outgoing{.path = concat("/v1/lots/", job, "?after=0"),
                               .headers = {{"X-Api-Key", "key-b"}}};
  auto results = co_await b.call(b.machines.back().front(), std::move(read));
  b.note(concat("results: ", results.status, " ", results.body));
  co_return true;
}

}  // namespace

int main(int argc, char** argv) {
  auto it = state(review::read_options(argc, argv));
  it.bench.run([&it] { return play(it); });
}
