#include <docopt/docopt.h>

#include <boost/json.hpp>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <string>

#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/event-loop.h"
#include "fulmarpitch/net/url.h"
#include "fulmarpitch/order/audit.h"
#include "fulmarpitch/order/explain.h"
#include "fulmarpitch/stores/http-stores.h"

namespace {

using namespace fulmar;

namespace json = boost::json;

constexpr auto usage =
    R"(Checks the order of service from its records alone.

Usage:
  fulmar-audit why DIR REQUEST
  fulmar-audit why --platform=URL REQUEST
  fulmar-audit DIR [--from=T] [--to=T] [--caller=C] [--window=N]
               [--head=HEAD]... [--json]
  fulmar-audit --platform=URL [--from=T] [--to=T] [--caller=C] [--window=N]
               [--head=HEAD]... [--json]
  fulmar-audit --help

DIR holds exported objects, named as in the object store (order/...).

Options:
  --platform=URL  Read the platform's object store, for example
                  http://127.0.0.1:9100.
  --from=T        Replay admissions from this time on, microseconds since 1970.
  --to=T          Replay admissions up to this time.
  --caller=C      Replay the admissions of this caller only.
  --window=N      The largest window of any sequencer, in records
                  [default: 65536].
  --head=HEAD     A record that was noted earlier, as an audit printed it:
                  POOL,EPOCH,NUMBER,HASH.
  --json          Print the report as one JSON object.

Exit code: 0 clean, 1 faults found or the records can't be read, 2 usage,
3 no fault, but holes or overlaps that the records themselves name.
)";

/// Exit codes, as the usage text promises them.
enum exit_code {
  exit_clean = 0,
  exit_faults = 1,
  exit_usage = 2,
  exit_named = 3
};

using arguments = std::map<std::string, docopt::value>;

std::optional<std::uint64_t> number_in(const std::string& text) {
  if (text.empty() || text.size() > 18) return std::nullopt;
  if (text.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::stoull(text);
}

/// Cuts the last field off a list; a pool's name may hold commas.
std::string last_field(std::string& text) {
  auto comma = text.rfind(',');
  if (comma == std::string::npos) return "";
  auto out = text.substr(comma + 1);
  text.resize(comma);
  return out;
}

std::optional<audit_head> head_in(std::string text) {
  auto hash = digest_from_text(last_field(text));
  auto number = number_in(last_field(text));
  auto epoch = epoch_from_text(last_field(text));
  if (!hash || !number || !epoch || text.empty()) return std::nullopt;
  return audit_head{
      .pool = text, .epoch = *epoch, .number = *number, .hash = *hash};
}

std::string head_text(const audit_head& it) {
  return concat(it.pool, ",", to_text(it.epoch), ",", it.number, ",",
                to_text(it.hash));
}

std::optional<audit_options> options_in(const arguments& args) {
  auto out = audit_options();
  auto time = [&](const char* name, std::optional<instant>& to) {
    const auto& it = args.at(name);
    if (!it) return true;
    auto n = number_in(it.asString());
    if (n) to = instant(static_cast<std::int64_t>(*n));
    return n.has_value();
  };
  if (!time("--from", out.from) || !time("--to", out.to)) return std::nullopt;
  if (const auto& it = args.at("--caller")) out.caller = it.asString();
  auto window = number_in(args.at("--window").asString());
  if (!window) return std::nullopt;
  out.window = *window;
  for (const auto& it : args.at("--head").asStringList()) {
    auto head = head_in(it);
    if (!head) return std::nullopt;
    out.heads.push_back(*head);
  }
  return out;
}

json::object to_json(const audit_finding& it) {
  return {{"fault", std::string(name_in(audit_fault_names, it.fault))},
          {"segment", it.segment},
          {"pool", it.pool},
          {"epoch", it.epoch},
          {"from", it.from},
          {"to", it.to},
          {"note", it.note}};
}

void print_json(const audit_report& report) {
  auto findings = json::array();
  for (const auto& it : report.findings)
    findings.push_back(to_json(it));
  auto heads = json::array();
  for (const auto& it : report.heads)
    heads.emplace_back(head_text(it));
  auto verdict = name_in(audit_verdict_names, verdict_of(report));
  auto out = json::object{
      {"verdict", std::string(verdict)}, {"segments", report.segments},
      {"records", report.records},       {"replayed", report.replayed},
      {"findings", std::move(findings)}, {"heads", std::move(heads)}};
  std::cout << json::serialize(out) << '\n';
}

void print_text(const audit_report& report) {
  for (const auto& it : report.findings) {
    std::cout << name_in(audit_fault_names, it.fault) << ": pool " << it.pool
              << " epoch " << it.epoch << " records " << it.from << " to "
              << it.to;
    if (!it.segment.empty()) std::cout << " in " << it.segment;
    std::cout << ": " << it.note << '\n';
  }
  for (const auto& it : report.heads)
    std::cout << "head: " << head_text(it) << '\n';
  std::cout << name_in(audit_verdict_names, verdict_of(report)) << ": "
            << report.segments << " segments, " << report.records
            << " records, " << report.replayed << " decisions replayed\n";
}

int report_failure(const absl::Status& ec) {
  std::cerr << "fulmar-audit: " << ec.message() << '\n';
  return exit_faults;
}

/// Calls a function with every segment of a source.
using segment_source = std::function<absl::Status(
    const std::function<void(const stored_segment&)>&)>;

segment_source source_in(const std::string& directory) {
  return [directory](const auto& visit) {
    auto out = absl::Status();
    for_each_segment(directory_store(directory), visit,
                     [&](const absl::Status& ec) { out = ec; });
    return out;
  };
}

segment_source source_at(std::string url) {
  constexpr auto scheme = std::string_view("http://");
  if (auto rest = after_prefix(url, scheme)) url = std::string(*rest);
  return [url](const auto& visit) {
    auto loop = event_loop();
    auto out = absl::Status();
    auto store = make_http_object_store(loop, {.address = url});
    auto done = [&](const absl::Status& ec) {
      out = ec;
      loop.stop();
    };
    loop.post([&] { for_each_segment(store, visit, done); });
    loop.run();
    return out;
  };
}

int audit(const segment_source& source, audit_options options, bool as_json) {
  auto auditor = order_auditor(std::move(options));
  auto ec = source([&](const stored_segment& it) { auditor.add(it); });
  if (!ec.ok()) return report_failure(ec);
  auto report = auditor.finish();
  if (report.segments == 0) {
    std::cerr << "fulmar-audit: there are no objects named order/...\n";
    return exit_faults;
  }
  as_json ? print_json(report) : print_text(report);
  switch (verdict_of(report)) {
    case audit_verdict::clean:
      return exit_clean;
    case audit_verdict::named_gaps:
      return exit_named;
    case audit_verdict::faults:
      break;
  }
  return exit_faults;
}

/// Hands a segment's records to a story.
/// \return how many lines could not be read.
std::size_t tell(const stored_segment& stored, request_story& story) {
  auto decoded = decode_segment(stored.bytes);
  const auto* segment = std::get_if<order_segment>(&decoded);
  if (segment == nullptr) return 1;
  std::size_t unread = 0;
  for (const auto& line : segment->lines) {
    auto record = decode_record(line);
    if (const auto* it = std::get_if<order_record>(&record)) {
      story.add(*it);
    } else {
      ++unread;
    }
  }
  return unread;
}

int why(const segment_source& source, const std::string& request_id) {
  auto story = request_story(request_id);
  std::size_t unread = 0;
  auto ec = source([&](const auto& it) { unread += tell(it, story); });
  if (!ec.ok()) return report_failure(ec);
  if (unread > 0) {
    std::cerr << "fulmar-audit: " << unread
              << " records or segments can't be read; run the audit\n";
  }
  if (!story.found()) {
    std::cerr << "fulmar-audit: no record names request " << request_id << '\n';
    return exit_faults;
  }
  std::cout << story.text();
  return unread > 0 ? exit_faults : exit_clean;
}

std::optional<segment_source> source_of(const arguments& args) {
  if (const auto& it = args.at("--platform")) return source_at(it.asString());
  auto path = args.at("DIR").asString();
  if (std::filesystem::is_directory(path)) return source_in(path);
  std::cerr << "fulmar-audit: " << path << " is no directory\n";
  return std::nullopt;
}

int run(const arguments& args) {
  auto source = source_of(args);
  if (!source) return exit_usage;
  if (args.at("why").asBool()) {
    return why(*source, args.at("REQUEST").asString());
  }
  auto options = options_in(args);
  if (!options) {
    std::cerr << usage;
    return exit_usage;
  }
  return audit(*source, std::move(*options), args.at("--json").asBool());
}

}  // namespace

int main(int argc, char** argv) {
  auto words = std::vector<std::string>(argv + 1, argv + argc);
  try {
    return run(docopt::docopt_parse(usage, words, true, false));
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << usage;
    return exit_clean;
  } catch (const docopt::DocoptArgumentError&) {
    std::cerr << usage;
    return exit_usage;
  }
}
