#include "fulmarpitch/daemon/batch-runner.h"

#include <glog/logging.h>

#include <boost/json.hpp>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "wire.h"

namespace json = boost::json;

namespace fulmar {
namespace {

constexpr auto first_item_retry = std::chrono::milliseconds(200);
constexpr auto longest_item_retry = std::chrono::seconds(10);

/// An item of a chunk on its way to its one result.
struct item_progress {
  std::string request_id;
  std::uint32_t attempts = 0;
  std::uint32_t refusals = 0;
  instant start_at{};
  std::optional<item_result> result;
};

/// A chunk that this VM works on.
struct running_chunk {
  chunk_holder holder;
  std::vector<item_progress> items;
  std::size_t in_flight = 0;
  bool finished = false;
  bool stopped = false;
};

std::string response_line(std::string_view custom_id,
                          const result_record& from) {
  auto ec = json::error_code();
  auto body = json::parse(from.body, ec);
  if (ec) body = json::string(from.body);
  return json::serialize(json::object{
      {"custom_id", json::string(custom_id.data(), custom_id.size())},
      {"response",
       {{"status_code", from.status},
        {"request_id", from.request_id},
        {"body", std::move(body)}}}});
}

/// Whether the same item may succeed later.
bool is_worth_another_try(const result_record& it) {
  switch (it.code) {
    case error_code::overloaded:
    case error_code::rate_limited:
    case error_code::shutting_down:
    case error_code::store_unavailable:
    case error_code::deadline_exceeded:
    case error_code::attempt_failed:
    case error_code::cancelled:
      return true;
    default:
      return false;
  }
}

bool counts_as_attempt(const result_record& it) {
  return it.what != outcome::not_run && it.code == error_code::attempt_failed;
}

const class_declaration* batch_class(const configuration& in_force,
                                     const std::string& caller) {
  const class_declaration* any = nullptr;
  for (const auto& it : in_force.classes) {
    if (it.kind != work_kind::batch) continue;
    if (any == nullptr) any = &it;
    for (const auto& each : in_force.callers) {
      if (each.name == caller && each.class_name == it.name) return &it;
    }
  }
  return any;
}

}  // namespace

struct batch_runner::state : std::enable_shared_from_this<batch_runner::state> {
  state(batch_runner_options runner_options, batch_runner_links runner_links)
      : options(std::move(runner_options)),
        links(std::move(runner_links)),
        finder(links.stores, holder_options()),
        random(options.random_seed) {}

  chunk_options holder_options() const {
    return {.holder = options.holder,
            .random_seed = options.random_seed,
            .is_lost = links.is_lost};
  }

  void look(instant now);
  bool works_on(const chunk_candidate& wanted) const;
  void tick_chunk(std::uint64_t number, running_chunk& it, instant now);
  void start_items(std::uint64_t number, running_chunk& it, instant now);
  bool start_item(std::uint64_t number, running_chunk& it, std::size_t index,
                  instant now);
  void take_result(std::uint64_t number, std::size_t index,
                   const result_record& record, instant retry_after);
  void cancel_items(running_chunk& it);
  void commit_when_whole(running_chunk& it);
  void drop(running_chunk& it);

  batch_runner_options options;
  batch_runner_links links;
  chunk_finder finder;
  std::mt19937_64 random;
  std::map<std::uint64_t, running_chunk> chunks;
  std::uint64_t last_chunk = 0;
  instant look_at{};
  bool looking = false;
  bool closed = false;
  batch_runner_counts counts;
};

bool batch_runner::state::works_on(const chunk_candidate& wanted) const {
  for (const auto& [number, it] : chunks) {
    const auto& mine = it.holder.candidate();
    if (mine.job.id == wanted.job.id &&
        mine.chunk.number == wanted.chunk.number) {
      return true;
    }
  }
  return false;
}

void batch_runner::state::look(instant now) {
  if (closed || looking || now < look_at || !links.is_ready()) return;
  if (chunks.size() >= options.most_chunks || !links.in_force()) return;
  looking = true;
  auto self = std::weak_ptr(shared_from_this());
  finder.next_chunk(
      now, [](const job_info&) { return true; },
      [self, now](const absl::StatusOr<std::optional<chunk_candidate>>& got) {
        auto to = self.lock();
        if (!to) return;
        to->looking = false;
        if (!got.ok() || !got->has_value()) {
          to->look_at = now + to->options.look_period;
          return;
        }
        if (to->closed) return;
        if (to->works_on(**got)) {
          to->look_at = now + to->options.look_period;
          return;
        }
        to->chunks.try_emplace(
            ++to->last_chunk,
            running_chunk{.holder = chunk_holder(to->links.stores,
                                                 to->holder_options(), **got,
                                                 event_loop::now())});
      });
}

void batch_runner::state::tick_chunk(std::uint64_t number, running_chunk& it,
                                     instant now) {
  auto state = it.holder.tick(now);
  if (state == lease_state::lost) {
    drop(it);
    return;
  }
  if (state != lease_state::held || it.finished) return;
  const auto* items = it.holder.items();
  if (items == nullptr) return;
  if (it.items.size() != items->size()) it.items.resize(items->size());
  if (it.holder.cancelled()) cancel_items(it);
  if (closed) {
    if (it.in_flight == 0) it.holder.hand_back();
    return;
  }
  start_items(number, it, now);
  commit_when_whole(it);
}

void batch_runner::state::start_items(std::uint64_t number, running_chunk& it,
                                      instant now) {
  if (!it.holder.may_start(now) || it.holder.cancelled()) return;
  for (std::size_t i = 0; i < it.items.size(); ++i) {
    if (it.in_flight >= options.most_items) return;
    auto& item = it.items[i];
    if (item.result || !item.request_id.empty() || item.start_at > now) {
      continue;
    }
    if (!start_item(number, it, i, now)) return;
  }
}

bool batch_runner::state::start_item(std::uint64_t number, running_chunk& it,
                                     std::size_t index, instant now) {
  auto in_force = links.in_force();
  const auto& job = it.holder.candidate().job;
  const auto& from = (*it.holder.items())[index];
  auto& item = it.items[index];
  auto form = job.url == "/v1/chat/completions" ? completion_form::chat
                                                : completion_form::text;
  auto parsed = parse_completion(form, from.body);
  const auto* its_class = batch_class(*in_force, job.caller);
  if (!parsed.ok() || its_class == nullptr) {
    auto status = parsed.ok() ? make_error(error_code::bad_request,
                                           "no class takes batch work")
                              : parsed.status();
    auto record =
        result_record{.code = code_of(status),
                      .what = outcome::not_run,
                      .status = http_status(code_of(status)),
                      .body = error_body(code_of(status), outcome::not_run,
                                         std::string(status.message()))};
    item.result = item_result{.custom_id = from.custom_id,
                              .succeeded = false,
                              .line = response_line(from.custom_id, record)};
    ++counts.items_failed;
    return true;
  }
  auto work = entry_job{.records_result = false};
  work.item = {.id = make_request_id(options.data_centre, now, random()),
               .caller = job.caller,
               .class_name = its_class->name,
               .model = parsed->model,
               .adapter = parsed->adapter,
               .kind = work_kind::batch,
               .prompt_tokens = parsed->prompt_tokens,
               .max_tokens = parsed->max_tokens,
               .prefix_blocks = parsed->prefix_blocks,
               .content_hash = parsed->content_hash,
               .arrival = now,
               .deadline = job.due};
  work.completion = std::move(*parsed);
  work.request = {.method = "POST",
                  .target = job.url,
                  .headers = {{"Content-Type", "application/json"},
                              {"Fulmar-Request-Id", work.item.id}},
                  .body = from.body};
  auto self = std::weak_ptr(shared_from_this());
  work.on_end = [self, number, index](const auto& record, bool,
                                      instant retry_after) {
    if (auto to = self.lock()) {
      to->take_result(number, index, record, retry_after);
    }
  };
  item.request_id = work.item.id;
  ++it.in_flight;
  return links.requests->start(std::move(work)).ok();
}

void batch_runner::state::take_result(std::uint64_t number, std::size_t index,
                                      const result_record& record,
                                      instant retry_after) {
  auto found = chunks.find(number);
  if (found == chunks.end()) return;
  auto& it = found->second;
  auto& item = it.items[index];
  item.request_id.clear();
  --it.in_flight;
  if (it.stopped) return;
  auto custom_id = (*it.holder.items())[index].custom_id;
  if (record.code == error_code::none && record.status == 200) {
    ++counts.items_succeeded;
    item.result = item_result{.custom_id = custom_id,
                              .line = response_line(custom_id, record)};
    return;
  }
  auto in_force = links.in_force();
  if (counts_as_attempt(record)) ++item.attempts;
  if (it.holder.cancelled() && record.code == error_code::cancelled) return;
  if (is_worth_another_try(record) &&
      item.attempts < in_force->batch.max_attempts_per_item) {
    auto doubled = first_item_retry * (1U << std::min(item.refusals, 6U));
    auto wait = std::min<instant>(doubled, longest_item_retry);
    ++item.refusals;
    item.start_at = event_loop::now() + std::max(wait, retry_after);
    return;
  }
  ++counts.items_failed;
  item.result = item_result{.custom_id = custom_id,
                            .succeeded = false,
                            .line = response_line(custom_id, record)};
}

void batch_runner::state::cancel_items(running_chunk& it) {
  for (std::size_t i = 0; i < it.items.size(); ++i) {
    auto& item = it.items[i];
    if (item.result) continue;
    if (!item.request_id.empty()) {
      links.requests->cancel(std::string(item.request_id));
      continue;
    }
    auto custom_id = (*it.holder.items())[i].custom_id;
    ++counts.items_cancelled;
    item.result = item_result{.custom_id = custom_id,
                              .succeeded = false,
                              .cancelled = true,
                              .line = cancelled_line(custom_id)};
  }
}

void batch_runner::state::commit_when_whole(running_chunk& it) {
  auto results = std::vector<item_result>();
  for (const auto& item : it.items) {
    if (!item.result) return;
  }
  for (auto& item : it.items)
    results.push_back(std::move(*item.result));
  it.finished = true;
  it.holder.finish(results);
}

void batch_runner::state::drop(running_chunk& it) {
  it.stopped = true;
  for (const auto& item : it.items) {
    if (!item.request_id.empty()) {
      links.requests->cancel(std::string(item.request_id));
    }
  }
}

batch_runner::batch_runner(batch_runner_options options,
                           batch_runner_links links)
    : state_(std::make_shared<state>(std::move(options), std::move(links))) {}

batch_runner::~batch_runner() = default;

void batch_runner::tick(instant now) {
  auto& s = *state_;
  s.look(now);
  for (auto it = s.chunks.begin(); it != s.chunks.end();) {
    s.tick_chunk(it->first, it->second, now);
    auto ended = it->second.holder.current();
    auto is_over = ended == lease_state::committed ||
                   ended == lease_state::returned || ended == lease_state::lost;
    if (!is_over || it->second.in_flight > 0) {
      ++it;
      continue;
    }
    const auto& chunk = it->second.holder.candidate();
    LOG(INFO) << "chunk " << chunk.chunk.number << " of job " << chunk.job.id
              << " is " << name_in(lease_state_names, ended);
    if (ended == lease_state::committed) ++s.counts.chunks_committed;
    if (ended == lease_state::lost) ++s.counts.chunks_lost;
    it = s.chunks.erase(it);
  }
}

void batch_runner::close() {
  state_->closed = true;
}

std::size_t batch_runner::open() const {
  return state_->chunks.size();
}

const batch_runner_counts& batch_runner::counts() const {
  return state_->counts;
}

}  // namespace fulmar
