#include "scene.h"

#include <signal.h>

#include <boost/json.hpp>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace review {
namespace {

namespace json = boost::json;

std::string make_folder() {
  auto name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  return name;
}

}  // namespace

scene::scene(const std::string& record_path, bool with_trouble)
    : trouble(with_trouble),
      folder(make_folder()),
      log(record_path),
      rows(log) {
  ::signal(SIGPIPE, SIG_IGN);
  say(trouble ? "with the disruption" : "without the disruption");
}

void scene::close() {
  daemons.clear();
  auto ignored = std::error_code();
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(folder, ignored);
}

front& scene::add_daemon(const std::string& name, const std::string& zone) {
  auto number = static_cast<std::uint32_t>(daemons.size() + 1);
  daemons.push_back(std::make_unique<front>(
      daemon_options{.name = name, .zone = zone, .number = number}, rows,
      folder));
  return *daemons.back();
}

runner& scene::add_runner(runner_options options) {
  runners.push_back(std::make_unique<runner>(rows, log, std::move(options)));
  return *runners.back();
}

bool scene::start() {
  constexpr double timeout_s = 10;
  constexpr double settle_s = 3;
  auto waiting = std::vector<front*>();
  for (auto& it : daemons) {
    it->start();
    waiting.push_back(it.get());
  }
  keep_beating(runners);
  if (!wait_ready(waiting, timeout_s)) return false;
  pause_for(settle_s);
  say("all daemons are ready");
  return true;
}

void scene::configure(std::uint64_t version, const batch_route& batch,
                      bool with_second) {
  auto routes = json::array();
  routes.push_back({{"name", "r-a3hwrr6"},
                    {"host", host},
                    {"pathPrefix", "/lohu930/"},
                    {"kind", "stream"},
                    {"timeoutMs", 5000},
                    {"goalMs", 300},
                    {"priority", 0},
                    {"service", "s"},
                    {"attempts", 1},
                    {"sticky", true},
                    {"resumable", false},
                    {"gapAimMs", 250}});
  auto add_batch = [&](const char* name, const char* prefix) {
    routes.push_back({{"name", name},
                      {"host", host},
                      {"pathPrefix", prefix},
                      {"kind", "batch"},
                      {"timeoutMs", 15000},
                      {"goalMs", 500},
                      {"priority", 2},
                      {"service", "s"},
                      {"attempts", 3},
                      {"sticky", true},
                      {"resumable", true},
                      {"gapAimMs", 250},
                      {"dueMs", batch.due_ms},
                      {"maxWaitS", batch.max_wait_s},
                      {"maxQueued", batch.max_queued}});
  };
  add_batch("r-k20xwe1", batch_prefix);
  if (with_second) add_batch("r-p7d31uo", second_prefix);
  auto services = json::array();
  services.push_back(
      {{"name", "s"}, {"healthPath", "/healthz"}, {"maxConns", 210}});
  rows.put("op", "config",
           json::serialize(json::object{{"version", version},
                                        {"routes", std::move(routes)},
                                        {"services", std::move(services)},
                                        {"limits",
                                         {{"maxHeaderBytes", 16384},
                                          {"maxBodyBytes", 4194304},
                                          {"headerTimeoutMs", 3000},
                                          {"idleTimeoutMs", 15000}}}}));
  say("operator: configuration " + std::to_string(version) +
      " with batch route " + batch_prefix +
      (with_second ? std::string(" and ") + second_prefix : ""));
}

bool scene::all_alive() {
  for (auto& it : daemons) {
    if (it->is_alive()) continue;
    say("daemon " + it->name() + " ended by itself");
    return false;
  }
  return true;
}

job make_job(const std::string& id, std::size_t items,
             std::uint64_t tokens_each) {
  auto out = job{.id = id, .items = {}, .tokens_each = tokens_each};
  for (auto it = std::size_t{0}; it < items; ++it)
    out.items.push_back(id + "-" + std::to_string(it));
  return out;
}

int submit(scene& in, const front& to, const job& it, double timeout_s) {
  auto list = json::array();
  for (const auto& id : it.items) {
    list.push_back({{"id", id},
                    {"path", it.prefix + id},
                    {"headers",
                     {{"Fulmarpitch-Model", "m"},
                      {"Fulmarpitch-Token-Count", "540,400"},
                      {"Fulmarpitch-Prompt-Prefix", "9c2e41:300,5d07b8:240"}}},
                    {"body", encode_base64("body of " + id)},
                    {"tokens", it.tokens_each}});
  }
  in.say("client: hands in " + it.id + ", " + std::to_string(it.items.size()) +
         " items, " + std::to_string(it.tokens()) + " tokens, at " + to.name());
  auto got = call(to.client_address(), "POST", it.prefix + it.id,
                  {{"Host", host},
                   {"Fulmarpitch-Attempt-Id", it.id},
                   {"Content-Type", "application/json"}},
                  json::serialize(json::object{{"requests", std::move(list)}}),
                  timeout_s);
  auto status = got.complete ? got.status : 0;
  in.say("client: " + it.id + " at " + to.name() + " got " +
         std::to_string(status));
  return status;
}

std::optional<std::vector<listed>> read_from(const front& at, const job& it,
                                             std::size_t position) {
  constexpr double timeout_s = 2.5;
  auto got = call(at.client_address(), "GET",
                  "/v1/lots/" + it.id + "?after=" + std::to_string(position),
                  {{"Host", host}}, "", timeout_s);
  if (!got.complete || got.status != 200) return std::nullopt;
  auto out = std::vector<listed>();
  auto page = json::parse(got.body).as_object();
  for (const auto& row : page["results"].as_array()) {
    out.push_back({.id = std::string(row.at("id").as_string()),
                   .state = std::string(row.at("state").as_string()),
                   .output = std::string(row.at("output").as_string())});
  }
  return out;
}

std::optional<std::vector<listed>> read_all(const front& at, const job& it) {
  auto out = std::vector<listed>();
  for (;;) {
    auto page = read_from(at, it, out.size());
    if (!page) return std::nullopt;
    if (page->empty()) return out;
    for (auto& row : *page)
      out.push_back(std::move(row));
  }
}

}  // namespace review
