#include "fulmarpitch/daemon/entry.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/text.h"
#include "wire.h"

namespace fulmar {
namespace {

constexpr auto resubmit_delay = std::chrono::milliseconds(100);
/// Time after its deadline until the entry gives a request up by itself.
constexpr auto deadline_grace = std::chrono::seconds(1);
/// Longest wait for the recorder before a final event says `pending`.
constexpr auto hold_wait = std::chrono::seconds(1);
/// Longer than any claim can be on its way.
constexpr auto renounced_retention = std::chrono::minutes(10);
constexpr std::uint32_t progress_stride = 32;
constexpr std::size_t answer_overhead_bytes = 1024;
constexpr std::size_t bytes_per_token = 8;
constexpr std::size_t most_reserved_bytes = 65'536;

struct held_request {
  entry_job job;
  std::string sequencer;
  instant submit_at{};
  std::uint32_t attempt_number = 0;
  std::uint32_t attempts_started = 0;
  std::string target;
  std::shared_ptr<attempt> running;
  std::optional<attempt_end> stop_reason;
  instant admitted_at{};
  instant first_token_after{};
  instant last_token_at{};
  std::string text;
  std::uint32_t tokens = 0;
  std::uint32_t tokens_reported = 0;
  bool cancelled = false;
  std::size_t reserved = 0;
};

struct waiting_answer {
  entry_job job;
  result_record record;
  instant retry_after{};
  instant give_up_at{};
};

std::size_t reserve_for(const entry_job& job) {
  auto body = job.item.max_tokens * bytes_per_token + answer_overhead_bytes;
  return std::min(body, most_reserved_bytes);
}

}  // namespace

struct entry::state : std::enable_shared_from_this<entry::state> {
  explicit state(entry_links entry_links)
      : links(std::move(entry_links)), outbox({}) {}

  void submit(held_request& it);
  void start_attempt_of(held_request& it, const wire::admitT& admission);
  void take_event(const std::string& id, const completion_event& event,
                  const std::string& data);
  void take_attempt_end(const std::string& id, std::uint32_t number,
                        const attempt_result& result);
  void take_admit(const std::string& from, const wire::admitT& it);
  void take_refuse(const wire::refuseT& it);
  void take_stop(const std::string& from, const wire::stop_attemptT& it);
  void take_record_ack(const wire::record_ackT& it);
  void report_finished(const std::string& to, const std::string& pool,
                       const std::string& id, std::uint32_t attempt,
                       attempt_end end, const held_request* it);
  void complete(const std::string& id, const attempt_result& result);
  void fail(const std::string& id, error_code code, outcome what,
            instant retry_after);
  void end(const std::string& id, result_record record, instant retry_after);
  void answer(const std::string& id, bool recorded);
  void give_up_overdue(instant now);
  void send_results(instant now);
  void answer_unheld(instant now);
  result_record base_record(const held_request& it) const;
  metrics::series series_of(const held_request& it) const {
    return links.figures->of(it.job.item.class_name, it.job.item.caller);
  }
  void observe(const held_request& it, measure what, instant time) const {
    links.figures->observe(what, series_of(it), time);
  }

  entry_links links;
  std::map<std::string, held_request> requests;
  std::map<std::string, waiting_answer> answers;
  std::map<std::uint64_t, std::string> record_ids;
  std::uint64_t last_record_id = 0;
  entry_outbox outbox;
  held_records held;
  /// Requests that must not start here, with the time they were given up.
  std::map<std::string, instant> renounced;
  entry_counts counts;
};

void entry::state::submit(held_request& it) {
  auto now = event_loop::now();
  it.sequencer = links.sequencer_of(it.job.item.model);
  it.submit_at = instant::max();
  if (it.sequencer.empty()) {
    it.submit_at = now + resubmit_delay;
    return;
  }
  auto out = wire::submitT();
  out.pool = it.job.item.model;
  out.item = std::make_unique<wire::workT>(to_wire(it.job.item));
  out.attempt = it.attempt_number;
  out.target = it.running ? it.target : "";
  out.tokens_produced = it.tokens;
  links.peers->send(it.sequencer, std::move(out));
}

void entry::state::take_admit(const std::string& from, const wire::admitT& it) {
  auto found = requests.find(it.request_id);
  auto usable = found != requests.end() && !found->second.running &&
                !found->second.cancelled &&
                it.attempt > found->second.attempt_number;
  auto line = std::string(it.record.begin(), it.record.end());
  auto kept = held.take(line);
  if (!usable || !kept.ok()) {
    report_finished(from, it.pool, it.request_id, it.attempt,
                    attempt_end::cancelled, nullptr);
    return;
  }
  found->second.sequencer = from;
  start_attempt_of(found->second, it);
}

void entry::state::start_attempt_of(held_request& it,
                                    const wire::admitT& admission) {
  ensure(!it.job.item.no_repeat || it.attempts_started == 0,
         invariant::at_most_once, "a no-repeat request would start again");
  it.attempt_number = admission.attempt;
  it.target = admission.target;
  it.admitted_at = event_loop::now();
  it.first_token_after = {};
  it.last_token_at = {};
  if (it.attempts_started == 0) {
    observe(it, measure::queue_time, it.admitted_at - it.job.item.arrival);
  } else if (it.stop_reason != attempt_end::preempted) {
    links.figures->add(counter::retries, 1, series_of(it));
  }
  it.stop_reason.reset();
  ++it.attempts_started;
  ++counts.attempts;
  if (it.tokens > 0) ++counts.resumed;
  auto request = it.job.request;
  if (it.job.completion) {
    request.body = target_body(it.job.request.body, it.tokens, it.text);
  }
  auto id = it.job.item.id;
  auto number = it.attempt_number;
  auto self = std::weak_ptr(shared_from_this());
  it.running = start_attempt(
      *links.loop,
      {.address = admission.address,
       .request = std::move(request),
       .form = it.job.completion ? std::optional(it.job.completion->form)
                                 : std::nullopt},
      {.on_event =
           [self, id](const auto& event, const auto& data) {
             if (auto to = self.lock()) to->take_event(id, event, data);
           },
       .on_end =
           [self, id, number](const attempt_result& result) {
             if (auto to = self.lock()) {
               to->take_attempt_end(id, number, result);
             }
           }});
}

void entry::state::take_event(const std::string& id,
                              const completion_event& event,
                              const std::string& data) {
  auto found = requests.find(id);
  if (found == requests.end()) return;
  auto& it = found->second;
  auto now = event_loop::now();
  if (it.first_token_after == instant{}) {
    it.first_token_after = now - it.admitted_at;
    if (it.tokens == 0) {
      observe(it, measure::first_token, now - it.job.item.arrival);
    }
  } else {
    observe(it, measure::between_tokens, now - it.last_token_at);
  }
  it.last_token_at = now;
  if (!event.text.empty()) {
    it.text += event.text;
    ++it.tokens;
  }
  if (it.job.on_event) it.job.on_event(data);
  if (it.tokens - it.tokens_reported < progress_stride) return;
  it.tokens_reported = it.tokens;
  auto out = wire::progressT();
  out.pool = it.job.item.model;
  out.request_id = id;
  out.tokens_produced = it.tokens;
  links.peers->send(it.sequencer, std::move(out));
}

void entry::state::take_attempt_end(const std::string& id, std::uint32_t number,
                                    const attempt_result& result) {
  auto found = requests.find(id);
  if (found == requests.end() || found->second.attempt_number != number) {
    return;
  }
  auto& it = found->second;
  it.running.reset();
  auto end = result.end;
  if (end == attempt_end::cancelled && it.stop_reason) end = *it.stop_reason;
  report_finished(it.sequencer, it.job.item.model, id, number, end, &it);
  if (it.cancelled) {
    fail(id, error_code::cancelled, outcome::ran, {});
    return;
  }
  if (end == attempt_end::completed) {
    complete(id, result);
    return;
  }
  if (it.job.item.no_repeat) {
    auto what =
        result.what == outcome::not_run ? outcome::not_run : outcome::unknown;
    auto code = what == outcome::not_run ? error_code::attempt_failed
                                         : error_code::outcome_unknown;
    if (what == outcome::not_run) it.attempts_started = 0;
    fail(id, code, what, {});
  }
}

void entry::state::report_finished(const std::string& to,
                                   const std::string& pool,
                                   const std::string& id, std::uint32_t attempt,
                                   attempt_end end, const held_request* it) {
  auto out = wire::finishedT();
  out.pool = pool;
  out.request_id = id;
  out.attempt = attempt;
  out.end = static_cast<std::uint8_t>(end);
  out.tokens_produced = it == nullptr ? 0 : it->tokens;
  out.first_token_after = it == nullptr ? 0 : it->first_token_after.count();
  links.peers->send(to, std::move(out));
}

void entry::state::take_refuse(const wire::refuseT& it) {
  auto found = requests.find(it.request_id);
  if (found == requests.end() || found->second.running) return;
  auto line = std::string(it.record.begin(), it.record.end());
  if (!held.take(line).ok()) return;
  fail(it.request_id, static_cast<error_code>(it.code),
       static_cast<outcome>(it.what), instant(it.retry_after));
}

void entry::state::take_stop(const std::string& from,
                             const wire::stop_attemptT& it) {
  auto line = std::string(it.record.begin(), it.record.end());
  if (!held.take(line).ok()) return;
  auto reason = it.preempted ? attempt_end::preempted : attempt_end::cancelled;
  auto found = requests.find(it.request_id);
  if (found == requests.end() || !found->second.running ||
      found->second.attempt_number != it.attempt) {
    report_finished(from, it.pool, it.request_id, it.attempt, reason, nullptr);
    return;
  }
  found->second.stop_reason = reason;
  if (it.preempted) {
    links.figures->add(counter::preemptions, 1, series_of(found->second));
  }
  found->second.running->cancel();
}

result_record entry::state::base_record(const held_request& it) const {
  return {.request_id = it.job.item.id,
          .caller = it.job.item.caller,
          .started = it.job.item.arrival,
          .finished = event_loop::now()};
}

void entry::state::complete(const std::string& id,
                            const attempt_result& result) {
  auto& it = requests.at(id);
  auto record = base_record(it);
  record.status = result.status;
  record.body = result.body;
  if (!result.content_type.empty()) record.content_type = result.content_type;
  if (it.job.completion && result.status == 200) {
    record.content_type = "application/json";
    record.body = whole_answer(*it.job.completion, id, it.text, it.tokens,
                               result.finish_reason);
  }
  end(id, std::move(record), {});
}

void entry::state::fail(const std::string& id, error_code code, outcome what,
                        instant retry_after) {
  auto& it = requests.at(id);
  if (it.attempts_started == 0) {
    what = it.job.may_have_run ? outcome::unknown : outcome::not_run;
  } else if (what == outcome::not_run) {
    what = outcome::ran;
  }
  ensure(what != outcome::not_run || it.attempts_started == 0,
         invariant::not_run_is_true, "an attempt had left the VM");
  auto record = base_record(it);
  record.code = code;
  record.what = what;
  record.status = http_status(code);
  record.body = error_body(code, what, failure_message(code));
  end(id, std::move(record), retry_after);
}

void entry::state::end(const std::string& id, result_record record,
                       instant retry_after) {
  auto node = requests.extract(id);
  ensure(!node.empty(), invariant::one_result, "a request ended twice");
  auto& it = node.mapped();
  ++counts.ended;
  observe(it, measure::whole_time, record.finished - record.started);
  links.figures->observe_tokens(series_of(it), it.tokens);
  if (record.code == error_code::overloaded) {
    links.figures->add(counter::sheds, 1, series_of(it));
  }
  if (!it.job.records_result) {
    if (it.job.on_end) it.job.on_end(record, false, retry_after);
    return;
  }
  outbox.add(record, it.reserved);
  answers[id] = {.job = std::move(it.job),
                 .record = std::move(record),
                 .retry_after = retry_after,
                 .give_up_at = event_loop::now() + hold_wait};
  send_results(event_loop::now());
}

void entry::state::answer(const std::string& id, bool recorded) {
  auto node = answers.extract(id);
  if (node.empty()) return;
  const auto& it = node.mapped();
  if (it.job.on_end) it.job.on_end(it.record, recorded, it.retry_after);
}

void entry::state::take_record_ack(const wire::record_ackT& it) {
  auto found = record_ids.find(it.id);
  if (found == record_ids.end()) return;
  auto id = found->second;
  auto code = static_cast<error_code>(it.code);
  if (it.recorded) {
    record_ids.erase(found);
    ++counts.recorded;
    outbox.acknowledged(id);
    answer(id, true);
    return;
  }
  if (code != error_code::none) {
    record_ids.erase(found);
    return;
  }
  outbox.held(id);
  answer(id, false);
}

void entry::state::send_results(instant now) {
  auto to = links.recorder();
  if (to.empty()) return;
  for (const auto& it : outbox.take_due(now)) {
    auto out = wire::record_resultT();
    out.id = ++last_record_id;
    record_ids[out.id] = it.request_id;
    auto bytes = std::string();
    append_result(it, bytes);
    out.body.assign(bytes.begin(), bytes.end());
    links.peers->send(to, std::move(out));
  }
}

void entry::state::answer_unheld(instant now) {
  auto due = std::vector<std::string>();
  for (const auto& [id, it] : answers) {
    if (it.give_up_at <= now) due.push_back(id);
  }
  for (const auto& id : due)
    answer(id, false);
}

void entry::state::give_up_overdue(instant now) {
  auto due = std::vector<std::string>();
  for (const auto& [id, it] : requests) {
    auto is_batch = it.job.item.kind == work_kind::batch;
    if (!is_batch && it.job.item.deadline + deadline_grace <= now) {
      due.push_back(id);
    }
  }
  for (const auto& id : due) {
    auto& it = requests.at(id);
    if (it.running) {
      it.cancelled = true;
      it.running->cancel();
      continue;
    }
    auto out = wire::cancelT();
    out.pool = it.job.item.model;
    out.request_id = id;
    if (!it.sequencer.empty()) links.peers->send(it.sequencer, std::move(out));
    auto what = it.job.item.no_repeat ? outcome::unknown : outcome::ran;
    fail(id, error_code::deadline_exceeded, what, {});
  }
}

entry::entry(entry_links links)
    : state_(std::make_shared<state>(std::move(links))) {}

entry::~entry() = default;

absl::Status entry::start(entry_job job) {
  if (state_->renounced.contains(job.item.id)) {
    return make_error(error_code::conflict,
                      "another daemon took the request over");
  }
  auto reserved = std::size_t{0};
  if (job.records_result) {
    reserved = reserve_for(job);
    if (auto status = state_->outbox.reserve(reserved); !status.ok()) {
      return status;
    }
  }
  ++state_->counts.accepted;
  auto id = job.item.id;
  auto [it, is_new] = state_->requests.try_emplace(id);
  ensure(is_new, invariant::one_result, "a request id stands twice");
  it->second.job = std::move(job);
  it->second.reserved = reserved;
  state_->submit(it->second);
  return absl::OkStatus();
}

bool entry::cancel(const std::string& request_id) {
  auto found = state_->requests.find(request_id);
  if (found == state_->requests.end()) return false;
  auto& it = found->second;
  auto out = wire::cancelT();
  out.pool = it.job.item.model;
  out.request_id = request_id;
  if (!it.sequencer.empty()) {
    state_->links.peers->send(it.sequencer, std::move(out));
  }
  if (it.running) {
    it.cancelled = true;
    it.running->cancel();
    return true;
  }
  state_->fail(request_id, error_code::cancelled, outcome::ran, {});
  return true;
}

bool entry::holds(const std::string& request_id) const {
  return state_->requests.contains(request_id);
}

void entry::renounce(const std::string& request_id) {
  if (holds(request_id)) return;
  state_->renounced[request_id] = event_loop::now();
}

bool entry::is_renounced(const std::string& request_id) const {
  return state_->renounced.contains(request_id);
}

void entry::reclaim(const std::string& request_id) {
  state_->renounced.erase(request_id);
}

const result_record* entry::find_unrecorded(
    const std::string& request_id) const {
  return state_->outbox.find(request_id);
}

bool entry::take(const std::string& from, const wire::bodyUnion& body) {
  switch (body.type) {
    case wire::body::admit:
      state_->take_admit(from, *body.Asadmit());
      return true;
    case wire::body::refuse:
      state_->take_refuse(*body.Asrefuse());
      return true;
    case wire::body::stop_attempt:
      state_->take_stop(from, *body.Asstop_attempt());
      return true;
    case wire::body::record_ack:
      state_->take_record_ack(*body.Asrecord_ack());
      return true;
    case wire::body::not_owner: {
      auto found = state_->requests.find(body.Asnot_owner()->request_id);
      if (found != state_->requests.end()) {
        found->second.submit_at = event_loop::now() + resubmit_delay;
      }
      return true;
    }
    case wire::body::durable: {
      const auto& it = *body.Asdurable();
      if (auto epoch = epoch_from_text(it.epoch)) {
        state_->held.release(it.pool, *epoch, it.number);
      }
      return true;
    }
    default:
      return false;
  }
}

void entry::peer_lost(const std::string& peer) {
  auto at = event_loop::now() + resubmit_delay;
  for (auto& [id, it] : state_->requests) {
    if (it.sequencer == peer) it.submit_at = at;
  }
}

void entry::sequencers_changed() {
  auto now = event_loop::now();
  for (auto& [id, it] : state_->requests) {
    if (state_->links.sequencer_of(it.job.item.model) != it.sequencer) {
      it.submit_at = now;
    }
  }
}

void entry::recorder_changed() {
  state_->record_ids.clear();
  state_->outbox.recorder_changed();
}

void entry::tick() {
  auto now = event_loop::now();
  for (auto& [id, it] : state_->requests) {
    if (it.submit_at <= now) state_->submit(it);
  }
  std::erase_if(state_->renounced, [now](const auto& it) {
    return now - it.second > renounced_retention;
  });
  state_->give_up_overdue(now);
  state_->send_results(now);
  state_->answer_unheld(now);
}

held_records& entry::records() {
  return state_->held;
}
const entry_counts& entry::counts() const {
  return state_->counts;
}
std::size_t entry::open() const {
  return state_->requests.size();
}
std::size_t entry::unrecorded() const {
  return state_->outbox.size();
}

}  // namespace fulmar
