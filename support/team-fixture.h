#pragma once

/// \file
/// Daemons whose configuration has teams, and clients with keys.

#include <unistd.h>

#include <array>
#include <cstdio>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "fulmarpitch/net/link-pool.h"
#include "job-calls.h"
#include "serving-fixture.h"

namespace fulmar::serving_test {

/// A team's name and keys.
struct team_entry {
  std::string name;
  std::vector<std::string> keys;
};

inline const std::string north_key = "key-of-north-5f1d";
inline const std::string north_second_key = "second-key-of-north-77a0";
inline const std::string south_key = "key-of-south-90ce";

inline std::vector<team_entry> two_teams() {
  return {{"north", {north_key, north_second_key}}, {"south", {south_key}}};
}

/// The usual configuration with teams and a route that needs no key.
inline std::string team_configuration(int version,
                                      const std::vector<team_entry>& teams) {
  auto out = boost::json::parse(configuration_text).as_object();
  out["version"] = version;
  auto& routes = out["routes"].as_array();
  auto open = routes.front();
  open.as_object()["name"] = "open";
  open.as_object()["pathPrefix"] = "/open/";
  open.as_object()["public"] = true;
  routes.push_back(std::move(open));
  auto rows = boost::json::array();
  for (const auto& it : teams) {
    auto keys = boost::json::array();
    for (const auto& key : it.keys)
      keys.push_back(boost::json::value(key));
    rows.push_back(
        boost::json::object{{"name", it.name}, {"apiKeys", std::move(keys)}});
  }
  out["tenants"] = std::move(rows);
  return boost::json::serialize(out);
}

/// Starts a fixture whose configuration has two teams.
inline fixture& make_team_fixture(bool with_second = false) {
  auto& it = make_fixture();
  it.store.put("op", "config", team_configuration(3, two_teams()));
  it.start(with_second);
  return it;
}

inline void configure(fixture& it, int version,
                      const std::vector<team_entry>& teams) {
  it.store.put("op", "config", team_configuration(version, teams));
}

/// Directs calls at a daemon by its IP address.
inline void call_daemon(fixture& it, const std::string& ip) {
  it.client_address = concat(ip, ":", it.ports.client);
}

inline http_request keyed(http_request it, const std::string& key) {
  if (!key.empty()) it.headers.push_back({"X-Api-Key", key});
  return it;
}

inline http_request online(const std::string& path, const std::string& id) {
  return {.method = "POST",
          .target = path,
          .headers = {{"Fulmarpitch-Attempt-Id", id},
                      {"Fulmarpitch-Deadline-Ms", "2500"}},
          .body = "prompt"};
}

/// \return the status of a call with a key; 0 if there was no answer.
inline int status_of(fixture& it, http_request request,
                     const std::string& key) {
  auto answer = it.call(keyed(std::move(request), key));
  return answer.ok() ? answer->status : 0;
}

inline http_request job_request(const std::string& id, std::string body) {
  return {.method = "POST",
          .target = "/jobs/1",
          .headers = {{"Fulmarpitch-Attempt-Id", id}},
          .body = std::move(body)};
}

inline http_request read_request(const std::string& job) {
  return {.target = concat("/v1/lots/", job, "?after=0")};
}

/// \return the number of results of a job that a key reads.
inline std::size_t results_with(fixture& it, const std::string& job,
                                const std::string& key) {
  auto answer = it.call(keyed(read_request(job), key));
  if (!answer.ok() || answer->status != 200) return 0;
  return boost::json::parse(answer->body).at("results").as_array().size();
}

/// \return the metrics of a daemon.
inline std::string metrics_of(fixture& it, const std::string& ip) {
  auto clients =
      std::exchange(it.client_address, concat(ip, ":", it.ports.metrics));
  auto answer = it.get("/metrics");
  it.client_address = clients;
  return answer.ok() ? answer->body : std::string();
}

/// Sends a request on a link and reads the answer.
/// \return the status; 0 if there was no answer.
inline task<int> exchange(http_link& link, std::string head) {
  constexpr std::size_t max_bytes = 100'000;
  auto status = absl::OkStatus();
  if (!link.is_open()) status = co_await link.connect();
  if (status.ok()) status = co_await link.send(head, {});
  if (!status.ok()) co_return 0;
  auto answer = co_await link.read_head();
  auto body = co_await link.read_rest(max_bytes);
  co_return answer.ok() && body.ok() ? answer->status : 0;
}

/// Runs the loop until an exchange has ended.
/// \return its status.
inline int run_exchange(fixture& it, http_link& link, std::string head) {
  auto out = 0;
  asio::co_spawn(io_of(it.loop), exchange(link, std::move(head)),
                 [&](const std::exception_ptr& /*fault*/, int status) {
                   out = status;
                   it.loop.stop();
                 });
  it.loop.run();
  return out;
}

/// Collects what the process writes to its standard output and error.
class captured_output {
 public:
  captured_output() {
    flush();
    for (auto& it : streams_) {
      it.kept = dup(it.descriptor);
      dup2(fileno(file_), it.descriptor);
    }
  }
  ~captured_output() {
    flush();
    for (auto& it : streams_) {
      dup2(it.kept, it.descriptor);
      close(it.kept);
    }
    std::fclose(file_);
  }
  captured_output(const captured_output&) = delete;
  captured_output& operator=(const captured_output&) = delete;

  std::string text() {
    flush();
    auto out = std::string();
    auto buf = std::array<char, 4096>();
    auto at = off_t{0};
    while (true) {
      auto n = pread(fileno(file_), buf.data(), buf.size(), at);
      if (n <= 0) return out;
      out.append(buf.data(), static_cast<std::size_t>(n));
      at += n;
    }
  }

 private:
  struct stream {
    int descriptor = 0;
    int kept = 0;
  };

  static void flush() {
    std::cout.flush();
    std::cerr.flush();
    std::fflush(nullptr);
  }

  std::FILE* file_ = std::tmpfile();
  std::array<stream, 2> streams_{{{STDOUT_FILENO}, {STDERR_FILENO}}};
};

}  // namespace fulmar::serving_test
