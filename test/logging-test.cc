#include "fulmarpitch/daemon/logging.h"

#include <glog/logging.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <iostream>
#include <sstream>

using namespace fulmar;

namespace {

/// Standard error, redirected for the object's life.
class captured_errors {
 public:
  captured_errors() : before_(std::cerr.rdbuf(text_.rdbuf())) {}
  ~captured_errors() { std::cerr.rdbuf(before_); }
  captured_errors(const captured_errors&) = delete;
  captured_errors& operator=(const captured_errors&) = delete;
  std::string text() const { return text_.str(); }

 private:
  std::ostringstream text_;
  std::streambuf* before_;
};

}  // namespace

TEST_CASE("each of glog's lines becomes one JSON object with its fields") {
  auto out = captured_errors();
  {
    auto log = logging({.program = "test", .format = log_format::json});
    auto scope = log_scope({.request_id = "r1", .config_version = 9});
    LOG(WARNING) << "refused\n{\"level\":\"forged\"}";
  }
  auto text = out.text();
  REQUIRE(std::count(text.begin(), text.end(), '\n') == 1);
  auto it = boost::json::parse(text).as_object();
  CHECK(it.at("level") == "WARNING");
  CHECK(it.at("request_id") == "r1");
  CHECK(it.at("config_version") == 9);
  CHECK(it.at("message") == "refused\n{\"level\":\"forged\"}");
  CHECK(it.at("file") == "logging-test.cc");
}

TEST_CASE("a line of text holds the fields and stays one line") {
  auto line = log_line{.level = "INFO",
                       .time = instant(5),
                       .file = "a.cc",
                       .line = 3,
                       .message = "one\ntwo",
                       .fields = {.request_id = "r1", .pool = "p"}};
  CHECK(format_log_line(log_format::text, line) ==
        "5 INFO a.cc:3 one\\x0atwo request_id=r1 pool=p");
}

TEST_CASE("scopes nest and end") {
  CHECK(log_scope::current().request_id.empty());
  {
    auto outer = log_scope({.request_id = "a"});
    {
      auto inner = log_scope({.request_id = "b"});
      CHECK(log_scope::current().request_id == "b");
    }
    CHECK(log_scope::current().request_id == "a");
  }
  CHECK(log_scope::current().request_id.empty());
}
