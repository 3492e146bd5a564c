#include "fulmarpitch/state/recorder.h"

#include <deque>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/state/backoff.h"
#include "fulmarpitch/state/claim-writer.h"
#include "fulmarpitch/state/result-writer.h"

namespace fulmar {
namespace detail {
namespace {

struct pending_segment {
  std::string name;
  std::string bytes;
  callback<bool> done;
};

/// Order segments, written one after the other.
struct segment_queue {
  explicit segment_queue(const recorder_options& options)
      : retry(options.first_retry, options.longest_retry, options.random_seed) {
  }

  std::deque<pending_segment> segments;
  backoff retry;
  instant now{};
  bool waiting = false;
  std::size_t bytes = 0;
};

using segments_ptr = std::shared_ptr<segment_queue>;

void write_segment(const segments_ptr& queue, const object_store& objects);

void segment_written(const segments_ptr& queue, const object_store& objects,
                     const absl::StatusOr<bool>& put) {
  queue->waiting = false;
  if (!put.ok()) {
    queue->retry.failed(queue->now);
    return;
  }
  queue->retry.succeeded();
  auto segment = std::move(queue->segments.front());
  queue->segments.pop_front();
  queue->bytes -= segment.bytes.size();
  segment.done(*put);
  write_segment(queue, objects);
}

void write_segment(const segments_ptr& queue, const object_store& objects) {
  if (queue->waiting || queue->segments.empty()) return;
  if (!queue->retry.ready(queue->now)) return;
  queue->waiting = true;
  const auto weak = std::weak_ptr(queue);
  objects.put_if_absent(queue->segments.front().name,
                        queue->segments.front().bytes,
                        [weak, objects](const absl::StatusOr<bool>& put) {
                          const auto self = weak.lock();
                          if (self) segment_written(self, objects, put);
                        });
}

}  // namespace
}  // namespace detail

struct recorder::state {
  state(const platform_stores& its_stores, const recorder_options& its_options)
      : stores(its_stores),
        options(its_options),
        results(its_stores, its_options),
        claims(its_stores, its_options),
        segments(std::make_shared<detail::segment_queue>(its_options)) {}

  std::size_t bytes() const {
    return results.bytes() + claims.bytes() + segments->bytes;
  }

  std::size_t count() const {
    return results.size() + claims.size() + segments->segments.size();
  }

  bool full(std::size_t more_bytes) const {
    return count() >= options.most_pending ||
           bytes() + more_bytes > options.most_pending_bytes;
  }

  platform_stores stores;
  recorder_options options;
  detail::result_writer results;
  detail::claim_writer claims;
  detail::segments_ptr segments;
};

namespace {

absl::Status recorder_full() {
  return make_error(error_code::overloaded, "the recorder is full");
}

}  // namespace

recorder::recorder(const platform_stores& stores,
                   const recorder_options& options)
    : state_(std::make_unique<state>(stores, options)) {}

recorder::~recorder() = default;
recorder::recorder(recorder&&) noexcept = default;
recorder& recorder::operator=(recorder&&) noexcept = default;

absl::Status recorder::record(result_record record, callback<recorded> done) {
  if (!parse_request_id(record.request_id)) {
    return make_error(error_code::bad_request, "not a request id");
  }
  const auto known = state_->results.find(record.request_id) != nullptr;
  if (!known && state_->full(record.body.size())) return recorder_full();
  state_->results.add(std::move(record), std::move(done));
  return absl::OkStatus();
}

absl::Status recorder::claim(claim_record claim, callback<claim_outcome> done) {
  if (claim.value.size() > max_claim_bytes) {
    return make_error(error_code::too_large, "the claim's value is too large");
  }
  if (claim.claimant.find('\n') != std::string::npos) {
    return make_error(error_code::bad_request, "a claimant with a line feed");
  }
  if (state_->full(claim.value.size())) return recorder_full();
  state_->claims.add(std::move(claim), std::move(done));
  return absl::OkStatus();
}

absl::Status recorder::append_segment(std::string name, std::string bytes,
                                      callback<bool> done) {
  if (state_->full(bytes.size())) return recorder_full();
  state_->segments->bytes += bytes.size();
  state_->segments->segments.push_back(
      {std::move(name), std::move(bytes), std::move(done)});
  return absl::OkStatus();
}

void recorder::tick(instant now) {
  state_->results.tick(now);
  state_->claims.tick(now);
  state_->segments->now = now;
  detail::write_segment(state_->segments, state_->stores.objects);
}

const result_record* recorder::find_pending(
    const std::string& request_id) const {
  return state_->results.find(request_id);
}

recorder_load recorder::load() const {
  return {.results = state_->results.size(),
          .claims = state_->claims.size(),
          .segments = state_->segments->segments.size(),
          .bytes = state_->bytes()};
}

}  // namespace fulmar
