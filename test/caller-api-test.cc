#include "fulmarpitch/daemon/caller-api.h"

#include <catch2/catch.hpp>

#include "fulmarpitch/core/errors.h"
#include "sample-declarations.h"

using namespace fulmar;

namespace {

/// Keeps the answer that a request gets.
class kept_exchange : public http_exchange {
 public:
  explicit kept_exchange(http_request request) : request_(std::move(request)) {}

  std::string remote_address() const override { return "127.0.0.1"; }
  const http_request& request() const override { return request_; }
  void respond(http_response response) override { answer = response; }
  void start_stream(http_response head) override { answer = head; }
  void write(std::string) override {}
  void finish() override {}
  void abort() override {}
  void close_after() override {}
  std::size_t unsent_bytes() const override { return 0; }
  void on_closed(std::function<void()>) override {}
  void read_body(
      std::function<void(absl::StatusOr<std::string>)> take) override {
    take(std::string());
  }

  std::optional<http_response> answer;

 private:
  http_request request_;
};

}  // namespace

TEST_CASE("a request that another daemon took over is led to its one result") {
  auto loop = event_loop();
  auto requests = entry({.loop = &loop});
  auto declared = std::make_shared<configuration>(sample_declarations());
  declared->targets = {
      {.name = "t", .address = "127.0.0.1:1", .models = {"m"}}};
  auto api = caller_api(
      {.loop = &loop,
       .requests = &requests,
       .self = "here",
       .data_centre = "dc",
       .in_force = [&] { return declared; },
       .claim =
           [&](const claim_record& it, const callback<claim_outcome>& take) {
             // The other daemon asks between the claim and its answer.
             requests.renounce(it.claimant);
             take(claim_outcome{.granted = true, .claimant = it.claimant});
           },
       .find_result =
           [](const std::string& id, const callback<result_record>& take) {
             take(result_record{.request_id = id, .body = "the one result"});
           },
       .is_alive = [](const std::string&) { return true; },
       .is_ready = [] { return true; }});
  auto exchange = std::make_shared<kept_exchange>(
      http_request{.method = "POST",
                   .target = "/v1/completions",
                   .headers = {{"Authorization", "Bearer key-0"},
                               {"Idempotency-Key", "k"},
                               {"Content-Type", "application/json"}},
                   .body = R"({"model":"m","prompt":"p","max_tokens":4})"});
  api.serve(exchange);
  REQUIRE(exchange->answer);
  CAPTURE(exchange->answer->body);
  CHECK(exchange->answer->status == 200);
  CHECK(exchange->answer->body == "the one result");
}
