#include "platform/decoding.h"

#include <catch2/catch.hpp>
#include <map>

#include "fulmarpitch/core/text.h"
#include "platform/job-bodies.h"

using namespace fulmar;
using namespace fulmar::platform;
using namespace std::chrono_literals;

namespace {

constexpr auto settings_text = R"({"nodeName":"vm-1","ip":"10.1.0.10",
  "zone":"dc-a","region":"north","zones":{"dc-a":"north","dc-b":"south"},
  "listen":{"front":"10.1.0.10:81","ready":"10.1.0.10:82",
            "control":"10.1.0.10:83"},
  "portRange":[7720,7735],"seeds":["10.1.0.10:83","10.2.0.4:83"],
  "provider":{"addr":"10.9.0.1:90","rowBytes":1000},"limits":{"maxFds":4100},
  "contractParams":{"graceS":8,"drainMs":2500,"quotaOver":0.2},"new":[1]})";

}  // namespace

TEST_CASE("settings are decoded into the project's words") {
  auto it = decode_settings(settings_text);
  REQUIRE(it.ok());
  CHECK(it->name == "vm-1");
  CHECK(it->data_centre == "dc-a");
  CHECK(it->regions.at("dc-b") == "south");
  CHECK(it->seeds == std::vector<std::string>{"10.1.0.10", "10.2.0.4"});
  CHECK(it->first_peer_port == 7720);
  CHECK(it->store_address == "10.9.0.1:90");
  CHECK(it->limits.row_bytes == 1000);
  CHECK(it->max_descriptors == 4100);
  CHECK(it->drain_delay == 2500ms);
  CHECK(it->quota_slack == 0.2);
}

TEST_CASE("settings that lack what a daemon needs are refused by name") {
  auto it = decode_settings(R"({"nodeName":"vm"})");
  REQUIRE_FALSE(it.ok());
  CHECK(std::string(it.status().message()).find("ip") != std::string::npos);
  CHECK_FALSE(decode_settings("[]").ok());
  CHECK_FALSE(decode_settings("{").ok());
}

TEST_CASE("a configuration is decoded with its routes, splits and limits") {
  auto it = decode_configuration(R"({"version":7,"routes":[
    {"name":"a","host":"h","pathPrefix":"/p/","kind":"stream","timeoutMs":5000,
     "goalMs":300,"attempts":2,"resumable":true,
     "split":[{"service":"s","weight":90},{"service":"t","weight":10}]},
    {"name":"b","host":"h","pathPrefix":"/q/","kind":"batch","service":"s",
     "dueMs":18000,"maxWaitS":60,"maxQueued":1900},
    {"name":"c","host":"h","pathPrefix":"/r/","kind":"unheard-of"}, 5],
    "services":[{"name":"s","healthPath":"/healthz","maxConns":370}],
    "limits":{"maxBodyBytes":99,"idleTimeoutMs":15000}})");
  REQUIRE(it.ok());
  CHECK(it->version == 7);
  REQUIRE(it->routes.size() == 3);
  CHECK(it->routes[0].repeatable());
  CHECK(it->routes[0].timeout == 5s);
  CHECK(it->routes[0].shares[1].weight == 10);
  CHECK(it->routes[1].kind == serving::route_kind::batch);
  CHECK(it->routes[1].shares[0].service == "s");
  CHECK(it->routes[1].due == 18s);
  CHECK(it->routes[1].max_wait == 60s);
  CHECK(it->routes[1].max_waiting_tokens == 1900);
  CHECK_FALSE(it->routes[2].repeatable());
  CHECK(it->services[0].max_connections == 370);
  CHECK(it->limits.max_body_bytes == 99);
  CHECK(it->limits.idle_timeout == 15s);
}

TEST_CASE("a route tells how long its clients wait for the next event") {
  auto max_silence = [](const std::string& fields) {
    auto it = decode_configuration(
        R"({"version":1,"routes":[{"name":"a","kind":"stream")" + fields +
        "}]}");
    return it->routes.at(0).max_silence;
  };
  CHECK(max_silence("") == 2s);
  CHECK(max_silence(R"(,"goalMs":300,"gapAimMs":200)") == 2s);
  CHECK(max_silence(R"(,"goalMs":300,"gapAimMs":500)") == 4s);
  CHECK(max_silence(R"(,"goalMs":900,"gapAimMs":200)") == 3600ms);
}

TEST_CASE("a configuration without a version is refused") {
  CHECK_FALSE(decode_configuration(R"({"routes":[]})").ok());
  CHECK_FALSE(decode_configuration("bytes").ok());
}

TEST_CASE("an entry of a target is decoded, or names no target to use") {
  auto it = decode_target("i-1", R"({"service":"s","addr":"10.0.0.9:80",
    "zone":"dc-a","slots":8,"state":"draining","born":1700000000000})");
  REQUIRE(it.ok());
  CHECK(it->leaving);
  CHECK(it->slots == 8);
  CHECK(it->started_ms == 1700000000000);
  auto bad =
      GENERATE("", "null", "{}", R"({"service":"s","addr":"a:1","slots":8})",
               R"({"service":"s","addr":"a:1","slots":8,"state":"odd"})",
               R"({"service":7,"addr":"a:1","slots":8,"state":"ready"})",
               R"({"service":"s","addr":"a:1","slots":"8","state":"ready"})");
  CHECK_FALSE(decode_target("i-2", bad).ok());
}

namespace {

std::string nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

/// An entry of a target with one field replaced.
std::string entry_with(const std::string& name, const std::string& value) {
  auto fields = std::map<std::string, std::string>{
      {"service", R"("s")"}, {"addr", R"("10.0.0.9:80")"}, {"zone", R"("dc")"},
      {"slots", "8"},        {"state", R"("ready")"},      {"born", "5"}};
  fields[name] = value;
  auto out = std::string("{");
  for (const auto& [key, text] : fields)
    out += concat(out.size() > 1 ? "," : "", "\"", key, "\":", text);
  return out + "}";
}

}  // namespace

TEST_CASE("an entry with an odd value names no target to use") {
  CHECK(decode_target("i-1", entry_with("slots", "8")).ok());
  CHECK(decode_target("i-1", entry_with("seq", "1e300")).ok());
  struct odd_field {
    const char* name;
    std::string value;
  };
  auto it = GENERATE(
      values<odd_field>({{"slots", "1e300"},
                         {"slots", "99999999999999999999"},
                         {"slots", "4294967304"},
                         {"slots", "-8"},
                         {"slots", "8.5"},
                         {"slots", "1e999"},
                         {"born", "1e300"},
                         {"born", R"("5")"},
                         {"born", "-1"},
                         {"addr", R"("10.0.0.9:99999")"},
                         {"addr", R"("10.0.0.9:0")"},
                         {"addr", R"("10.0.0.9:-80")"},
                         {"addr", R"("10.0.0.9:")"},
                         {"addr", R"("10.0.0.9")"},
                         {"addr", R"("somewhere:80")"},
                         {"addr", R"("10.0.0.9:18446744073709551696")"},
                         {"seq", nested(100'000)},
                         {"service", nested(20)}}));
  CAPTURE(it.name, it.value.substr(0, 40));
  CHECK_FALSE(decode_target("i-2", entry_with(it.name, it.value)).ok());
}

TEST_CASE("numbers beyond their range do not reach the configuration") {
  auto it = decode_configuration(R"({"version":7,"routes":[
    {"name":"a","timeoutMs":1e300,"goalMs":-1e300,"attempts":1e300,
     "maxWaitS":1e18}],"limits":{"maxBodyBytes":1e300}})");
  REQUIRE(it.ok());
  const auto& route = it->routes.at(0);
  CHECK(route.timeout == 0ms);
  CHECK(route.goal == 0ms);
  CHECK(route.attempts == 1);
  CHECK(route.max_wait == 0s);
  CHECK(it->limits.max_body_bytes == serving::client_limits().max_body_bytes);
  CHECK_FALSE(decode_settings(R"({"portRange":[70000,-1]})").ok());
}

TEST_CASE("a submitted job is decoded, or refused with its fault") {
  auto it = decode_submission(R"({"requests":[{"id":"a","path":"/p/1",
    "headers":{"X":"1","Y":2},"body":"q83vEjRWeJA=","tokens":940}]})");
  REQUIRE(it.ok());
  REQUIRE(it->size() == 1);
  CHECK(it->front().headers.size() == 1);
  CHECK(it->front().body.size() == 8);
  CHECK(it->front().tokens == 940);
  auto bad = GENERATE("", "{}", R"({"requests":[]})", R"({"requests":[1]})",
                      R"({"requests":[{"id":"a"}]})",
                      R"({"requests":[{"id":"a","path":"/","body":"*"}]})",
                      R"({"requests":[{"id":"a","path":"/"},
                                      {"id":"a","path":"/"}]})");
  CHECK_FALSE(decode_submission(bad).ok());
}

TEST_CASE("results are encoded as clients read them") {
  auto results = std::vector<serving::item_result>{
      {.id = "a", .end = serving::item_end::done, .output = "x\ny"}};
  CHECK(encode_results(4, results, 3) ==
        R"({"total":4,"next":3,"results":[{"id":"a","state":"done",)"
        R"("output":"x\ny"}]})");
}

TEST_CASE("an entry names the version of its target's software") {
  auto entry = [](const std::string& field) {
    return decode_target(
        "i-1", R"({"service":"s","addr":"10.0.0.9:80","zone":"z","slots":8,)" +
                   field + R"("state":"ready"})");
  };
  CHECK(entry(R"("version":"v1.3",)")->version == "v1.3");
  CHECK(entry("")->version.empty());
  const auto* odd =
      GENERATE(R"("version":7,)", R"("version":null,)", R"("version":["v1"],)");
  CHECK_FALSE(entry(odd).ok());
  auto longest = std::string(128, 'v');
  CHECK(entry(R"("version":")" + longest + R"(",)").ok());
  CHECK_FALSE(entry(R"("version":")" + longest + R"(v",)").ok());
}

TEST_CASE("a target's load counts what runs and what waits") {
  CHECK(decode_target_load(R"({"stage":"both","waiting":1,"running":12})") ==
        13);
  CHECK(decode_target_load(R"({"waiting":18446744073709551615,"running":0})") ==
        1'000'000);
  const auto* odd = GENERATE(
      "", "[]", "{}", R"({"running":1})", R"({"running":"1","waiting":0})",
      R"({"running":-1,"waiting":0})", R"({"running":1.5,"waiting":0})");
  CHECK_FALSE(decode_target_load(odd));
}
