#include "stage.h"

#include <absl/strings/numbers.h>
#include <stdlib.h>
#include <unistd.h>

#include <array>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <filesystem>

#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/http-link.h"
#include "fulmarpitch/net/url.h"

namespace review {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using fulmar::concat;
using fulmar::event_loop;
using fulmar::find_header;

constexpr auto program = "target/fulmar-front";
constexpr auto call_timeout = std::chrono::seconds(6);
constexpr auto max_body = std::size_t{4} * 1024 * 1024;

/// Differs from run to run, so that several may run at once.
std::string address_of(std::size_t n) {
  auto id = static_cast<std::uint32_t>(::getpid());
  return concat("127.", 32 + id % 64, ".", (id / 64) % 256, ".", n + 1);
}

/// Reads the ID:TOKENS entries of a prompt.
std::vector<prompt_part> parts_of(std::string_view text) {
  auto out = std::vector<prompt_part>();
  while (!text.empty()) {
    auto entry = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), entry.size() + 1));
    auto mark = entry.find(':');
    if (mark == std::string_view::npos) continue;
    auto tokens = 0.0;
    (void)absl::SimpleAtod(std::string(entry.substr(mark + 1)), &tokens);
    out.push_back({.id = std::string(entry.substr(0, mark)), .tokens = tokens});
  }
  return out;
}

json::object settings_of(const daemon& it, const std::string& seed,
                         const std::string& store) {
  return {{"nodeName", it.name},
          {"role", "fulmar-front"},
          {"machineClass", "front"},
          {"serves", {"front", "control"}},
          {"ip", it.ip},
          {"zone", "erie-toledo"},
          {"region", "erie-west"},
          {"zones", {{"erie-toledo", "erie-west"}}},
          {"listen",
           {{"front", concat(it.ip, ":8161")},
            {"ready", concat(it.ip, ":8167")},
            {"control", concat(it.ip, ":8166")}}},
          {"portRange", {7720, 7735}},
          {"seeds", json::array{concat(seed, ":8166")}},
          {"bootstrap", true},
          {"lossCounts", false},
          {"limits",
           {{"cpuShare", 0.5},
            {"cores", 1},
            {"memoryMb", 140},
            {"maxFds", 8200},
            {"linkMbps", 1000.0},
            {"diskMb", 0}}},
          {"discovery", "platform"},
          {"entry", "vip"},
          {"heartbeatMs", heartbeat.count()},
          {"contractParams",
           {{"contactMs", 4000},
            {"ackMs", 5000},
            {"drainMs", 3000},
            {"graceS", 8},
            {"applyMs", 3000},
            {"finishS", 18},
            {"statusS", 120},
            {"cancelMs", 3000},
            {"settleMs", 1000},
            {"quotaOver", 0.1}}},
          {"provider",
           {{"addr", store},
            {"form", "table"},
            {"writesPerS", 800},
            {"readsPerS", 2000},
            {"rowBytes", 65536},
            {"historyS", 20},
            {"blobBytes", 8388608}}}};
}

}  // namespace

std::string event_data(const std::string& id, std::uint32_t event,
                       const std::string& version) {
  return concat(id, ":", event, " ", version);
}

runner::runner(stage& on, runner_options options)
    : stage_(on), options_(std::move(options)) {}

std::string runner::address() const {
  return concat("127.0.0.1:", server_->port());
}

void runner::start() {
  listen(0);
  put_entry();
  // Runners renew their entries at different moments.
  auto phase = std::hash<std::string>()(options_.id) %
               static_cast<std::size_t>(heartbeat.count());
  stage_.loop().after(std::chrono::milliseconds(phase),
                      [weak = weak_from_this()] {
                        if (auto it = weak.lock()) it->renew();
                      });
}

void runner::listen(std::uint16_t port) {
  server_ = std::make_unique<fulmar::http_server>(
      stage_.loop(), fulmar::http_server_options{.port = port},
      [weak = weak_from_this()](const auto& client) {
        if (auto it = weak.lock()) it->take(client);
      });
  if (!server_->start().ok()) throw std::runtime_error("a runner can't listen");
}

void runner::stop(std::string_view how) {
  server_->stop_accepting();
  server_->close_idle();
  for (auto& weak : runs_) {
    auto it = weak.lock();
    if (!it || it->gone) continue;
    it->client->abort();
    end(*it, how);
  }
}

void runner::restart(instant down, std::string version) {
  stage_.note(concat("runner ", options_.id, " crashes"));
  auto port = server_->port();
  down_ = true;
  stop("is cut by the crash");
  stage_.loop().after(down, [self = shared_from_this(), port,
                             version = std::move(version)] {
    self->down_ = false;
    self->options_.version = version;
    self->born_ += 10'000;
    self->listen(port);
    self->put_entry();
    self->stage_.note(concat("runner ", self->options_.id,
                             " is back under its id, with version ", version));
  });
}

void runner::renew() {
  if (ended_) return;
  if (!down_) put_entry();
  stage_.loop().after(heartbeat, [weak = weak_from_this()] {
    if (auto it = weak.lock()) it->renew();
  });
}

instant runner::has_for(const std::string& id) const {
  for (const auto& weak : runs_) {
    auto it = weak.lock();
    if (it && !it->gone && it->id == id)
      return event_loop::steady() - it->began;
  }
  return {};
}

void runner::put_entry() {
  auto model = json::object{{"name", "m"},
                            {"version", options_.weights},
                            {"adapters", json::array()}};
  stage_.store().put(
      "servers", options_.id,
      json::serialize(json::object{{"service", options_.service},
                                   {"addr", address()},
                                   {"zone", options_.zone},
                                   {"version", options_.version},
                                   {"slots", options_.slots},
                                   {"state", "ready"},
                                   {"coldLeftMs", 0},
                                   {"stage", "both"},
                                   {"models", json::array{std::move(model)}},
                                   {"born", born_},
                                   {"seq", ++sequence_}}));
}

void runner::crash() {
  stage_.note(concat("runner ", options_.id, " crashes, for good"));
  ended_ = true;
  stop("is cut by the crash");
  // The platform removes the entry after three intervals of silence.
  stage_.loop().after(3 * heartbeat, [weak = weak_from_this()] {
    auto it = weak.lock();
    if (!it) return;
    it->stage_.store().remove("servers", it->options_.id);
    it->stage_.note(concat("entry of runner ", it->options_.id, " is removed"));
  });
}

void runner::end(run& it, std::string_view how) {
  if (std::exchange(it.gone, true)) return;
  if (it.reads && options_.prefill_per_ms > 0) keep_read(it);
  --running_;
  auto now = event_loop::steady();
  // A run that its sender ends within a second doesn't count as had.
  if (now - it.began > std::chrono::seconds(1) || how == "is finished")
    stage_.last_had[it.id] = now;
  stage_.note(concat("runner ", options_.id, ": ", it.id, " ", how));
}

void runner::take(const std::shared_ptr<fulmar::http_exchange>& client) {
  const auto& request = client->request();
  auto id = std::string(find_header(request.headers, "Fulmarpitch-Attempt-Id"));
  auto instance = fulmar::http_header{"Fulmarpitch-Instance-Id", options_.id};
  if (ended_ || down_) return client->abort();
  if (request.target == "/healthz")
    return client->respond({.headers = {instance}});
  if (request.target == "/v1/report") {
    auto body = json::serialize(
        json::object{{"stage", "both"}, {"waiting", 0}, {"running", running_}});
    return client->respond({.headers = {{"Content-Type", "application/json"}},
                            .body = std::move(body)});
  }
  auto echo = fulmar::http_header{"Fulmarpitch-Attempt-Id", id};
  if (id.empty()) {
    stage_.note(concat("runner ", options_.id, ": a request without an id at ",
                       request.target, " gets 400"));
    return client->respond(
        {.status = 400, .headers = {{"Fulmarpitch-Not-Run", "1"}}});
  }
  auto expected = find_header(request.headers, "Fulmarpitch-Expect-Instance");
  if (!expected.empty() && expected != options_.id)
    return client->respond({.status = 421, .headers = {echo, instance}});
  // Weights of another version than the request expects.
  auto weights = 0;
  auto wanted = find_header(request.headers, "Fulmarpitch-Expect-Version");
  if (absl::SimpleAtoi(std::string(wanted), &weights) &&
      weights != options_.weights) {
    stage_.note(concat("runner ", options_.id, ": ", id, " gets 421, expects ",
                       "weights ", weights));
    return client->respond({.status = 421, .headers = {echo, instance}});
  }
  if (running_ >= options_.slots) {
    return client->respond(
        {.status = 503, .headers = {echo, {"Fulmarpitch-Not-Run", "1"}}});
  }
  auto last = std::uint32_t{0};
  auto resumed = find_header(request.headers, "Last-Event-Id");
  (void)absl::SimpleAtoi(std::string(resumed), &last);
  auto it = std::make_shared<run>();
  it->client = client;
  it->id = id;
  runs_.remove_if([](const auto& weak) { return weak.expired(); });
  runs_.push_back(it);
  ++running_;
  stage_.ran[id] = event_loop::steady();
  stage_.note(concat("runner ", options_.id, ": ", id, " begins at ",
                     request.target, " behind event ", last));
  client->on_closed(
      [self = shared_from_this(), it] { self->end(*it, "is dropped"); });
  it->parts =
      parts_of(find_header(request.headers, "Fulmarpitch-Prompt-Prefix"));
  it->began = event_loop::steady();
  it->reads = true;
  auto unread = options_.prefill_per_ms > 0 ? unread_tokens(it->parts) : 0.0;
  auto reading = std::chrono::duration<double, std::milli>(
      unread > 0 ? unread / options_.prefill_per_ms : 0.0);
  stage_.loop().after(std::chrono::duration_cast<instant>(reading),
                      [self = shared_from_this(), it, last] {
                        if (!it->gone) self->begin(it, last + 1);
                      });
}

double runner::unread_tokens(const std::vector<prompt_part>& parts) const {
  auto out = 0.0;
  for (const auto& it : parts) {
    auto found = kept_.find(it.id);
    // A part counts as kept only behind parts that are kept whole.
    auto kept = found != kept_.end() && out == 0 ? found->second : 0.0;
    out += it.tokens - std::min(kept, it.tokens);
  }
  return out;
}

void runner::keep_read(const run& it) {
  auto time = event_loop::steady() - it.began;
  auto read = std::chrono::duration<double, std::milli>(time).count() *
              options_.prefill_per_ms;
  for (const auto& part : it.parts) {
    auto& kept = kept_[part.id];
    auto more = std::min(read, part.tokens - kept);
    kept += more;
    read -= more;
    if (kept < part.tokens) return;
  }
}

void runner::begin(const std::shared_ptr<run>& it, std::uint32_t event) {
  keep_read(*it);
  it->reads = false;
  it->client->start_stream(
      {.headers = {
           {"Fulmarpitch-Attempt-Id", it->id},
           {"Fulmarpitch-Server-Stamp", "s"},
           {"Fulmarpitch-Weight-Versions", std::to_string(options_.weights)},
           {"Content-Type", "text/event-stream"}}});
  step(it, event);
}

void runner::step(const std::shared_ptr<run>& it, std::uint32_t event) {
  stage_.loop().after(options_.event_time, [self = shared_from_this(), it,
                                            event] {
    if (it->gone) return;
    if (event > self->options_.events) {
      self->end(*it, "is finished");
      self->stage_.last_finished = event_loop::steady();
      self->stage_.finished.insert(it->id);
      it->client->finish();
      return;
    }
    it->client->write(concat(
        "id: ", event,
        "\ndata: ", event_data(it->id, event, self->options_.version), "\n\n"));
    self->step(it, event + 1);
  });
}

struct store_path::carried {
  fulmar::tcp::socket near;
  fulmar::tcp::socket far;
  bool silent = false;
};

store_path::store_path(fulmar::event_loop& loop, std::string store)
    : io_(fulmar::io_of(loop)),
      acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}),
      store_(std::move(store)) {}

void store_path::start() {
  asio::co_spawn(
      io_, [self = shared_from_this()] { return self->accept(); },
      asio::detached);
}

std::string store_path::address() const {
  return concat("127.0.0.1:", acceptor_.local_endpoint().port());
}

std::size_t store_path::silence() {
  auto out = std::size_t{0};
  for (const auto& weak : open_) {
    auto it = weak.lock();
    if (!it || it->silent) continue;
    it->silent = true;
    ++out;
  }
  return out;
}

task<void> store_path::accept() {
  for (;;) {
    auto [ec, socket] = co_await acceptor_.async_accept(fulmar::as_result);
    if (ec) co_return;
    auto it = std::make_shared<carried>(
        carried{.near = std::move(socket), .far = fulmar::tcp::socket(io_)});
    open_.remove_if([](const auto& weak) { return weak.expired(); });
    open_.push_back(it);
    asio::co_spawn(
        io_, [self = shared_from_this(), it] { return self->carry(it); },
        asio::detached);
  }
}

task<void> store_path::carry(std::shared_ptr<carried> it) {
  auto mark = store_.rfind(':');
  auto port = std::uint32_t{0};
  (void)absl::SimpleAtoi(store_.substr(mark + 1), &port);
  auto to =
      fulmar::tcp::endpoint(asio::ip::make_address(store_.substr(0, mark)),
                            static_cast<std::uint16_t>(port));
  auto [ec] = co_await it->far.async_connect(to, fulmar::as_result);
  if (ec) co_return;
  auto ignored = boost::system::error_code();
  it->near.set_option(fulmar::tcp::no_delay(true), ignored);
  it->far.set_option(fulmar::tcp::no_delay(true), ignored);
  asio::co_spawn(
      io_, [self = shared_from_this(), it] { return self->pump(it, true); },
      asio::detached);
  co_await pump(it, false);
}

task<void> store_path::pump(std::shared_ptr<carried> it, bool outward) {
  constexpr auto answer_time = std::chrono::milliseconds(4);
  auto& from = outward ? it->near : it->far;
  auto& into = outward ? it->far : it->near;
  auto bytes = std::array<char, 65'536>();
  for (;;) {
    auto [ec, n] =
        co_await from.async_read_some(asio::buffer(bytes), fulmar::as_result);
    // A silent connection stays open until the daemon closes its end.
    if (it->silent && !ec) continue;
    if (ec) break;
    if (!outward) co_await fulmar::pause_for(answer_time);
    if (it->silent) continue;
    auto [ec2, m] = co_await asio::async_write(
        into, asio::buffer(bytes.data(), n), fulmar::as_result);
    if (ec2) break;
  }
  auto ignored = boost::system::error_code();
  it->near.close(ignored);
  it->far.close(ignored);
}

stage::stage(std::string folder)
    : folder_(std::move(folder)),
      record_(folder_ + "/record.txt"),
      store_(loop_, "127.0.0.1"),
      began_(event_loop::steady()) {
  auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX");
  auto name = pattern.string();
  if (::mkdtemp(name.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  temporary_ = name;
  if (!store_.start().ok()) throw std::runtime_error("the store can't listen");
}

stage::~stage() {
  daemons_.clear();
  auto ignored = std::error_code();
  std::filesystem::remove_all(temporary_, ignored);
}

void stage::note(const std::string& text) {
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      event_loop::steady() - began_);
  record_ << ms.count() << " ms  " << text << std::endl;
}

void stage::put_configuration(const std::string& text) {
  store_.put("op", "config", text);
  note(concat("operator writes ", text));
}

std::shared_ptr<runner> stage::add_runner(runner_options options) {
  auto out = std::make_shared<runner>(*this, std::move(options));
  runners_.push_back(out);
  out->start();
  return out;
}

void stage::start_daemons(std::size_t count) {
  for (auto n = std::size_t{0}; n < count; ++n) {
    auto& it = daemons_.emplace_back();
    it.name = concat("front-erie-toledo-", n + 1);
    it.ip = address_of(n);
    it.store = std::make_shared<store_path>(loop_, store_.address());
    it.store->start();
    auto path = concat(temporary_, "/", it.name, ".yaml");
    std::ofstream(path) << json::serialize(
        settings_of(it, daemons_.front().ip, it.store->address()));
    it.process = std::make_unique<fulmar::soak::child>(
        std::vector<std::string>{program},
        std::vector{concat("FULMARPITCH_CONFIG=", path)},
        concat(temporary_, "/", it.name, ".log"));
    note(concat("daemon ", it.name, " starts at ", it.ip));
  }
}

task<bool> stage::wait_until_ready() {
  constexpr auto rounds = 150;
  constexpr auto pause = std::chrono::milliseconds(100);
  for (auto round = 0; round < rounds; ++round) {
    auto ready = std::size_t{0};
    for (const auto& it : daemons_) {
      auto answered = false;
      auto status = 0;
      fulmar::fetch(
          loop_,
          {.address = concat(it.ip, ":8167"),
           .request = {.target = "/v1/readyz", .headers = {{"Host", "h"}}}},
          [&](const auto& answer) {
            answered = true;
            if (answer.ok()) status = answer->status;
          });
      while (!answered)
        co_await fulmar::pause_for(std::chrono::milliseconds(5));
      if (status == 200) ++ready;
    }
    if (ready == daemons_.size()) co_return true;
    co_await fulmar::pause_for(pause);
  }
  co_return false;
}

task<call_result> stage::call(std::size_t daemon, outgoing request) {
  note(concat("client sends ", request.method, " ", request.target, " to ",
              daemons_[daemon].name, request.id.empty() ? "" : " with id ",
              request.id));
  auto out = call_result();
  auto links = fulmar::link_pool(fulmar::io_of(loop_), {});
  auto link = links.make_link(concat(daemons_[daemon].ip, ":8161"));
  loop_.after(call_timeout, [weak = std::weak_ptr(link)] {
    if (auto it = weak.lock()) it->close();
  });
  auto status = co_await link->connect();
  if (!status.ok()) co_return out;
  auto head = concat(request.method, " ", request.target,
                     " HTTP/1.1\r\nHost: h.example\r\n", request.headers);
  if (!request.id.empty())
    head += concat("Fulmarpitch-Attempt-Id: ", request.id, "\r\n");
  if (!request.body.empty())
    head += concat("Content-Length: ", request.body.size(), "\r\n");
  status = co_await link->send(head + "\r\n", request.body);
  if (!status.ok()) co_return out;
  auto answer = co_await link->read_head();
  if (!answer.ok()) co_return out;
  out.status = answer->status;
  auto body = co_await link->read_rest(max_body);
  if (!body.ok()) co_return out;
  out.complete = true;
  out.body = std::move(*body);
  co_return out;
}

int stage::run(task<int> work) {
  auto code = 2;
  // A script that runs out of time ends its daemons, too.
  loop_.on_termination([&] { loop_.stop(); });
  asio::co_spawn(fulmar::io_of(loop_), std::move(work),
                 [&](const std::exception_ptr& fault, int result) {
                   code = fault ? 2 : result;
                   loop_.stop();
                 });
  loop_.run();
  return code;
}

}  // namespace review
