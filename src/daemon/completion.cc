#include "fulmarpitch/daemon/completion.h"

#include <boost/json.hpp>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/core/routing.h"
#include "fulmarpitch/core/text.h"

namespace json = boost::json;

namespace fulmar {
namespace {

/// Average length of a token in English text.
constexpr std::size_t bytes_per_token = 4;
/// Bytes of prompt that one prefix block covers.
constexpr std::size_t block_bytes = bytes_per_token * prefix_block_tokens;
constexpr std::size_t most_blocks = 64;

absl::Status bad_field(std::string_view field, std::string_view allowed) {
  return make_error(error_code::bad_request,
                    concat("field ", field, " must be ", allowed));
}

std::string prompt_of(completion_form form, const json::object& body) {
  const auto* field =
      body.if_contains(form == completion_form::chat ? "messages" : "prompt");
  if (field == nullptr) return {};
  if (const auto* text = field->if_string()) return std::string(*text);
  if (!field->is_array() || field->as_array().empty()) return {};
  return json::serialize(*field);
}

std::vector<std::uint64_t> hash_blocks(std::string_view prompt) {
  auto out = std::vector<std::uint64_t>();
  auto last = std::uint64_t{0};
  for (auto end = block_bytes; end <= prompt.size() && out.size() < most_blocks;
       end += block_bytes) {
    auto block = prompt.substr(end - block_bytes, block_bytes);
    last = stable_hash(concat(hex(last), block));
    out.push_back(last);
  }
  return out;
}

absl::Status read_fields(const json::object& body, completion_request& out) {
  const auto* model = body.if_contains("model");
  if (model == nullptr || !model->is_string() || model->as_string().empty()) {
    return bad_field("model", "a model's name");
  }
  out.model = std::string(model->as_string());
  if (const auto* it = body.if_contains("adapter")) {
    if (!it->is_string()) return bad_field("adapter", "an adapter's name");
    out.adapter = std::string(it->as_string());
  }
  if (const auto* it = body.if_contains("stream")) {
    if (!it->is_bool()) return bad_field("stream", "true or false");
    out.stream = it->as_bool();
  }
  out.max_tokens = default_max_tokens;
  if (const auto* it = body.if_contains("max_tokens")) {
    if (!it->is_int64() || it->as_int64() < 1 ||
        it->as_int64() > most_max_tokens) {
      return bad_field("max_tokens", concat("1 to ", most_max_tokens));
    }
    out.max_tokens = static_cast<std::uint32_t>(it->as_int64());
  }
  return absl::OkStatus();
}

const json::object* first_choice(const json::value& event) {
  const auto* object = event.if_object();
  if (object == nullptr) return nullptr;
  const auto* choices = object->if_contains("choices");
  if (choices == nullptr || !choices->is_array()) return nullptr;
  if (choices->as_array().empty()) return nullptr;
  return choices->as_array().front().if_object();
}

std::string text_field(const json::object& from, std::string_view name) {
  const auto* it = from.if_contains({name.data(), name.size()});
  if (it == nullptr || !it->is_string()) return {};
  return std::string(it->as_string());
}

}  // namespace

absl::StatusOr<completion_request> parse_completion(completion_form form,
                                                    std::string_view body) {
  auto ec = json::error_code();
  auto value = json::parse({body.data(), body.size()}, ec);
  if (ec || !value.is_object()) {
    return make_error(error_code::bad_request, "the body is no JSON object");
  }
  const auto& object = value.as_object();
  auto out = completion_request{.form = form};
  if (auto status = read_fields(object, out); !status.ok()) return status;
  auto prompt = prompt_of(form, object);
  if (prompt.empty()) {
    auto is_chat = form == completion_form::chat;
    return is_chat ? bad_field("messages", "a list of messages")
                   : bad_field("prompt", "a text");
  }
  out.prompt_tokens =
      static_cast<std::uint32_t>(1 + prompt.size() / bytes_per_token);
  out.prefix_blocks = hash_blocks(prompt);
  out.content_hash = stable_hash(body);
  return out;
}

std::string target_body(std::string_view body, std::uint32_t resume_tokens,
                        std::string_view resume_text) {
  auto object = json::parse({body.data(), body.size()}).as_object();
  object["stream"] = true;
  if (resume_tokens > 0) {
    object["resume"] = {
        {"tokens", resume_tokens},
        {"text", json::string_view(resume_text.data(), resume_text.size())}};
  }
  return json::serialize(object);
}

absl::StatusOr<completion_event> parse_event(completion_form form,
                                             std::string_view data) {
  auto ec = json::error_code();
  auto value = json::parse({data.data(), data.size()}, ec);
  const auto* first = ec ? nullptr : first_choice(value);
  if (first == nullptr) {
    return make_error(error_code::attempt_failed,
                      "the target sent an event without a choice",
                      outcome::ran);
  }
  auto out =
      completion_event{.finish_reason = text_field(*first, "finish_reason")};
  if (form == completion_form::text) {
    out.text = text_field(*first, "text");
    return out;
  }
  const auto* delta = first->if_contains("delta");
  if (delta != nullptr && delta->is_object()) {
    out.text = text_field(delta->as_object(), "content");
  }
  return out;
}

std::string whole_answer(const completion_request& request,
                         std::string_view request_id, std::string_view text,
                         std::uint32_t tokens, std::string_view finish_reason) {
  auto is_chat = request.form == completion_form::chat;
  auto content = json::string(text.data(), text.size());
  auto reason = json::string(finish_reason.data(), finish_reason.size());
  auto first = json::object{{"index", 0}, {"finish_reason", reason}};
  if (is_chat) {
    first["message"] = {{"role", "assistant"}, {"content", content}};
  } else {
    first["text"] = content;
  }
  auto usage = json::object{
      {"prompt_tokens", request.prompt_tokens},
      {"completion_tokens", tokens},
      {"total_tokens", request.prompt_tokens + tokens},
  };
  return json::serialize(
      json::object{{"id", json::string(request_id.data(), request_id.size())},
                   {"object", is_chat ? "chat.completion" : "text_completion"},
                   {"model", request.model},
                   {"choices", json::array{std::move(first)}},
                   {"usage", std::move(usage)}});
}

}  // namespace fulmar
