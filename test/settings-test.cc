#include "fulmarpitch/core/settings.h"

#include <catch2/catch.hpp>

#include "fulmarpitch/core/types.h"

namespace fulmar {
namespace {

constexpr auto usage = R"(A program.

Usage:
  program [options] [--peer ADDRESS]...
  program run <file> [options]

Options:
  --port N          Port [default: 8080].
  --wait TIME       Time to wait [default: 5s].
  --listen ADDRESS  Address [default: 127.0.0.1:80].
  --kind KIND       Kind of the work
                    [default: online].
  --json            Print JSON.
  --peer ADDRESS    A peer.
)";

environment with(
    const std::map<std::string, std::string, std::less<>>& values) {
  return [values](std::string_view name) -> std::optional<std::string> {
    const auto it = values.find(name);
    if (it == values.end()) return std::nullopt;
    return it->second;
  };
}

settings parse(const std::vector<std::string>& args,
               const environment& env = with({})) {
  return settings::parse(usage, args, env);
}

TEST_CASE("a flag goes before its variable, and that before the default") {
  const auto env = with({{"FULMAR_PORT", "9000"}});
  CHECK(parse({}).number("--port", 1, 65535) == 8080);
  CHECK(parse({}, env).number("--port", 1, 65535) == 9000);
  CHECK(parse({"--port", "8080"}, env).number("--port", 1, 65535) == 8080);
  CHECK(parse({"--port=7"}, env).number("--port", 1, 65535) == 7);
}

TEST_CASE("switches and lists come from variables too") {
  const auto env = with({{"FULMAR_JSON", "1"}, {"FULMAR_PEER", "a:1,b:2"}});
  CHECK(parse({}, env).has("--json"));
  CHECK_FALSE(parse({}).has("--json"));
  CHECK(parse({}, env).list("--peer") ==
        std::vector<std::string>{"a:1", "b:2"});
  CHECK(parse({"--peer", "c:3"}, env).list("--peer") ==
        std::vector<std::string>{"c:3"});
  CHECK(parse({}, with({{"FULMAR_JSON", "yes"}})).errors().size() == 1);
}

TEST_CASE("a wrong value is reported with flag, value and what is allowed") {
  struct fault_case {
    std::vector<std::string> args;
    std::string flag;
    std::string allowed;
  };
  const auto cases = std::vector<fault_case>{
      {{"--port", "0"}, "--port", "from 1 to 65535"},
      {{"--port", "80x"}, "--port", "from 1 to 65535"},
      {{"--port", "99999999999999999999"}, "--port", "from 1 to 65535"},
      {{"--wait", "5"}, "--wait", "from 100ms to 1m"},
      {{"--wait", "2m"}, "--wait", "from 100ms to 1m"},
      {{"--wait", "9999999999999999h"}, "--wait", "from 100ms to 1m"},
      {{"--listen", "localhost"}, "--listen", "127.0.0.1:8080"},
      {{"--listen", "::1:80"}, "--listen", "127.0.0.1:8080"},
      {{"--listen", "a:65536"}, "--listen", "127.0.0.1:8080"},
      {{"--kind", "slow"}, "--kind", "one of online batch service"},
  };
  for (const auto& it : cases) {
    auto values = parse(it.args);
    values.number("--port", 1, 65535);
    values.duration("--wait", std::chrono::milliseconds(100),
                    std::chrono::minutes(1));
    values.address("--listen");
    values.choice("--kind", work_kind_names);
    CAPTURE(it.args);
    REQUIRE(values.errors().size() == 1);
    const auto& error = values.errors().front();
    CHECK(error.flag == it.flag);
    CHECK(error.value == it.args.back());
    CHECK_THAT(error.allowed, Catch::Matchers::Contains(it.allowed));
    CHECK(report_errors(values) == 2);
  }
}

TEST_CASE("a command line that does not fit the usage is an error") {
  CHECK(parse({"--bogus"}).errors().size() == 1);
  CHECK(parse({"run"}).errors().size() == 1);
  CHECK(parse({"run", "x"}).text("<file>") == "x");
  CHECK(parse({"run", "x"}).has("run"));
}

}  // namespace
}  // namespace fulmar
