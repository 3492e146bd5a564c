#include "fulmarpitch/daemon/caller-api.h"

#include <boost/json.hpp>
#include <charconv>
#include <random>

#include "batch-api.h"
#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/url.h"
#include "peer-calls.h"
#include "wire.h"

namespace json = boost::json;

namespace fulmar {
namespace {

using exchange_ptr = std::shared_ptr<http_exchange>;

constexpr auto default_deadline = std::chrono::seconds(60);
constexpr auto longest_deadline = std::chrono::hours(1);
constexpr auto look_again = std::chrono::milliseconds(200);
constexpr std::size_t most_key_bytes = 200;
constexpr auto json_type = "application/json";

/// A request on its way from the caller to the entry.
struct arrival {
  exchange_ptr exchange;
  std::string key;
  entry_job job;
  bool streams = false;
};

using arrival_ptr = std::shared_ptr<arrival>;

/// An earlier request with the same key, and the daemon that holds it.
struct followed {
  std::string id;
  std::string holder;
};

std::string claim_subject(const arrival& it) {
  return concat(it.job.item.caller, "/", it.key);
}

/// Value of a key's claim: who runs the request, and a hash of its content.
std::string key_value(const std::string& self, const arrival& it) {
  return concat(self, " ", hex(it.job.item.content_hash));
}

std::string_view origin_in(std::string_view value) {
  return value.substr(0, value.find(' '));
}

bool same_content(std::string_view value, const arrival& it) {
  return value.ends_with(hex(it.job.item.content_hash));
}

void answer_result(const exchange_ptr& it, const result_record& record,
                   bool recorded, instant retry_after) {
  auto answer = http_response{
      .status = record.status,
      .headers = {{"Content-Type", record.content_type},
                  {"Fulmar-Request-Id", record.request_id},
                  {"Fulmar-Result", recorded ? "recorded" : "pending"}},
      .body = record.body};
  if (retry_after > instant{}) {
    auto whole = std::chrono::ceil<std::chrono::seconds>(retry_after);
    answer.headers.push_back({"Retry-After", std::to_string(whole.count())});
  }
  it->respond(std::move(answer));
}

void end_stream(const exchange_ptr& it, const result_record& record,
                bool recorded) {
  if (record.code != error_code::none || record.status != 200) {
    it->write(concat("data: ", record.body, "\n\n"));
  }
  auto last = json::object{{"fulmar",
                            {{"request_id", record.request_id},
                             {"result", recorded ? "recorded" : "pending"}}}};
  it->write(concat("data: ", json::serialize(last), "\n\n"));
  it->write("data: [DONE]\n\n");
  it->finish();
}

std::optional<completion_form> form_of(std::string_view path) {
  if (path == "/v1/completions") return completion_form::text;
  if (path == "/v1/chat/completions") return completion_form::chat;
  return std::nullopt;
}

absl::StatusOr<instant> deadline_of(const http_request& request, instant now) {
  auto text = find_header(request.headers, "fulmar-deadline-ms");
  if (text.empty()) return now + default_deadline;
  auto value = std::int64_t{};
  const auto* end = text.data() + text.size();
  auto [it, ec] = std::from_chars(text.data(), end, value);
  auto longest =
      std::chrono::duration_cast<std::chrono::milliseconds>(longest_deadline);
  if (ec != std::errc() || it != end || value < 1 || value > longest.count()) {
    return make_error(
        error_code::bad_request,
        concat("Fulmar-Deadline-Ms must be 1 to ", longest.count()));
  }
  return now + std::chrono::milliseconds(value);
}

}  // namespace

struct caller_api::state : std::enable_shared_from_this<caller_api::state> {
  explicit state(caller_api_links api_links)
      : links(std::move(api_links)),
        batches(*links.loop, links.stores, links.self),
        random(std::random_device()()) {}

  void serve(const exchange_ptr& it);
  void serve_authorized(const exchange_ptr& it,
                        const caller_declaration& caller,
                        const configuration& in_force);
  void serve_models(const exchange_ptr& it, const configuration& in_force);
  void serve_request(const exchange_ptr& it, const std::string& caller,
                     const std::string& id);
  void accept(const exchange_ptr& it, const caller_declaration& caller,
              const configuration& in_force);
  absl::Status describe(arrival& it, const configuration& in_force);
  void claim_key(const arrival_ptr& it);
  void take_key_claim(const arrival_ptr& it,
                      const absl::StatusOr<claim_outcome>& got);
  void claim_started(const arrival_ptr& it);
  void start(const arrival_ptr& it);
  void follow(const arrival_ptr& it, const followed& of);
  void follow_later(const arrival_ptr& it, const followed& of);
  void look_in_stores(const arrival_ptr& it, const followed& of);
  void take_over(const arrival_ptr& it, const followed& of);

  caller_api_links links;
  batch_api batches;
  std::mt19937_64 random;
};

void caller_api::state::serve(const exchange_ptr& it) {
  auto path = path_of(it->request().target);
  if (path == "/healthz") {
    it->respond({.body = "ok\n"});
    return;
  }
  if (path == "/readyz") {
    auto ready = links.is_ready();
    it->respond({.status = ready ? 200 : 503,
                 .body = ready ? "ready\n" : "not ready\n"});
    return;
  }
  auto in_force = links.in_force();
  if (!in_force) {
    refuse(it, error_code::store_unavailable, outcome::not_run,
           "this VM has no configuration yet", std::chrono::seconds(1));
    return;
  }
  constexpr auto scheme = std::string_view("Bearer ");
  auto header = find_header(it->request().headers, "authorization");
  const auto* caller =
      header.substr(0, scheme.size()) == scheme
          ? find_caller_by_key(*in_force, header.substr(scheme.size()))
          : nullptr;
  if (caller == nullptr) {
    refuse(it, error_code::unauthorized, outcome::not_run,
           "a caller's key is needed as a bearer token");
    return;
  }
  serve_authorized(it, *caller, *in_force);
}

void caller_api::state::serve_authorized(const exchange_ptr& it,
                                         const caller_declaration& caller,
                                         const configuration& in_force) {
  const auto& request = it->request();
  auto path = path_of(request.target);
  if (path == "/v1/models" && request.method == "GET") {
    serve_models(it, in_force);
    return;
  }
  if (auto id = after_prefix(path, "/v1/requests/")) {
    serve_request(it, caller.name, std::string(*id));
    return;
  }
  auto is_work = form_of(path) || after_prefix(path, "/v1/services/");
  if (is_work && request.method == "POST") {
    accept(it, caller, in_force);
    return;
  }
  if (!links.is_ready() && request.method == "POST") {
    refuse(it, error_code::shutting_down, outcome::not_run,
           failure_message(error_code::shutting_down), std::chrono::seconds(1));
    return;
  }
  if (batches.serve(it, caller.name, in_force)) return;
  refuse(it, error_code::not_found, outcome::not_run, "no such path");
}

void caller_api::state::serve_models(const exchange_ptr& it,
                                     const configuration& in_force) {
  auto data = json::array();
  for (const auto& model : in_force.models) {
    data.push_back({{"id", model.name}, {"object", "model"}});
  }
  it->respond({.headers = {{"Content-Type", json_type}},
               .body = json::serialize(json::object{
                   {"object", "list"}, {"data", std::move(data)}})});
}

void caller_api::state::serve_request(const exchange_ptr& it,
                                      const std::string& caller,
                                      const std::string& id) {
  auto cancels = it->request().method == "DELETE";
  auto self = shared_from_this();
  if (links.requests->holds(id)) {
    if (cancels) links.requests->cancel(id);
    it->respond(
        {.status = 202,
         .headers = {{"Content-Type", json_type}, {"Fulmar-Request-Id", id}},
         .body = cancels ? R"({"status":"cancelling"})"
                         : R"({"status":"running"})"});
    return;
  }
  links.find_result(id, [self, it, caller](const auto& got) {
    if (!got.ok()) {
      refuse(it, got.status());
      return;
    }
    if (got->caller != caller) {
      refuse(it, error_code::not_found, outcome::not_run, "no such request");
      return;
    }
    answer_result(it, *got, true, {});
  });
}

absl::Status caller_api::state::describe(arrival& it,
                                         const configuration& in_force) {
  const auto& request = it.exchange->request();
  auto path = path_of(request.target);
  auto now = event_loop::now();
  auto& item = it.job.item;
  auto deadline = deadline_of(request, now);
  if (!deadline.ok()) return deadline.status();
  auto repeat = find_header(request.headers, "fulmar-repeat");
  if (!repeat.empty() && repeat != "never") {
    return make_error(error_code::bad_request, "Fulmar-Repeat must be never");
  }
  it.key = find_header(request.headers, "idempotency-key");
  if (it.key.size() > most_key_bytes) {
    return make_error(error_code::bad_request, "Idempotency-Key is too long");
  }
  item.arrival = now;
  item.deadline = *deadline;
  item.no_repeat = !repeat.empty();
  item.id = make_request_id(links.data_centre, now, random());
  it.job.request = {
      .method = request.method,
      .headers = {{"Content-Type", json_type}, {"Fulmar-Request-Id", item.id}},
      .body = request.body};
  if (auto form = form_of(path)) {
    auto parsed = parse_completion(*form, request.body);
    if (!parsed.ok()) return parsed.status();
    item.kind = work_kind::online;
    item.model = parsed->model;
    item.adapter = parsed->adapter;
    item.prompt_tokens = parsed->prompt_tokens;
    item.max_tokens = parsed->max_tokens;
    item.prefix_blocks = parsed->prefix_blocks;
    item.content_hash = parsed->content_hash;
    it.streams = parsed->stream;
    it.job.completion = std::move(*parsed);
    it.job.request.target = std::string(path);
  } else {
    auto rest = *after_prefix(request.target, "/v1/services/");
    auto slash = rest.find('/');
    item.kind = work_kind::service;
    item.model = std::string(rest.substr(0, slash));
    item.max_tokens = 1;
    item.content_hash = stable_hash(concat(request.target, request.body));
    it.job.request.target =
        slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  }
  for (const auto& service : in_force.services) {
    if (service.name == item.model && !service.repeatable) {
      item.no_repeat = true;
    }
  }
  if (targets_for(in_force, item.model).empty()) {
    return make_error(error_code::not_found,
                      concat("nothing serves ", item.model));
  }
  return absl::OkStatus();
}

void caller_api::state::accept(const exchange_ptr& exchange,
                               const caller_declaration& caller,
                               const configuration& in_force) {
  if (!links.is_ready()) {
    refuse(exchange, error_code::shutting_down, outcome::not_run,
           failure_message(error_code::shutting_down), std::chrono::seconds(1));
    return;
  }
  auto it = std::make_shared<arrival>();
  it->exchange = exchange;
  it->job.item.caller = caller.name;
  it->job.item.class_name = caller.class_name;
  if (auto status = describe(*it, in_force); !status.ok()) {
    refuse(exchange, status);
    return;
  }
  if (!it->key.empty()) {
    claim_key(it);
  } else {
    claim_started(it);
  }
}

void caller_api::state::claim_key(const arrival_ptr& it) {
  links.claim({.kind = claim_kind::key,
               .subject = claim_subject(*it),
               .claimant = it->job.item.id,
               .value = key_value(links.self, *it)},
              [self = shared_from_this(), it](const auto& got) {
                self->take_key_claim(it, got);
              });
}

void caller_api::state::take_key_claim(
    const arrival_ptr& it, const absl::StatusOr<claim_outcome>& got) {
  if (!got.ok()) {
    if (it->job.item.no_repeat) {
      refuse(it->exchange, error_code::store_unavailable, outcome::not_run,
             "the request can't be recorded as started",
             std::chrono::seconds(1));
      return;
    }
    start(it);
    return;
  }
  if (got->granted) {
    claim_started(it);
    return;
  }
  if (!same_content(got->value, *it)) {
    refuse(it->exchange, error_code::key_reused, outcome::not_run,
           "the idempotency key stands for another request");
    return;
  }
  follow(it, {got->claimant, std::string(origin_in(got->value))});
}

void caller_api::state::claim_started(const arrival_ptr& it) {
  if (!it->job.item.no_repeat) {
    start(it);
    return;
  }
  links.claim({.kind = claim_kind::started,
               .subject = it->job.item.id,
               .claimant = it->job.item.id,
               .value = links.self},
              [self = shared_from_this(), it](const auto& got) {
                if (got.ok() && got->granted) {
                  self->start(it);
                  return;
                }
                refuse(it->exchange, error_code::store_unavailable,
                       outcome::not_run,
                       "the request can't be recorded as started",
                       std::chrono::seconds(1));
              });
}

void caller_api::state::follow(const arrival_ptr& it, const followed& of) {
  if (!links.is_alive(of.holder)) {
    look_in_stores(it, of);
    return;
  }
  links.ask_holder(of.holder, of.id,
                   [self = shared_from_this(), it,
                    of](const absl::StatusOr<held_answer>& got) {
                     if (got.ok() && got->result) {
                       answer_result(it->exchange, *got->result, false, {});
                     } else if (got.ok() && !got->running) {
                       self->look_in_stores(it, of);
                     } else {
                       self->follow_later(it, of);
                     }
                   });
}

void caller_api::state::follow_later(const arrival_ptr& it,
                                     const followed& of) {
  if (event_loop::now() > it->job.item.deadline) {
    refuse(it->exchange, error_code::deadline_exceeded, outcome::unknown,
           "an earlier request with this key has no result yet",
           std::chrono::seconds(1));
    return;
  }
  links.loop->after(look_again, [self = shared_from_this(), it, of] {
    self->follow(it, of);
  });
}

void caller_api::state::look_in_stores(const arrival_ptr& it,
                                       const followed& of) {
  links.find_result(of.id, [self = shared_from_this(), it,
                            of](const absl::StatusOr<result_record>& got) {
    if (got.ok()) {
      answer_result(it->exchange, *got, true, {});
    } else if (code_of(got.status()) == error_code::not_found) {
      self->take_over(it, of);
    } else if (code_of(got.status()) == error_code::outcome_unknown) {
      refuse(it->exchange, got.status());
    } else {
      self->follow_later(it, of);
    }
  });
}

void caller_api::state::take_over(const arrival_ptr& it, const followed& of) {
  auto renounced = links.is_alive(of.holder);
  if (it->job.item.no_repeat && !renounced) {
    refuse(it->exchange, error_code::outcome_unknown, outcome::unknown,
           failure_message(error_code::outcome_unknown));
    return;
  }
  auto take = [self = shared_from_this(), it, of,
               renounced](const absl::StatusOr<claim_outcome>& got) {
    if (!got.ok()) {
      self->follow_later(it, of);
      return;
    }
    if (!got->granted) {
      self->follow_later(it, {of.id, got->claimant});
      return;
    }
    if (of.holder == self->links.self) self->links.requests->reclaim(of.id);
    it->job.item.id = of.id;
    it->job.may_have_run = !renounced;
    it->job.request.headers = {{"Content-Type", json_type},
                               {"Fulmar-Request-Id", of.id}};
    if (self->links.requests->holds(of.id)) {
      self->follow_later(it, {of.id, self->links.self});
      return;
    }
    self->start(it);
  };
  links.claim({.kind = claim_kind::key,
               .subject = concat(of.id, "#", of.holder),
               .claimant = links.self,
               .value = links.self},
              std::move(take));
}

void caller_api::state::start(const arrival_ptr& it) {
  if (links.requests->is_renounced(it->job.item.id)) {
    // The daemon that asked may run the request: its result is the answer.
    look_in_stores(it, {it->job.item.id, links.self});
    return;
  }
  auto exchange = it->exchange;
  auto id = it->job.item.id;
  auto keep_running = !it->key.empty() || it->job.item.no_repeat;
  if (it->streams) {
    auto started = std::make_shared<bool>(false);
    auto open = [exchange, id, started] {
      if (*started) return;
      *started = true;
      exchange->start_stream({.headers = {{"Content-Type", "text/event-stream"},
                                          {"Cache-Control", "no-cache"},
                                          {"Fulmar-Request-Id", id}}});
    };
    it->job.on_event = [exchange, open](const std::string& data) {
      open();
      exchange->write(concat("data: ", data, "\n\n"));
    };
    it->job.on_end = [exchange, started](const auto& record, bool recorded,
                                         instant retry_after) {
      if (!*started) {
        answer_result(exchange, record, recorded, retry_after);
        return;
      }
      end_stream(exchange, record, recorded);
    };
  } else {
    it->job.on_end = [exchange](const auto& record, bool recorded,
                                instant retry_after) {
      answer_result(exchange, record, recorded, retry_after);
    };
  }
  if (auto status = links.requests->start(std::move(it->job)); !status.ok()) {
    refuse(exchange, code_of(status), outcome::not_run,
           std::string(status.message()), std::chrono::seconds(1));
    return;
  }
  if (keep_running) return;
  exchange->on_closed(
      [requests = links.requests, id] { requests->cancel(id); });
}

caller_api::caller_api(caller_api_links links)
    : state_(std::make_shared<state>(std::move(links))) {}

caller_api::~caller_api() = default;

void caller_api::serve(const exchange_ptr& it) {
  state_->serve(it);
}

bool caller_api::streams_body(const http_request& head) {
  return head.method == "POST" && path_of(head.target) == "/v1/files";
}

void caller_api::tick() {
  state_->batches.tick();
}

}  // namespace fulmar
