#include "fulmarpitch/soak/soak-target.h"

#include <absl/strings/numbers.h>

#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/text.h"
#include "platform/names.h"

namespace fulmar::soak {
namespace {

/// Bytes that each event of a long output has beyond a short one's.
constexpr std::size_t long_event_bytes = std::size_t{6} * 1024;

std::string data_of(const std::string& request, std::uint32_t event,
                    const std::string& version) {
  auto n = request.starts_with(long_output_prefix) ? long_event_bytes : 0;
  return concat(request, ":", event, " ", version, std::string(n, '.'));
}

std::string event_text(const std::string& request, std::uint32_t event,
                       const std::string& version) {
  return concat("id: ", event, "\ndata: ", data_of(request, event, version),
                "\n\n");
}

/// Pieces of an answer without end: some MB a second.
constexpr std::size_t endless_piece = std::size_t{16} * 1024;
constexpr auto endless_period = std::chrono::milliseconds(5);

http_header header(std::string_view name, std::string value) {
  return {.name = std::string(name), .value = std::move(value)};
}

}  // namespace

std::string whole_stream(const std::string& request, std::uint32_t events,
                         const std::string& version) {
  auto out = std::string();
  for (auto it = std::uint32_t{1}; it <= events; ++it)
    out += event_text(request, it, version);
  return out;
}

std::string whole_output(const std::string& request, std::uint32_t events,
                         const std::string& version) {
  auto out = std::string();
  for (auto it = std::uint32_t{1}; it <= events; ++it) {
    if (it > 1) out += '\n';
    out += data_of(request, it, version);
  }
  return out;
}

struct soak_target::state : std::enable_shared_from_this<soak_target::state> {
  state(event_loop& event_loop, soak_target_options target_options, on_run run)
      : loop(event_loop),
        options(std::move(target_options)),
        report(std::move(run)) {}

  event_loop& loop;
  soak_target_options options;
  on_run report;
  std::unique_ptr<http_server> server;
  std::uint32_t running = 0;
  bool leaving = false;
  bool endless = false;

  /// What an answer says of the request and of the target.
  std::vector<http_header> headers_of(const std::string& request) const {
    auto out = std::vector{header(platform::header::request_id, request)};
    if (leaving) out.push_back(header(platform::header::target_leaving, "1"));
    return out;
  }

  void take(const std::shared_ptr<http_exchange>& client) {
    const auto& headers = client->request().headers;
    auto request =
        std::string(find_header(headers, platform::header::request_id));
    auto told = headers_of(request);
    if (find_header(headers, platform::header::expected_target) != options.id) {
      client->respond({.status = 421, .headers = std::move(told)});
      return;
    }
    if (running >= options.slots * 2) {
      told.push_back(header(platform::header::not_run, "1"));
      client->respond({.status = 503, .headers = std::move(told)});
      return;
    }
    auto last = std::uint32_t{0};
    auto resumed = find_header(headers, platform::header::last_event);
    (void)absl::SimpleAtoi(std::string(resumed), &last);
    ++running;
    report(request, client->request().target);
    auto gone = std::make_shared<bool>(false);
    client->on_closed([self = shared_from_this(), gone] {
      *gone = true;
      --self->running;
    });
    told.push_back(header(platform::header::target_signature, "s"));
    told.push_back({"Content-Type", "text/event-stream"});
    client->start_stream({.headers = std::move(told)});
    if (endless) {
      write_on({client, request, gone});
    } else {
      step({client, request, gone}, last + 1);
    }
  }

  /// A request that runs.
  struct run {
    std::shared_ptr<http_exchange> client;
    std::string request;
    std::shared_ptr<bool> gone;
  };

  /// Writes bytes that are no event until the other side closes.
  void write_on(run it) {
    if (*it.gone) return;
    it.client->write(std::string(endless_piece, 'x'));
    auto next = [self = shared_from_this(), it = std::move(it)] {
      self->write_on(it);
    };
    loop.after(endless_period, std::move(next));
  }

  void step(run it, std::uint32_t event) {
    auto next = [self = shared_from_this(), it = std::move(it), event] {
      if (*it.gone) return;
      if (event > self->options.events) {
        --self->running;
        it.client->finish();
        return;
      }
      it.client->write(event_text(it.request, event, self->options.version));
      self->step(it, event + 1);
    };
    loop.after(options.event_time, std::move(next));
  }
};

soak_target::soak_target(event_loop& loop, soak_target_options options,
                         on_run run)
    : state_(
          std::make_shared<state>(loop, std::move(options), std::move(run))) {
  state_->server = std::make_unique<http_server>(
      loop, http_server_options{},
      [weak = std::weak_ptr(state_)](const auto& client) {
        if (auto it = weak.lock()) it->take(client);
      });
  auto status = state_->server->start();
  ensure(status.ok(), invariant::limit_holds, "a soak target can't listen");
}

soak_target::~soak_target() = default;

void soak_target::leave() {
  state_->leaving = true;
}

void soak_target::set_endless(bool endless) {
  state_->endless = endless;
}

std::string soak_target::address() const {
  return concat("127.0.0.1:", state_->server->port());
}

}  // namespace fulmar::soak
