#include "fulmarpitch/daemon/logging.h"

#include <glog/logging.h>

#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <utility>

#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

namespace json = boost::json;

/// Above every severity: glog itself then writes nothing.
constexpr int no_severity = google::NUM_SEVERITIES;

thread_local const log_fields* innermost = nullptr;

std::string escaped(std::string_view text) {
  constexpr auto digits = std::string_view("0123456789abcdef");
  constexpr unsigned first_printable = 0x20;
  auto out = std::string();
  for (auto it : text) {
    auto byte = static_cast<unsigned char>(it);
    if (byte >= first_printable) {
      out += it;
      continue;
    }
    out += "\\x";
    out += digits[byte >> 4U];
    out += digits[byte & 0xfU];
  }
  return out;
}

std::string to_json(const log_line& it) {
  auto text = [](std::string_view from) {
    return json::string_view(from.data(), from.size());
  };
  auto out = json::object{{"time_us", it.time.count()},
                          {"level", text(it.level)},
                          {"file", text(it.file)},
                          {"line", it.line},
                          {"message", text(it.message)}};
  auto add = [&](const char* name, const std::string& value) {
    if (!value.empty()) out[name] = value;
  };
  add("request_id", it.fields.request_id);
  add("caller", it.fields.caller);
  add("pool", it.fields.pool);
  if (it.fields.config_version > 0) {
    out["config_version"] = it.fields.config_version;
  }
  return json::serialize(out);
}

std::string to_plain(const log_line& it) {
  auto out = concat(it.time.count(), " ", it.level, " ", it.file, ":", it.line,
                    " ", escaped(it.message));
  auto add = [&](const char* name, const std::string& value) {
    if (!value.empty()) out += concat(" ", name, "=", escaped(value));
  };
  add("request_id", it.fields.request_id);
  add("caller", it.fields.caller);
  add("pool", it.fields.pool);
  if (it.fields.config_version > 0) {
    out += concat(" config_version=", it.fields.config_version);
  }
  return out;
}

}  // namespace

std::string format_log_line(log_format format, const log_line& it) {
  return format == log_format::json ? to_json(it) : to_plain(it);
}

struct logging::sink : google::LogSink {
  log_format format = log_format::text;

  // glog calls this on the thread that logs, so its scope is in force.
  void send(google::LogSeverity severity, const char* /*full_name*/,
            const char* file, int line, const google::LogMessageTime& /*time*/,
            const char* message, std::size_t size) override {
    auto now = std::chrono::system_clock::now().time_since_epoch();
    auto it = log_line{.level = google::GetLogSeverityName(severity),
                       .time = std::chrono::duration_cast<instant>(now),
                       .file = file,
                       .line = line,
                       .message = {message, size},
                       .fields = log_scope::current()};
    std::cerr << format_log_line(format, it) + '\n';
  }
};

logging::logging(const logging_options& options)
    : sink_(std::make_unique<sink>()) {
  sink_->format = options.format;
  FLAGS_logtostderr = false;
  FLAGS_stderrthreshold = no_severity;
  for (auto it = 0; it < google::NUM_SEVERITIES; ++it)
    google::SetLogDestination(it, "");
  if (!google::IsGoogleLoggingInitialized()) {
    google::InitGoogleLogging(options.program.c_str());
  }
  google::AddLogSink(sink_.get());
}

logging::~logging() {
  google::RemoveLogSink(sink_.get());
}

log_scope::log_scope(log_fields fields)
    : fields_(std::move(fields)), outer_(innermost) {
  innermost = &fields_;
}

log_scope::~log_scope() {
  innermost = outer_;
}

const log_fields& log_scope::current() {
  static const auto none = log_fields();
  return innermost != nullptr ? *innermost : none;
}

}  // namespace fulmar
