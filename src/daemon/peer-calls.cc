#include "peer-calls.h"

#include <vector>

#include "fulmarpitch/core/errors.h"

namespace fulmar {
namespace {

constexpr auto call_timeout = std::chrono::seconds(2);

absl::Status no_answer() {
  return make_error(error_code::store_unavailable, "the peer did not answer",
                    outcome::unknown);
}

}  // namespace

void peer_calls::claim(const std::string& to, const claim_record& claim,
                       callback<claim_outcome> done) {
  auto out = wire::claimT();
  out.kind = static_cast<std::uint8_t>(claim.kind);
  out.subject = claim.subject;
  out.claimant = claim.claimant;
  out.value = claim.value;
  out.id = open(to, [done = std::move(done)](const wire::bodyUnion* body) {
    const auto* it = body == nullptr ? nullptr : body->Asclaim_ack();
    if (it == nullptr) {
      done(no_answer());
      return;
    }
    auto code = static_cast<error_code>(it->code);
    if (code != error_code::none) {
      done(make_error(code, "the claim was refused"));
      return;
    }
    done(claim_outcome{
        .granted = it->granted, .claimant = it->claimant, .value = it->value});
  });
  peers_.send(to, std::move(out));
}

void peer_calls::find_pending(const std::string& to,
                              const std::string& request_id, bool renounce,
                              callback<held_answer> done) {
  auto out = wire::find_pendingT();
  out.request_id = request_id;
  out.renounce = renounce;
  out.id = open(to, [done = std::move(done)](const wire::bodyUnion* body) {
    const auto* it = body == nullptr ? nullptr : body->Asfound_pending();
    if (it == nullptr) {
      done(no_answer());
      return;
    }
    auto answer = held_answer{.running = it->running};
    if (it->found) {
      auto bytes = std::string(it->body.begin(), it->body.end());
      auto parsed = parse_results(bytes);
      if (!parsed.ok() || parsed->size() != 1) {
        done(make_error(error_code::internal, "the peer's result is damaged"));
        return;
      }
      answer.result = std::move(parsed->front());
    }
    done(std::move(answer));
  });
  peers_.send(to, std::move(out));
}

void peer_calls::get_snapshot(const std::string& to,
                              callback<std::string> done) {
  auto out = wire::get_snapshotT();
  out.id = open(to, [done = std::move(done)](const wire::bodyUnion* body) {
    const auto* it = body == nullptr ? nullptr : body->Assnapshot();
    if (it == nullptr) {
      done(no_answer());
      return;
    }
    done(it->body);
  });
  peers_.send(to, out);
}

bool peer_calls::take(const wire::bodyUnion& body) {
  if (const auto* claim = body.Asclaim_ack()) {
    answer(claim->id, &body);
  } else if (const auto* found = body.Asfound_pending()) {
    answer(found->id, &body);
  } else if (const auto* snapshot = body.Assnapshot()) {
    answer(snapshot->id, &body);
  } else {
    return false;
  }
  return true;
}

void peer_calls::peer_lost(const std::string& peer) {
  auto lost = std::vector<std::uint64_t>();
  for (const auto& [id, it] : calls_) {
    if (it.to == peer) lost.push_back(id);
  }
  for (auto id : lost)
    answer(id, nullptr);
}

std::uint64_t peer_calls::open(
    const std::string& to, std::function<void(const wire::bodyUnion*)> take) {
  auto id = ++last_id_;
  calls_[id] = {.to = to, .take = std::move(take)};
  loop_.after(call_timeout, [this, id] { answer(id, nullptr); });
  return id;
}

void peer_calls::answer(std::uint64_t id, const wire::bodyUnion* body) {
  auto node = calls_.extract(id);
  if (!node.empty()) node.mapped().take(body);
}

}  // namespace fulmar
