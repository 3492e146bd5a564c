#include "fulmarpitch/daemon/attempt.h"
#include "fulmarpitch/net/event-splitter.h"

#include "fulmarpitch/core/errors.h"

namespace fulmar {
namespace {

constexpr std::string_view end_of_stream = "[DONE]";
/// Most bytes kept of an answer that is no event stream.
constexpr std::size_t most_body_bytes = std::size_t{4} * 1024 * 1024;

bool is_success(int status) {
  return status >= 200 && status < 300;
}

/// A target that is overloaded or broken is tried elsewhere; a target that
/// refuses the request itself has answered it.
bool is_target_failure(int status) {
  return status >= 500 || status == 429 || status == 408;
}

class running_attempt : public attempt,
                        public std::enable_shared_from_this<running_attempt> {
 public:
  running_attempt(attempt_options options, attempt_handlers handlers)
      : options_(std::move(options)), handlers_(std::move(handlers)) {}

  void start(event_loop& loop) {
    auto self = shared_from_this();
    call_ = start_call(
        loop,
        {.address = options_.address,
         .request = options_.request,
         .idle_timeout = options_.silence_limit},
        {.on_head = [self](const auto& head) { self->take_head(head); },
         .on_data = [self](std::string_view it) { self->take_data(it); },
         .on_end = [self](const absl::Status& it) { self->take_end(it); }});
  }

  void cancel() override {
    if (call_) call_->cancel();
  }

 private:
  void take_head(const http_response& head) {
    result_.status = head.status;
    result_.content_type = find_header(head.headers, "content-type");
    streams_ = options_.form && is_success(head.status);
  }

  void take_data(std::string_view piece) {
    if (!streams_) {
      if (result_.body.size() < most_body_bytes) result_.body += piece;
      return;
    }
    splitter_.feed(piece);
    while (auto event = splitter_.next()) {
      if (event->has_data) take_event(event->data);
    }
  }

  void take_event(const std::string& data) {
    if (whole_ || broken_) return;
    if (data == end_of_stream) {
      whole_ = true;
      return;
    }
    auto event = parse_event(*options_.form, data);
    if (!event.ok()) {
      broken_ = true;
      call_->cancel();
      return;
    }
    if (!event->finish_reason.empty()) {
      result_.finish_reason = event->finish_reason;
    }
    if (handlers_.on_event) handlers_.on_event(*event, data);
  }

  void take_end(const absl::Status& status) {
    result_.end = end_of(status);
    if (!status.ok()) result_.what = outcome_of(status);
    auto take = std::move(handlers_.on_end);
    handlers_ = {};
    call_.reset();
    if (take) take(std::move(result_));
  }

  attempt_end end_of(const absl::Status& status) const {
    if (broken_) return attempt_end::failed;
    if (code_of(status) == error_code::cancelled) return attempt_end::cancelled;
    if (!status.ok()) return attempt_end::target_lost;
    if (is_target_failure(result_.status)) return attempt_end::failed;
    if (streams_ && !whole_) return attempt_end::target_lost;
    return attempt_end::completed;
  }

  attempt_options options_;
  attempt_handlers handlers_;
  std::shared_ptr<http_call> call_;
  event_splitter splitter_;
  attempt_result result_;
  bool streams_ = false;
  bool whole_ = false;
  bool broken_ = false;
};

}  // namespace

std::shared_ptr<attempt> start_attempt(event_loop& loop,
                                       attempt_options options,
                                       attempt_handlers handlers) {
  auto made = std::make_shared<running_attempt>(std::move(options),
                                                std::move(handlers));
  made->start(loop);
  return made;
}

}  // namespace fulmar
