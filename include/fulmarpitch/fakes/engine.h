#pragma once

/// \file
/// A model engine stand-in: streams made-up tokens, resumes, cancels and dies
/// on request. Also answers as a plain service.

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "fulmarpitch/net/http.h"

namespace fulmar {

struct fake_engine_options {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  instant first_token_after = std::chrono::milliseconds(20);
  instant between_tokens = std::chrono::milliseconds(5);
  /// A prompt that contains this text ends the engine; empty for none.
  std::string poison;
};

/// How often each request was started here, by its id.
using run_counts = std::map<std::string, std::uint32_t>;

/// The engine stand-in.
class fake_engine {
 public:
  struct impl;

  fake_engine(event_loop& loop, fake_engine_options options);
  ~fake_engine();
  fake_engine(const fake_engine&) = delete;
  fake_engine& operator=(const fake_engine&) = delete;

  absl::Status start();
  std::uint16_t port() const;
  const run_counts& runs() const;
  std::size_t running() const;

  /// Breaks every connection and takes no new one.
  void crash();

 private:
  std::shared_ptr<impl> impl_;
};

/// The text of one made-up token.
/// \param prompt the prompt, or the messages as JSON.
/// \param index the token's place, from 0.
/// \return the same word each time.
std::string fake_token(std::string_view prompt, std::uint32_t index);

}  // namespace fulmar
