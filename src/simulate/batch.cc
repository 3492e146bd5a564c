#include <algorithm>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/simulate/world.h"

namespace fulmar::simulate {
namespace {

constexpr std::size_t chunks_per_worker = 2;
constexpr std::size_t running_per_chunk = 2;
constexpr std::size_t items_per_chunk = 4;
constexpr std::uint64_t most_items = 40;
constexpr auto lease_length = instant(std::chrono::seconds(15));
constexpr auto least_run = instant(std::chrono::milliseconds(100));
constexpr auto longest_run = instant(std::chrono::seconds(2));
constexpr auto search_pause = instant(std::chrono::milliseconds(500));
constexpr std::uint64_t resend_per_mille = 300;
constexpr std::uint64_t late_resend_per_mille = 3;
constexpr std::uint64_t look_per_mille = 20;
constexpr std::uint64_t item_failure_per_mille = 50;

std::string item_id(std::uint64_t number) {
  return concat("item-", number);
}

chunk_options options_of(world& it, const entry_vm& vm) {
  return {.holder = concat("vm-", vm.index, '-', vm.life, '-', it.names_used++),
          .random_seed = it.random(),
          .lease_length = lease_length,
          .renew_after = std::chrono::seconds(5),
          .stop_before = std::chrono::seconds(2)};
}

void begin_upload(world& it, wanted_job& job) {
  job.upload = std::make_unique<file_upload>(
      it.stores, file_upload_options{.file_id = concat("f-", it.names_used++),
                                     .caller = std::string(caller_name),
                                     .random_seed = it.random(),
                                     .chunk_items = items_per_chunk});
  for (std::uint64_t n = 0; n < job.items; ++n) {
    const auto line = concat(R"({"custom_id":")", item_id(n),
                             R"(","body":{"job":)", job.number, "}}\n");
    const auto status = job.upload->feed(line);
    ensure(status.ok(), invariant::one_result, "a good line was refused");
  }
  const auto number = job.number;
  job.upload->finish(it.now, [&it, number](const auto& file) {
    it.jobs.at(number).file = file.value();
  });
}

void job_acknowledged(world& it, wanted_job& job, const job_info& info) {
  if (!job.job) note(it, concat("job ", job.number, " is accepted"));
  job.job = info;
  job.job_ids.insert(info.id);
  ensure(job.job_ids.size() == 1, invariant::one_result,
         "a job sent again became another job");
}

/// Sends the job request, now and then once more although it was accepted.
void request_job(world& it, wanted_job& job) {
  job.calling = true;
  const auto number = job.number;
  const auto request = job_request{
      .file = *job.file,
      .key = job.keyed ? concat("job-", number) : "",
      .due = it.now + draw_span(it, instant(0), std::chrono::hours(1)),
      .now = it.now,
      .transaction_id = concat("create-", it.names_used++)};
  create_job(it.stores, request, [&it, number](const auto& created) {
    auto& same = it.jobs.at(number);
    same.calling = false;
    if (created.ok()) job_acknowledged(it, same, created->job);
    if (created.ok() && !chance(it, resend_per_mille)) return;
    count_fault(it, simulated_fault::job_resent);
    request_job(it, same);
  });
}

void request_cancel(world& it, wanted_job& job) {
  job.calling = true;
  const auto number = job.number;
  cancel_job(it.stores, job.job->caller, job.job->id,
             concat("cancel-", it.names_used++),
             [&it, number](const auto& out) {
               auto& same = it.jobs.at(number);
               same.calling = false;
               if (!out.ok()) return;
               same.wants_cancel = false;
               if (out->state != job_state::cancelling) return;
               same.cancelled_at = it.now;
               count_fault(it, simulated_fault::job_cancelled);
               note(it, concat("job ", number, " is cancelled"));
             });
}

/// Reads both files of a job, one chunk after the other.
struct content_read {
  job_content output;
  job_content errors;
  std::function<void(absl::StatusOr<std::string>)> done;
  std::string text;
  bool in_errors = false;
};

void read_on(const std::shared_ptr<content_read>& it) {
  auto& part = it->in_errors ? it->errors : it->output;
  part.next([it](const absl::StatusOr<std::optional<std::string>>& lines) {
    if (!lines.ok()) return it->done(lines.status());
    if (!*lines && it->in_errors) return it->done(it->text);
    if (!*lines) it->in_errors = true;
    if (*lines) it->text += **lines;
    read_on(it);
  });
}

void read_content(world& it, const job_info& job,
                  std::function<void(absl::StatusOr<std::string>)> done) {
  read_on(std::make_shared<content_read>(
      content_read{{it.stores, job, content_kind::output},
                   {it.stores, job, content_kind::errors},
                   std::move(done)}));
}

void check_content(const wanted_job& job, const std::string& text) {
  auto lines = std::multiset<std::string>();
  for (std::size_t at = 0; at < text.size();) {
    const auto end = text.find('\n', at);
    const auto line = text.substr(at, end - at);
    const auto begin = line.find("item-");
    lines.insert(line.substr(begin, line.find('"', begin) - begin));
    at = end + 1;
  }
  ensure(lines.size() == job.items, invariant::one_result,
         "a job's files miss an item or double it");
  for (std::uint64_t n = 0; n < job.items; ++n) {
    ensure(lines.count(item_id(n)) == 1, invariant::one_result,
           "an item does not stand once in its job's files");
  }
}

/// A job that is final is read; what was read once may never change.
void look_at_job(world& it, wanted_job& job) {
  job.reading = true;
  const auto number = job.number;
  const auto failed = [&it, number] { it.jobs.at(number).reading = false; };
  find_job(it.stores, job.job->caller, job.job->id,
           [&it, number, failed](const auto& found) {
             if (!found.ok()) return failed();
             ensure(is_final(found->state) || !it.jobs.at(number).content,
                    invariant::cancelled_stops, "a final job is open again");
             if (!is_final(found->state)) return failed();
             read_content(it, *found, [&it, number](const auto& text) {
               auto& same = it.jobs.at(number);
               same.reading = false;
               if (!text.ok()) return;
               check_content(same, *text);
               ensure(!same.content || *same.content == *text,
                      invariant::one_result,
                      "the files of a final job have changed");
               same.content = *text;
             });
           });
}

const wanted_job& job_of(const world& it, const chunk_candidate& at) {
  const auto found =
      std::find_if(it.jobs.begin(), it.jobs.end(), [&at](const auto& job) {
        return job.job_ids.count(at.job.id) > 0 ||
               (job.file && job.file->content_hash == at.job.content_hash);
      });
  return *found;
}

void start_items(world& it, worker_chunk& chunk) {
  const auto& items = *chunk.holder.items();
  while (chunk.started < items.size() &&
         chunk.running.size() < running_per_chunk &&
         chunk.holder.may_start(it.now)) {
    const auto& job = job_of(it, chunk.holder.candidate());
    const auto stopped = job.cancelled_at > instant{} &&
                         it.now > job.cancelled_at + lease_length;
    ensure(!stopped, invariant::cancelled_stops,
           "an item of a cancelled job started");
    chunk.running.push_back({items[chunk.started++].custom_id,
                             it.now + draw_span(it, least_run, longest_run)});
  }
}

std::string result_line(world& it, const std::string& id) {
  return concat(R"({"custom_id":")", id, R"(","response":{"run":)",
                it.names_used++, "}}");
}

void end_items(world& it, worker_chunk& chunk) {
  auto& running = chunk.running;
  for (const auto& item : running) {
    if (item.ends > it.now) continue;
    chunk.results.push_back(
        {.custom_id = item.custom_id,
         .succeeded = draw(it, 1000) >= item_failure_per_mille,
         .line = result_line(it, item.custom_id)});
  }
  running.erase(
      std::remove_if(running.begin(), running.end(),
                     [&it](const auto& item) { return item.ends <= it.now; }),
      running.end());
}

/// Items that did not start before the cancellation are not run.
void cancel_items(worker_chunk& chunk) {
  const auto& items = *chunk.holder.items();
  for (; chunk.started < items.size(); ++chunk.started) {
    const auto& id = items[chunk.started].custom_id;
    chunk.results.push_back({.custom_id = id,
                             .succeeded = false,
                             .cancelled = true,
                             .line = cancelled_line(id)});
  }
}

bool ended(lease_state state) {
  return state == lease_state::committed || state == lease_state::returned ||
         state == lease_state::lost;
}

/// Works on a chunk. A holder that was paused acts before it looks at the time.
void run_chunk(world& it, worker_chunk& chunk) {
  const auto held = chunk.holder.current() == lease_state::held;
  if (held && chunk.holder.items() != nullptr) {
    end_items(it, chunk);
    if (chunk.holder.cancelled()) cancel_items(chunk);
    start_items(it, chunk);
    const auto whole = chunk.results.size() == chunk.holder.items()->size();
    if (whole && !std::exchange(chunk.finished, true)) {
      chunk.holder.finish(chunk.results);
    }
  }
  chunk.holder.tick(it.now);
}

void search(world& it, entry_vm& vm) {
  vm.searching = true;
  vm.next_search = it.now + search_pause;
  if (!vm.finder) {
    vm.finder = std::make_unique<chunk_finder>(it.stores, options_of(it, vm));
  }
  const auto life = life_of(vm);
  vm.finder->next_chunk(
      it.now, [](const auto&) { return true; },
      [&it, life](const auto& out) {
        if (!lives(it, life)) return;
        auto& same = it.vms.at(life.vm);
        same.searching = false;
        if (!out.ok() || !*out || same.draining) return;
        same.chunks.push_back(std::make_unique<worker_chunk>(
            it.stores, options_of(it, same), **out, it.now));
      });
}

void run_worker(world& it, entry_vm& vm) {
  for (auto& chunk : vm.chunks) {
    if (vm.draining) chunk->holder.hand_back();
    run_chunk(it, *chunk);
  }
  vm.chunks.erase(std::remove_if(vm.chunks.begin(), vm.chunks.end(),
                                 [](const auto& chunk) {
                                   return ended(chunk->holder.current());
                                 }),
                  vm.chunks.end());
  const auto wants =
      !vm.draining && !vm.searching && vm.chunks.size() < chunks_per_worker;
  if (wants && it.now >= vm.next_search) search(it, vm);
}

}  // namespace

void start_job(world& it) {
  auto& job = it.jobs.emplace_back();
  job.number = it.jobs.size() - 1;
  job.items = 1 + draw(it, most_items);
  job.keyed = draw(it, 2) == 0;
  begin_upload(it, job);
}

void run_jobs(world& it) {
  for (auto& job : it.jobs) {
    job.upload->tick(it.now);
    if (!job.file || job.calling) continue;
    if (!job.job) {
      request_job(it, job);
      continue;
    }
    if (job.wants_cancel) {
      request_cancel(it, job);
      continue;
    }
    if (chance(it, late_resend_per_mille)) {
      count_fault(it, simulated_fault::job_resent);
      request_job(it, job);
      continue;
    }
    const auto turn = draw(it, 1000) < look_per_mille;
    if (!job.reading && turn) look_at_job(it, job);
  }
}

void run_workers(world& it) {
  for (auto& vm : it.vms) {
    if (vm.alive && it.now >= vm.paused_until) run_worker(it, vm);
  }
}

void check_jobs(world& it) {
  for (auto& job : it.jobs) {
    ensure(job.content.has_value(), invariant::one_result,
           "an accepted job never became final");
    look_at_job(it, job);
    deliver(*it.memory, it.now);
  }
}

}  // namespace fulmar::simulate
