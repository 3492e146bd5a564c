// Sends online requests and a batch job, then reads every result back through
// another daemon and counts.

#include <glog/logging.h>

#include <boost/json.hpp>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fulmarpitch/core/settings.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/http.h"

namespace json = boost::json;

namespace {

constexpr auto usage = R"(Loads daemons and checks that each result stands once.

Usage:
  fulmar-load [options] --caller ADDRESS [--caller ADDRESS]...
  fulmar-load --help
  fulmar-load --version

Options:
  --caller ADDRESS    Callers' host and port of a daemon; may be repeated.
  --key TEXT          Key of an online caller [default: demo-key-1].
  --batch-key TEXT    Key of a batch caller [default: demo-key-2].
  --model NAME        Model to ask [default: demo-model].
  --requests N        Online requests to send [default: 10].
  --streams N         How many of them are streamed [default: 1].
  --no-repeat N       How many, after the streamed ones, may run only once
                      [default: 0].
  --engine ADDRESS    An engine stand-in to ask how often each request ran.
  --items N           Items of the batch job; 0 for none [default: 20].
  --max-tokens N      Tokens of each answer [default: 16].
  --pause TIME        Time between two requests [default: 10ms].
  --wait TIME         Longest wait for all results [default: 60s].
  --name TEXT         Word at the start of the last line [default: load].
  --help              Show this text.
  --version           Show the version.
)";

constexpr auto look_again = std::chrono::milliseconds(200);
constexpr std::size_t most_failed_reads = 50;
constexpr auto call_limit = std::chrono::seconds(60);

struct load_options {
  std::vector<std::string> callers;
  std::string key;
  std::string batch_key;
  std::string model;
  std::int64_t requests = 0;
  std::int64_t streams = 0;
  std::int64_t no_repeat = 0;
  std::string engine;
  std::int64_t items = 0;
  std::int64_t max_tokens = 0;
  fulmar::instant pause{};
  fulmar::instant wait{};
  std::string name;
};

struct tally {
  std::size_t accepted = 0;
  std::size_t results = 0;
  std::size_t missing = 0;
  std::size_t doubled = 0;
  std::size_t refused = 0;
  /// Requests sent again after their connection broke or a `not_run`.
  std::size_t resent = 0;
  /// Requests that may run once and whose outcome stayed unknown.
  std::size_t unknown = 0;
};

using answer_ptr = const absl::StatusOr<fulmar::http_response>&;
using take_answer = std::function<void(answer_ptr)>;

class load_run {
 public:
  load_run(fulmar::event_loop& loop, load_options options)
      : loop_(loop), options_(std::move(options)) {}

  void start() {
    if (options_.items > 0) {
      ++open_;
      upload();
    }
    send_next(0);
  }

  const tally& counts() const { return counts_; }

 private:
  bool is_late() const {
    return fulmar::event_loop::steady() - started_ >= options_.wait;
  }

  const std::string& caller(std::size_t index) const {
    return options_.callers[index % options_.callers.size()];
  }

  void call(const std::string& to, const std::string& key,
            fulmar::http_request request, take_answer take) {
    request.headers.push_back(
        {"Authorization", fulmar::concat("Bearer ", key)});
    fulmar::fetch(loop_,
                  {.address = to,
                   .request = std::move(request),
                   .idle_timeout = call_limit},
                  std::move(take));
  }

  bool is_no_repeat(std::int64_t index) const {
    return index >= options_.streams &&
           index < options_.streams + options_.no_repeat;
  }

  void send_next(std::int64_t index) {
    if (index == options_.requests) return;
    ++open_;
    send(index, static_cast<std::size_t>(index));
    loop_.after(options_.pause, [this, index] { send_next(index + 1); });
  }

  void send(std::int64_t index, std::size_t through) {
    auto body = json::object{{"model", options_.model},
                             {"prompt", fulmar::concat("request ", index)},
                             {"max_tokens", options_.max_tokens}};
    if (index < options_.streams) body["stream"] = true;
    auto request = fulmar::http_request{
        .method = "POST",
        .target = "/v1/completions",
        .headers = {{"Content-Type", "application/json"},
                    {"Idempotency-Key", fulmar::concat(run_name_, "-", index)}},
        .body = json::serialize(body)};
    if (is_no_repeat(index)) {
      request.headers.push_back({"Fulmar-Repeat", "never"});
    }
    call(caller(through), options_.key, std::move(request),
         [this, index, through](answer_ptr answer) {
           take_online(index, through, answer);
         });
  }

  void take_online(std::int64_t index, std::size_t through, answer_ptr answer) {
    auto not_run = answer.ok() && answer->status >= 429 &&
                   answer->body.find("\"not_run\"") != std::string::npos;
    if ((!answer.ok() || not_run) && !is_late()) {
      ++counts_.resent;
      loop_.after(look_again,
                  [this, index, through] { send(index, through + 1); });
      return;
    }
    auto unknown = answer.ok() && is_no_repeat(index) &&
                   answer->body.find("outcome_unknown") != std::string::npos;
    if (unknown) {
      ++counts_.unknown;
      finish_one();
      return;
    }
    if (!answer.ok() || answer->status != 200) {
      auto what =
          answer.ok() ? answer->body : std::string(answer.status().message());
      LOG(WARNING) << "request " << index << ": " << what;
      ++counts_.refused;
      finish_one();
      return;
    }
    ++counts_.accepted;
    auto id =
        std::string(fulmar::find_header(answer->headers, "fulmar-request-id"));
    if (is_no_repeat(index)) once_.insert(id);
    read_back(through + 1, id);
  }

  void read_back(std::size_t through, const std::string& id) {
    call(caller(through), options_.key,
         {.target = fulmar::concat("/v1/requests/", id)},
         [this, through, id](answer_ptr answer) {
           if (answer.ok() && answer->status == 200) {
             ++counts_.results;
             finish_one();
             return;
           }
           if (is_late()) {
             LOG(WARNING) << "no result of " << id;
             ++counts_.missing;
             finish_one();
             return;
           }
           loop_.after(look_again,
                       [this, through, id] { read_back(through + 1, id); });
         });
  }

  std::string item_lines() const {
    auto out = std::string();
    for (std::int64_t i = 0; i < options_.items; ++i) {
      auto body = json::object{{"model", options_.model},
                               {"prompt", fulmar::concat("item ", i)},
                               {"max_tokens", options_.max_tokens}};
      out += json::serialize(
          json::object{{"custom_id", fulmar::concat("item-", i)},
                       {"method", "POST"},
                       {"url", "/v1/completions"},
                       {"body", std::move(body)}});
      out += '\n';
    }
    return out;
  }

  void upload() {
    call(caller(0), options_.batch_key,
         {.method = "POST",
          .target = "/v1/files?filename=load.jsonl",
          .body = item_lines()},
         [this](answer_ptr answer) {
           if (!is_good("the upload", answer)) return;
           create_job(text_in(answer->body, "id"));
         });
  }

  void create_job(const std::string& file_id) {
    auto body = json::object{{"input_file_id", file_id},
                             {"endpoint", "/v1/completions"}};
    call(caller(0), options_.batch_key,
         {.method = "POST",
          .target = "/v1/batches",
          .body = json::serialize(body)},
         [this](answer_ptr answer) {
           if (!is_good("the job", answer)) return;
           counts_.accepted += static_cast<std::size_t>(options_.items);
           watch_job(text_in(answer->body, "id"));
         });
  }

  void watch_job(const std::string& id) {
    call(caller(next_++), options_.batch_key,
         {.target = fulmar::concat("/v1/batches/", id)},
         [this, id](answer_ptr answer) {
           auto status = answer.ok() && answer->status == 200
                             ? text_in(answer->body, "status")
                             : std::string();
           if (status == "completed" || is_late()) {
             read_results(id, "-output");
             return;
           }
           loop_.after(look_again, [this, id] { watch_job(id); });
         });
  }

  void read_results(const std::string& id, const std::string& suffix) {
    call(caller(next_++), options_.batch_key,
         {.target = fulmar::concat("/v1/files/", id, suffix, "/content")},
         [this, id, suffix](answer_ptr answer) {
           if (!answer.ok() || answer->status != 200) {
             if (++reads_failed_ < most_failed_reads) {
               loop_.after(look_again,
                           [this, id, suffix] { read_results(id, suffix); });
               return;
             }
           } else {
             count_lines(answer->body);
           }
           if (suffix == "-output") {
             read_results(id, "-errors");
             return;
           }
           auto wanted = static_cast<std::size_t>(options_.items);
           counts_.missing += wanted - std::min(wanted, seen_.size());
           finish_one();
         });
  }

  void count_lines(const std::string& body) {
    auto from = std::size_t{0};
    for (auto end = body.find('\n'); end != std::string::npos;
         end = body.find('\n', from)) {
      auto id = text_in(body.substr(from, end - from), "custom_id");
      from = end + 1;
      if (seen_.insert(id).second) {
        ++counts_.results;
      } else {
        ++counts_.doubled;
      }
    }
  }

  bool is_good(const char* what, answer_ptr answer) {
    if (answer.ok() && answer->status == 200) return true;
    LOG(WARNING) << what << " was refused: "
                 << (answer.ok() ? answer->body
                                 : std::string(answer.status().message()));
    ++counts_.refused;
    finish_one();
    return false;
  }

  static std::string text_in(const std::string& body, std::string_view field) {
    auto ec = json::error_code();
    auto value = json::parse(body, ec);
    if (ec || !value.is_object()) return {};
    const auto* it =
        value.as_object().if_contains({field.data(), field.size()});
    return it != nullptr && it->is_string() ? std::string(it->as_string())
                                            : std::string();
  }

  void finish_one() {
    if (--open_ > 0) return;
    if (options_.engine.empty()) {
      loop_.stop();
      return;
    }
    fulmar::fetch(
        loop_,
        {.address = options_.engine, .request = {.target = "/fake/runs"}},
        [this](answer_ptr answer) {
          if (answer.ok()) count_runs(answer->body);
          loop_.stop();
        });
  }

  void count_runs(const std::string& body) {
    auto runs = json::parse(body);
    for (const auto& id : once_) {
      const auto* n = runs.as_object().if_contains(id);
      if (n != nullptr && n->to_number<std::uint64_t>() > 1) ++counts_.doubled;
    }
  }

  fulmar::event_loop& loop_;
  load_options options_;
  tally counts_;
  std::set<std::string> seen_;
  /// Requests that may run once.
  std::set<std::string> once_;
  std::string run_name_ =
      fulmar::concat("load-", fulmar::event_loop::now().count());
  fulmar::instant started_ = fulmar::event_loop::steady();
  std::size_t next_ = 1;
  std::size_t reads_failed_ = 0;
  std::size_t open_ = 0;
};

load_options read(fulmar::settings& from) {
  using namespace std::chrono_literals;
  constexpr std::int64_t most = 10'000'000;
  return {.callers = from.list("--caller"),
          .key = from.required("--key"),
          .batch_key = from.required("--batch-key"),
          .model = from.required("--model"),
          .requests = from.number("--requests", 0, most),
          .streams = from.number("--streams", 0, most),
          .no_repeat = from.number("--no-repeat", 0, most),
          .engine = from.text("--engine"),
          .items = from.number("--items", 0, most),
          .max_tokens = from.number("--max-tokens", 1, 100'000),
          .pause = from.duration("--pause", 0s, 1h),
          .wait = from.duration("--wait", 1s, 24h),
          .name = from.required("--name")};
}

}  // namespace

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  auto values = fulmar::settings::parse(usage, {argv + 1, argv + argc});
  auto options = read(values);
  if (!values.errors().empty()) return fulmar::report_errors(values);
  auto name = options.name;
  auto loop = fulmar::event_loop();
  auto run = load_run(loop, std::move(options));
  run.start();
  loop.run();
  const auto& it = run.counts();
  std::printf("%s: resent %zu, refused %zu, unknown %zu\n", name.c_str(),
              it.resent, it.refused, it.unknown);
  std::printf("%s: accepted %zu, results %zu, missing %zu, doubled %zu\n",
              name.c_str(), it.accepted, it.results, it.missing, it.doubled);
  auto whole = it.accepted == it.results && it.missing == 0 &&
               it.doubled == 0 && it.refused == 0;
  return whole ? 0 : 1;
}
