#pragma once

/// \file
/// Completion requests and answers as JSON: what the caller sent, what goes to
/// a target, and the whole answer gathered from a target's events.

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// The two forms of completion request.
enum class completion_form { text, chat };

/// What the decisions and the entry need of a completion request.
struct completion_request {
  completion_form form = completion_form::text;
  std::string model;
  std::string adapter;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;
  bool stream = false;
  std::vector<std::uint64_t> prefix_blocks;
  std::uint64_t content_hash = 0;
};

/// Tokens that a request without `max_tokens` may produce.
inline constexpr std::uint32_t default_max_tokens = 256;
/// Most tokens that a request may ask for.
inline constexpr std::uint32_t most_max_tokens = 131'072;

/// Reads a caller's request.
/// \param form the form, from the path.
/// \param body the JSON body.
/// \return the request, or `bad_request` that names the field.
absl::StatusOr<completion_request> parse_completion(completion_form form,
                                                    std::string_view body);

/// Writes the body for a target: always streamed, resumed where asked.
/// \param body the caller's JSON body, already parsed once.
/// \param resume_tokens tokens that an earlier attempt produced.
/// \param resume_text their text.
/// \return the JSON body.
std::string target_body(std::string_view body, std::uint32_t resume_tokens,
                        std::string_view resume_text);

/// One event of a target's stream.
struct completion_event {
  std::string text;
  std::string finish_reason;
};

/// Reads an event's data.
/// \param form the form of the request.
/// \param data the text behind `data: `.
/// \return the event, or `attempt_failed` for one that can't be read.
absl::StatusOr<completion_event> parse_event(completion_form form,
                                             std::string_view data);

/// Writes the whole answer, as a caller without streaming receives it.
/// \param request what was asked.
/// \param request_id the request's id.
/// \param text everything that was produced.
/// \param tokens how many tokens that is.
/// \param finish_reason why the target stopped.
/// \return the JSON body.
std::string whole_answer(const completion_request& request,
                         std::string_view request_id, std::string_view text,
                         std::uint32_t tokens, std::string_view finish_reason);

}  // namespace fulmar
