#pragma once

/// \file
/// Calls of clients that submit batch jobs and read their results.

#include <absl/strings/escaping.h>

#include <boost/json.hpp>
#include <cstdint>
#include <string>

#include "fulmarpitch/core/text.h"
#include "serving-fixture.h"

namespace fulmar::serving_test {

/// Builds the body of a job whose items are named i1, i2 and so on.
/// \param tokens the tokens of each item.
inline std::string job_body(std::uint64_t tokens,
                            const std::string& prompt = "prompt",
                            std::size_t items = 2) {
  auto rows = boost::json::array();
  for (auto n = std::size_t{1}; n <= items; ++n) {
    rows.push_back(
        boost::json::object{{"id", concat("i", n)},
                            {"path", concat("/jobs/i", n)},
                            {"headers", boost::json::object{{"X", "1"}}},
                            {"body", absl::Base64Escape(prompt)},
                            {"tokens", tokens}});
  }
  return boost::json::serialize(
      boost::json::object{{"requests", std::move(rows)}});
}

/// Reads the results of a job from a position on.
/// \return the answer; empty unless its status is 200.
inline boost::json::object results_of(fixture& it, const std::string& job,
                                      std::size_t after = 0) {
  auto answer = it.get(concat("/v1/lots/", job, "?after=", after));
  if (!answer.ok() || answer->status != 200) return {};
  return boost::json::parse(answer->body).as_object();
}

/// \return the number of results in the first answer of a job.
inline std::size_t listed(fixture& it, const std::string& job) {
  auto in = results_of(it, job);
  return in.empty() ? 0 : in["results"].as_array().size();
}

/// Reads all results of a job, one answer after the other.
inline boost::json::array all_results(fixture& it, const std::string& job) {
  auto out = boost::json::array();
  for (;;) {
    auto in = results_of(it, job, out.size());
    if (in.empty() || in["results"].as_array().empty()) return out;
    for (auto& row : in["results"].as_array())
      out.push_back(std::move(row));
  }
}

}  // namespace fulmar::serving_test
