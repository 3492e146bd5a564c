#include "platform.h"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

namespace json = boost::json;

constexpr std::size_t max_entries = 100;
constexpr std::size_t max_call_bytes = 1'000'000;
constexpr std::size_t max_row_bytes = 65536;
constexpr std::size_t max_page_rows = 500;
constexpr double transaction_s = 0.005;
constexpr double read_s = 0.004;
constexpr double heartbeat_s = 1.2;

const auto json_type = header_list{{"Content-Type", "application/json"}};

std::string text_of(const json::object& in, std::string_view name) {
  const auto* it = in.if_contains(name);
  if (it == nullptr || !it->is_string()) return {};
  return std::string(it->as_string());
}

std::uint64_t number_of(const request& in, std::string_view name,
                        std::uint64_t otherwise) {
  auto text = in.query(name);
  return text.empty() ? otherwise : std::strtoull(text.c_str(), nullptr, 10);
}

std::uint64_t unix_ms() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

}  // namespace

void record::add(const std::string& line) {
  constexpr std::size_t width = 32;
  auto time = std::array<char, width>();
  std::snprintf(time.data(), time.size(), "%8.3f ", seconds());
  auto guard = std::lock_guard(lock_);
  file_ << time.data() << line << std::endl;
}

store::store(record& log) : log_(log) {
  address_ = serve("127.0.0.1", 0, [this](const request& in, connection& to) {
    return take(in, to);
  });
}

void store::set(store_state state) {
  auto guard = std::lock_guard(lock_);
  state_ = state;
  log_.add(state == store_state::sound ? "store: sound" : "store: down (503)");
  changed_.notify_all();
}

void store::put(const std::string& table, const std::string& key,
                const std::string& value) {
  auto guard = std::lock_guard(lock_);
  rows_[{table, "", key}] = {.value = value, .version = ++version_};
  changed_.notify_all();
}

void store::remove(const std::string& table, const std::string& key) {
  auto guard = std::lock_guard(lock_);
  rows_[{table, "", key}] = {.version = ++version_, .removed = true};
  changed_.notify_all();
}

bool store::refuse(connection& to, int status, const std::string& why) {
  // Retries come each 0.2 s: the first few show what was refused.
  constexpr std::uint64_t most_lines = 5;
  if (++refused_ <= most_lines)
    log_.add("store: answered " + std::to_string(status) + ": " + why);
  return to.respond(status, json_type, "{}");
}

bool store::take(const request& in, connection& to) {
  auto path = in.path();
  {
    auto guard = std::lock_guard(lock_);
    if (state_ == store_state::down) return to.respond(503, json_type, "{}");
  }
  if (path == "/v1/rows-tx") return transact(in, to);
  if (path == "/v1/rows-get") return read(in, to);
  if (path == "/v1/rows-parts") return list_parts(in, to);
  if (path == "/v1/rows-feed") return wait_for_changes(in, to);
  return take_object(in, to);
}

bool store::transact(const request& in, connection& to) {
  pause_for(transaction_s);
  if (in.body.size() > max_call_bytes) return refuse(to, 413, "over 1 MB");
  auto call = json::parse(in.body).as_object();
  auto& conditions = call["precondition"].as_array();
  auto& writes = call["setKeys"].as_array();
  auto& removals = call["remove"].as_array();
  auto entries = conditions.size() + writes.size() + removals.size();
  auto key_of = [](const json::value& it) {
    const auto& row = it.as_object();
    return name(text_of(row, "table"), text_of(row, "part"),
                text_of(row, "key"));
  };
  auto guard = std::unique_lock(lock_);
  if (entries > max_entries) {
    return refuse(to, 400,
                  "a call with " + std::to_string(entries) +
                      " entries, where 100 are allowed");
  }
  auto part = std::string();
  auto first = true;
  for (const auto* list : {&conditions, &writes, &removals}) {
    for (const auto& it : *list) {
      auto its_part = std::get<1>(key_of(it));
      if (!first && its_part != part) return refuse(to, 400, "several parts");
      part = its_part;
      first = false;
    }
  }
  for (const auto& it : writes) {
    auto table = std::get<0>(key_of(it));
    if (table == "op" || table == "servers")
      return refuse(to, 403, "table " + table);
    if (it.at("value").as_string().size() > max_row_bytes)
      return refuse(to, 400, "a value over rowBytes");
  }
  auto conflicts = json::array();
  auto failed = false;
  for (const auto& it : conditions) {
    auto key = key_of(it);
    auto found = rows_.find(key);
    auto exists = found != rows_.end() && !found->second.removed;
    auto version = exists ? found->second.version : 0;
    if (version != it.at("ver").to_number<std::uint64_t>()) failed = true;
    auto row = json::object{{"table", std::get<0>(key)},
                            {"part", std::get<1>(key)},
                            {"key", std::get<2>(key)},
                            {"ver", version}};
    if (exists) row["value"] = encode_base64(found->second.value);
    conflicts.push_back(std::move(row));
  }
  auto now_ms = static_cast<std::uint64_t>(seconds() * 1000) + 1000;
  if (failed) {
    auto out = json::object{
        {"rows", std::move(conflicts)}, {"ver", version_}, {"nowMs", now_ms}};
    return to.respond(412, json_type, json::serialize(out));
  }
  ++version_;
  for (const auto& it : writes) {
    auto value = decode_base64(std::string(it.at("value").as_string()));
    rows_[key_of(it)] = {.value = std::move(value), .version = version_};
  }
  for (const auto& it : removals)
    rows_[key_of(it)] = {.version = version_, .removed = true};
  changed_.notify_all();
  auto out = json::object{{"ver", version_}, {"nowMs", now_ms}};
  guard.unlock();
  return to.respond(200, json_type, json::serialize(out));
}

bool store::read(const request& in, connection& to) {
  pause_for(read_s);
  auto guard = std::unique_lock(lock_);
  auto table = in.query("table");
  auto part = in.query("part");
  auto end = in.query("to");
  auto limit = std::min<std::size_t>(number_of(in, "limit", max_page_rows),
                                     max_page_rows);
  auto rows = json::array();
  auto truncated = false;
  auto bytes = std::size_t{0};
  for (auto it = rows_.lower_bound({table, part, in.query("from")});
       it != rows_.end(); ++it) {
    const auto& [its_table, its_part, key] = it->first;
    if (its_table != table || its_part != part) break;
    if (!end.empty() && key >= end) break;
    if (it->second.removed) continue;
    bytes += it->second.value.size() * 4 / 3;
    if (rows.size() == limit || (bytes > max_call_bytes && !rows.empty())) {
      truncated = true;
      break;
    }
    rows.push_back({{"table", table},
                    {"part", part},
                    {"key", key},
                    {"value", encode_base64(it->second.value)},
                    {"ver", it->second.version}});
  }
  auto now_ms = static_cast<std::uint64_t>(seconds() * 1000) + 1000;
  auto out = json::object{{"rows", std::move(rows)},
                          {"truncated", truncated},
                          {"ver", version_},
                          {"nowMs", now_ms}};
  guard.unlock();
  return to.respond(200, json_type, json::serialize(out));
}

bool store::list_parts(const request& in, connection& to) {
  pause_for(read_s);
  auto guard = std::unique_lock(lock_);
  auto table = in.query("table");
  auto parts = json::array();
  auto last = in.query("after");
  auto any = !last.empty();
  for (const auto& [key, it] : rows_) {
    if (std::get<0>(key) != table || it.removed) continue;
    if (any && std::get<1>(key) <= last) continue;
    last = std::get<1>(key);
    any = true;
    parts.push_back(json::value(last));
  }
  auto now_ms = static_cast<std::uint64_t>(seconds() * 1000) + 1000;
  auto out = json::object{{"parts", std::move(parts)},
                          {"truncated", false},
                          {"ver", version_},
                          {"nowMs", now_ms}};
  guard.unlock();
  return to.respond(200, json_type, json::serialize(out));
}

bool store::wait_for_changes(const request& in, connection& to) {
  pause_for(read_s);
  auto table = in.query("table");
  auto after = number_of(in, "after", 0);
  auto wait = std::chrono::milliseconds(number_of(in, "waitMs", 0));
  auto until = std::chrono::steady_clock::now() + wait;
  auto guard = std::unique_lock(lock_);
  auto found = std::vector<std::pair<std::uint64_t, json::object>>();
  for (;;) {
    if (state_ == store_state::down) return to.respond(503, json_type, "{}");
    for (auto it = rows_.lower_bound({table, "", ""}); it != rows_.end();
         ++it) {
      const auto& [its_table, part, key] = it->first;
      if (its_table != table) break;
      if (it->second.version <= after) continue;
      auto row = json::object{{"table", table},
                              {"part", part},
                              {"key", key},
                              {"ver", it->second.version}};
      if (it->second.removed) {
        row["removed"] = true;
      } else {
        row["value"] = encode_base64(it->second.value);
      }
      found.emplace_back(it->second.version, std::move(row));
    }
    if (!found.empty()) break;
    if (changed_.wait_until(guard, until) == std::cv_status::timeout) break;
  }
  std::stable_sort(
      found.begin(), found.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  auto rows = json::array();
  for (auto& it : found)
    rows.push_back(std::move(it.second));
  auto now_ms = static_cast<std::uint64_t>(seconds() * 1000) + 1000;
  auto out = json::object{
      {"rows", std::move(rows)}, {"ver", version_}, {"nowMs", now_ms}};
  guard.unlock();
  return to.respond(200, json_type, json::serialize(out));
}

bool store::take_object(const request& in, connection& to) {
  constexpr auto put = std::string_view("/v1/blob-put/");
  constexpr auto get = std::string_view("/v1/blob-get/");
  constexpr double object_s = 0.025;
  pause_for(object_s);
  auto path = in.path();
  auto guard = std::lock_guard(lock_);
  if (path.starts_with(put)) {
    auto added = objects_.try_emplace(path.substr(put.size()), in.body).second;
    return to.respond(added ? 200 : 412, json_type, "{}");
  }
  if (path.starts_with(get)) {
    auto found = objects_.find(path.substr(get.size()));
    if (found != objects_.end()) return to.respond(200, {}, found->second);
  }
  return to.respond(404, json_type, "{}");
}

namespace {

std::string data_of(const runner_options& of, const std::string& id,
                    std::uint32_t event) {
  auto out = id + ":" + std::to_string(event);
  if (out.size() < of.data_bytes) out.resize(of.data_bytes, '.');
  return out;
}

std::string chunk_of(const std::string& piece) {
  constexpr std::size_t width = 16;
  auto size = std::array<char, width>();
  std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
  return size.data() + piece + "\r\n";
}

}  // namespace

std::string whole_output(const runner_options& of, const std::string& id) {
  auto out = std::string();
  for (auto it = std::uint32_t{1}; it <= of.events; ++it) {
    if (it > 1) out += '\n';
    out += data_of(of, id, it);
  }
  return out;
}

runner::runner(store& in, record& log, runner_options options)
    : store_(in), log_(log), options_(std::move(options)) {
  address_ = serve("127.0.0.1", 0, [this](const request& from, connection& to) {
    return take(from, to);
  });
  beat();
}

void runner::beat() {
  if (away_) return;
  static const auto started = unix_ms();
  auto born = started + std::uint64_t{1000} * life_;
  store_.put(
      "servers", options_.id,
      json::serialize(json::object{
          {"service", options_.service},
          {"addr", address_},
          {"zone", options_.zone},
          {"version", options_.version},
          {"slots", options_.slots},
          {"state", "ready"},
          {"coldLeftMs", 0},
          {"stage", "both"},
          {"models",
           json::array{json::object{
               {"name", "m"}, {"version", 1}, {"adapters", json::array()}}}},
          {"born", born},
          {"seq", ++beats_}}));
}

std::vector<runner::crashing_run> runner::crashing_runs() {
  auto guard = std::lock_guard(lock_);
  return crashing_runs_;
}

/// Ends all that runs here and is away for a while; then it starts again.
void runner::crash() {
  {
    auto guard = std::lock_guard(lock_);
    if (away_) return;
    away_ = true;
  }
  ++life_;
  log_.add("runner " + options_.id + ": crashes");
  std::thread([this] {
    pause_for(options_.away_s);
    away_ = false;
    log_.add("runner " + options_.id + ": is back");
    beat();
  }).detach();
}

bool runner::take(const request& in, connection& to) {
  if (away_) {
    to.reset();
    return false;
  }
  auto id = in.header("fulmarpitch-attempt-id");
  auto own = header_list{{"Fulmarpitch-Attempt-Id", id}};
  if (in.header("fulmarpitch-expect-instance") != options_.id) {
    own.emplace_back("Fulmarpitch-Instance-Id", options_.id);
    return to.respond(421, own, "");
  }
  own.emplace_back("Fulmarpitch-Not-Run", "1");
  auto wanted = in.header("fulmarpitch-expect-version");
  if (!wanted.empty() && wanted != std::to_string(options_.weights)) {
    log_.add("runner " + options_.id + ": refuses " + id +
             " with 421, as its weights have another version");
    own.emplace_back("Fulmarpitch-Instance-Id", options_.id);
    return to.respond(421, own, "");
  }
  if (id.empty()) return to.respond(400, own, "");
  auto large = !options_.too_large.empty() &&
               in.target.find(options_.too_large) != std::string::npos;
  if (large) ++refused_;
  if (large) return to.respond(503, own, "");
  {
    auto guard = std::lock_guard(lock_);
    if (running_ >= options_.slots && waiting_ >= options_.queue)
      return to.respond(503, own, "");
  }
  if (!wait_for_slot(to)) return false;
  auto life = life_.load();
  auto crashing = !options_.crashing_prefix.empty() &&
                  in.path().starts_with(options_.crashing_prefix);
  auto fails = options_.fails_every_second && seconds() < fails_until_ &&
               starts_++ % 2 == 0;
  if (crashing) {
    auto guard = std::lock_guard(lock_);
    crashing_runs_.push_back(
        {.at = seconds(), .path = in.path(), .crashed = !fails});
  }
  auto kept = false;
  if (fails) {
    log_.add("runner " + options_.id + ": fails " + id + " with 500");
    kept = to.respond(500,
                      {{"Fulmarpitch-Attempt-Id", id},
                       {"Fulmarpitch-Server-Stamp", "stamp-" + options_.id}},
                      "failed");
  } else if (crashing) {
    crash();
  } else {
    kept = stream(in, to);
  }
  if (life_ != life) {
    to.reset();
    kept = false;
  }
  --running_;
  freed_.notify_one();
  return kept;
}

/// \return false if the connection closed before there was a slot.
bool runner::wait_for_slot(const connection& to) {
  constexpr auto look = std::chrono::milliseconds(20);
  auto guard = std::unique_lock(lock_);
  ++waiting_;
  while (running_ >= options_.slots && !to.is_closed())
    freed_.wait_for(guard, look);
  --waiting_;
  if (to.is_closed()) return false;
  ++running_;
  return true;
}

bool runner::stream(const request& in, connection& to) {
  auto id = in.header("fulmarpitch-attempt-id");
  auto resumed = in.header("last-event-id");
  auto last =
      static_cast<std::uint32_t>(std::strtoul(resumed.c_str(), nullptr, 10));
  log_.add("runner " + options_.id + ": runs " + id +
           (last > 0 ? " behind event " + std::to_string(last) : ""));
  auto sent = to.send(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\nFulmarpitch-Server-Stamp: stamp-" +
      options_.id +
      "\r\nFulmarpitch-Weight-Versions: " + std::to_string(options_.weights) +
      "\r\n" + "Fulmarpitch-Attempt-Id: " + id + "\r\n\r\n");
  auto is_long =
      !options_.long_suffix.empty() && id.ends_with(options_.long_suffix);
  auto events = options_.events * (is_long ? options_.long_times : 1);
  auto next = seconds();
  for (auto it = last + 1; sent && it <= events; ++it) {
    next += options_.event_s;
    pause_for(std::max(0.0, next - seconds()));
    if (to.is_closed() || away_) return false;
    sent = to.send(chunk_of("id: " + std::to_string(it) +
                            "\ndata: " + data_of(options_, id, it) + "\n\n"));
  }
  if (!sent || !to.send("0\r\n\r\n")) return false;
  ++finished_;
  log_.add("runner " + options_.id + ": finished " + id);
  return true;
}

void keep_beating(std::vector<std::unique_ptr<runner>>& runners) {
  std::thread([&runners] {
    for (;;) {
      pause_for(heartbeat_s);
      for (auto& it : runners)
        it->beat();
    }
  }).detach();
}

std::string daemon_ip(std::uint32_t number) {
  constexpr auto first_peer = 7720;
  constexpr auto last_peer = 7735;
  constexpr std::uint32_t blocks = 64;
  auto id = static_cast<std::uint32_t>(::getpid());
  for (auto n = std::uint32_t{0}; n < blocks; ++n) {
    auto out = "127." + std::to_string(64 + (id + n) % blocks) + "." +
               std::to_string(id / blocks % 256) + "." + std::to_string(number);
    auto ports = std::vector<int>{8161, 8166, 8167, 9464};
    for (auto port = first_peer; port <= last_peer; ++port)
      ports.push_back(port);
    auto free = std::all_of(ports.begin(), ports.end(), [&](int port) {
      return is_free(out, static_cast<std::uint16_t>(port));
    });
    if (free) return out;
  }
  return {};
}

front::front(daemon_options options, const store& in, std::string folder)
    : options_(std::move(options)),
      store_(in.address()),
      folder_(std::move(folder)),
      ip_(daemon_ip(options_.number)) {}

front::~front() {
  end();
}

void front::start() {
  auto block = ip_.substr(0, ip_.rfind('.') + 1);
  auto contracts =
      json::array{"base",  "drain",  "config", "cost",    "recover",
                  "batch", "stream", "engine", "platform"};
  auto settings =
      json::object{{"nodeName", options_.name},
                   {"role", "fulmar-front"},
                   {"machineClass", "front"},
                   {"serves", json::array{"front", "control"}},
                   {"ip", ip_},
                   {"zone", options_.zone},
                   {"region", "region-1"},
                   {"zones", {{"zone-a", "region-1"}, {"zone-b", "region-1"}}},
                   {"listen",
                    {{"front", ip_ + ":8161"},
                     {"ready", ip_ + ":8167"},
                     {"control", ip_ + ":8166"}}},
                   {"portRange", json::array{7720, 7735}},
                   {"seeds", json::array{block + "1:8166", block + "2:8166"}},
                   {"bootstrap", true},
                   {"limits",
                    {{"cpuShare", 0.5},
                     {"cores", 1},
                     {"memoryMb", 290},
                     {"maxFds", 8200},
                     {"linkMbps", 1000.0},
                     {"diskMb", 0}}},
                   {"dataDir", nullptr},
                   {"discovery", "platform"},
                   {"entry", "vip"},
                   {"heartbeatMs", 1200},
                   {"contracts", std::move(contracts)},
                   {"contractParams",
                    {{"seedLagS", 3},
                     {"addrReuseS", 2},
                     {"contactMs", 4000},
                     {"ackMs", 5000},
                     {"syncS", 4.8},
                     {"drainMs", 3000},
                     {"graceS", 8},
                     {"lossSlackMs", 200},
                     {"applyMs", 3000},
                     {"downgradeMs", 250},
                     {"maxStretchMs", 6000},
                     {"recoverS", 12},
                     {"passMs", 400},
                     {"retryAfterS", 0},
                     {"finishS", 18},
                     {"statusS", 120},
                     {"cancelMs", 3000},
                     {"settleMs", 1000},
                     {"quotaOver", 0.1}}},
                   {"provider",
                    {{"addr", store_},
                     {"form", "table"},
                     {"writesPerS", 800},
                     {"readsPerS", 2000},
                     {"txMs", 5.0},
                     {"partWrS", 200},
                     {"rowBytes", 65536},
                     {"across", false},
                     {"historyS", 20},
                     {"blobBytes", 8388608},
                     {"blobMs", 25.0},
                     {"blobMbS", 80.0}}}};
  auto path = folder_ + "/" + options_.name + ".json";
  std::ofstream(path) << json::serialize(settings);
  auto log = folder_ + "/" + options_.name + ".log";
  auto variable = "FULMARPITCH_CONFIG=" + path;
  auto search = std::string("PATH=/usr/bin:/bin");
  auto parent = ::getpid();
  pid_ = ::fork();
  if (pid_ != 0) return;
  // The daemon does not outlive the test, however that ends.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(EXIT_FAILURE);
  std::freopen(log.c_str(), "a", stdout);
  std::freopen(log.c_str(), "a", stderr);
  auto program = std::string("target/fulmar-front");
  auto arguments = std::array<char*, 2>{program.data(), nullptr};
  auto environment =
      std::array<char*, 3>{variable.data(), search.data(), nullptr};
  ::execve(program.c_str(), arguments.data(), environment.data());
  ::_exit(EXIT_FAILURE);
}

void front::signal(int number) const {
  if (pid_ > 0) ::kill(pid_, number);
}

void front::end() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

bool front::is_alive() {
  if (pid_ <= 0) return false;
  if (::waitpid(pid_, nullptr, WNOHANG) == 0) return true;
  pid_ = -1;
  return false;
}

bool front::is_ready() const {
  return call(ip_ + ":8167", "GET", "/v1/readyz", {{"Host", "ready"}}, "", 1)
             .status == 200;
}

bool wait_ready(const std::vector<front*>& daemons, double timeout_s) {
  constexpr double look_s = 0.1;
  auto until = seconds() + timeout_s;
  while (seconds() < until) {
    auto all = std::all_of(daemons.begin(), daemons.end(),
                           [](const auto* it) { return it->is_ready(); });
    if (all) return true;
    pause_for(look_s);
  }
  return false;
}

}  // namespace review
