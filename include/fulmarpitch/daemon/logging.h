#pragma once

/// \file
/// Structured log lines through glog. There is no field for a prompt, a body
/// or a key, and none of them belongs into a message.

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// How lines are written.
enum class log_format { text, json };

inline constexpr std::array<named<log_format>, 2> log_format_names{{
    {log_format::text, "text"},
    {log_format::json, "json"},
}};

/// What a line is about; empty fields are left out.
struct log_fields {
  std::string request_id;
  std::uint64_t config_version = 0;
  std::string caller;
  std::string pool;
};

/// One line before it is written.
struct log_line {
  std::string_view level;
  /// Wall-clock time since the Unix epoch.
  instant time{};
  std::string_view file;
  int line = 0;
  std::string_view message;
  log_fields fields;
};

/// Writes a line without a line end; control characters are escaped, so that
/// a message never forges a second line.
/// \param format text or one JSON object.
/// \param it the line.
/// \return the line's text.
std::string format_log_line(log_format format, const log_line& it);

/// How logging is set up.
struct logging_options {
  std::string program;
  log_format format = log_format::text;
};

/// Sends all of glog's lines to standard error in one format, for as long as
/// the object lives. At most one may live at a time.
class logging {
 public:
  explicit logging(const logging_options& options);
  ~logging();
  logging(const logging&) = delete;
  logging& operator=(const logging&) = delete;

 private:
  struct sink;
  std::unique_ptr<sink> sink_;
};

/// Adds fields to every line that this thread logs during the object's life.
/// Scopes nest; the innermost counts.
class log_scope {
 public:
  explicit log_scope(log_fields fields);
  ~log_scope();
  log_scope(const log_scope&) = delete;
  log_scope& operator=(const log_scope&) = delete;

  /// \return the fields of the innermost scope; empty without one.
  static const log_fields& current();

 private:
  log_fields fields_;
  const log_fields* outer_;
};

}  // namespace fulmar
