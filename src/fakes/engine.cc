#include "fulmarpitch/fakes/engine.h"

#include <boost/json.hpp>
#include <set>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/url.h"

namespace json = boost::json;

namespace fulmar {
namespace {

using exchange_ptr = std::shared_ptr<http_exchange>;

/// One running sequence.
struct sequence {
  exchange_ptr exchange;
  std::string prompt;
  bool is_chat = false;
  bool streams = false;
  std::uint32_t next = 0;
  std::uint32_t end = 0;
  std::string text;
  bool closed = false;
};

json::object choice_of(const sequence& it, const std::string& text,
                       const json::value& reason) {
  if (!it.is_chat) {
    return {{"index", 0}, {"text", text}, {"finish_reason", reason}};
  }
  auto name = it.streams ? "delta" : "message";
  return {{"index", 0},
          {name, {{"role", "assistant"}, {"content", text}}},
          {"finish_reason", reason}};
}

std::string answer_of(const sequence& it, const std::string& text,
                      const json::value& reason) {
  return json::serialize(json::object{
      {"object", it.is_chat ? "chat.completion" : "text_completion"},
      {"choices", json::array{choice_of(it, text, reason)}}});
}

std::string event_of(const std::string& data) {
  return concat("data: ", data, "\n\n");
}

}  // namespace

struct fake_engine::impl : std::enable_shared_from_this<fake_engine::impl> {
  impl(event_loop& event_loop, fake_engine_options engine)
      : loop(event_loop), options(std::move(engine)) {}

  void serve(const exchange_ptr& it);
  void serve_completion(const exchange_ptr& it, bool is_chat);
  void step(const std::shared_ptr<sequence>& it);
  void schedule(const std::shared_ptr<sequence>& it, instant delay);
  void finish(const std::shared_ptr<sequence>& it);
  void serve_counts(const exchange_ptr& it) const;

  event_loop& loop;
  fake_engine_options options;
  std::unique_ptr<http_server> server;
  std::set<std::shared_ptr<sequence>> running;
  run_counts runs;
  bool crashed = false;
};

void fake_engine::impl::serve(const exchange_ptr& it) {
  if (crashed) return;
  auto path = path_of(it->request().target);
  if (path == "/fake/runs") {
    serve_counts(it);
    return;
  }
  auto id =
      std::string(find_header(it->request().headers, "fulmar-request-id"));
  ++runs[id];
  if (path == "/v1/completions") {
    serve_completion(it, false);
  } else if (path == "/v1/chat/completions") {
    serve_completion(it, true);
  } else {
    it->respond({.headers = {{"Content-Type", "application/json"}},
                 .body = R"({"done":true})"});
  }
}

void fake_engine::impl::serve_completion(const exchange_ptr& it, bool is_chat) {
  auto ec = json::error_code();
  auto value = json::parse(it->request().body, ec);
  const auto* body = ec ? nullptr : value.if_object();
  const auto* prompt = body == nullptr
                           ? nullptr
                           : body->if_contains(is_chat ? "messages" : "prompt");
  if (prompt == nullptr) {
    it->respond({.status = http_status(error_code::bad_request)});
    return;
  }
  auto made = std::make_shared<sequence>();
  made->exchange = it;
  made->is_chat = is_chat;
  made->prompt = prompt->is_string() ? std::string(prompt->as_string())
                                     : json::serialize(*prompt);
  if (!options.poison.empty() &&
      made->prompt.find(options.poison) != std::string::npos) {
    crashed = true;
    loop.post([self = shared_from_this()] { self->server.reset(); });
    return;
  }
  if (const auto* stream = body->if_contains("stream")) {
    made->streams = stream->is_bool() && stream->as_bool();
  }
  const auto* most = body->if_contains("max_tokens");
  made->end = most == nullptr ? 16 : most->to_number<std::uint32_t>();
  if (const auto* resume = body->if_contains("resume")) {
    made->next = resume->at("tokens").to_number<std::uint32_t>();
  }
  it->on_closed([self = shared_from_this(), made] {
    made->closed = true;
    self->running.erase(made);
  });
  running.insert(made);
  if (made->streams) {
    it->start_stream({.headers = {{"Content-Type", "text/event-stream"}}});
  }
  schedule(made, options.first_token_after);
}

void fake_engine::impl::schedule(const std::shared_ptr<sequence>& it,
                                 instant delay) {
  loop.after(delay, [self = shared_from_this(), it] {
    if (!it->closed && !self->crashed) self->step(it);
  });
}

void fake_engine::impl::step(const std::shared_ptr<sequence>& it) {
  if (it->next >= it->end) {
    finish(it);
    return;
  }
  auto text = fake_token(it->prompt, it->next++);
  it->text += text;
  if (it->streams) it->exchange->write(event_of(answer_of(*it, text, nullptr)));
  schedule(it, options.between_tokens);
}

void fake_engine::impl::finish(const std::shared_ptr<sequence>& it) {
  running.erase(it);
  if (it->streams) {
    it->exchange->write(event_of(answer_of(*it, "", "length")));
    it->exchange->write(event_of("[DONE]"));
    it->exchange->finish();
    return;
  }
  it->exchange->respond({.headers = {{"Content-Type", "application/json"}},
                         .body = answer_of(*it, it->text, "length")});
}

void fake_engine::impl::serve_counts(const exchange_ptr& it) const {
  auto out = json::object();
  for (const auto& [id, n] : runs)
    out[id] = n;
  it->respond({.headers = {{"Content-Type", "application/json"}},
               .body = json::serialize(out)});
}

fake_engine::fake_engine(event_loop& loop, fake_engine_options options)
    : impl_(std::make_shared<impl>(loop, std::move(options))) {}

fake_engine::~fake_engine() {
  crash();
}

absl::Status fake_engine::start() {
  impl_->server = std::make_unique<http_server>(
      impl_->loop,
      http_server_options{.host = impl_->options.host,
                          .port = impl_->options.port},
      [self = impl_](const auto& it) { self->serve(it); });
  return impl_->server->start();
}

std::uint16_t fake_engine::port() const {
  return impl_->server->port();
}

const run_counts& fake_engine::runs() const {
  return impl_->runs;
}

std::size_t fake_engine::running() const {
  return impl_->running.size();
}

void fake_engine::crash() {
  impl_->crashed = true;
  impl_->server.reset();
  impl_->running.clear();
}

std::string fake_token(std::string_view prompt, std::uint32_t index) {
  constexpr auto words =
      std::array<std::string_view, 8>{" milk",  " step",  " round", " bottle",
                                      " route", " crate", " duct",  " note"};
  auto hash = stable_hash(concat(prompt, "|", index));
  return concat(words[hash % words.size()], "-", index);
}

}  // namespace fulmar
