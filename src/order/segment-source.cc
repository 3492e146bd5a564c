#include <algorithm>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/order/audit.h"

namespace fulmar {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t page_size = 1000;

/// Walks an object store; a store may answer before its call returns, so the
/// steps run in a loop and not one inside the other.
struct segment_walk : std::enable_shared_from_this<segment_walk> {
  object_store store;
  std::function<void(const stored_segment&)> visit;
  std::function<void(absl::Status)> done;
  std::deque<std::string> names;
  std::string after;
  bool running = false;
  bool again = false;

  void step() {
    again = true;
    if (running) return;
    running = true;
    while (again) {
      again = false;
      advance();
    }
    running = false;
  }

  void advance() {
    if (names.empty()) return list();
    auto name = names.front();
    auto answer = [self = shared_from_this(),
                   name](absl::StatusOr<std::string> bytes) {
      if (!bytes.ok()) return self->done(bytes.status());
      self->visit({.name = name, .bytes = std::move(*bytes)});
      self->names.pop_front();
      self->step();
    };
    store.get(name, std::move(answer));
  }

  void list() {
    auto answer = [self = shared_from_this()](
                      absl::StatusOr<std::vector<std::string>> page) {
      if (!page.ok()) return self->done(page.status());
      if (page->empty()) return self->done({});
      self->after = page->back();
      self->names = {page->begin(), page->end()};
      self->step();
    };
    store.list(std::string(segment_prefix), after, page_size,
               std::move(answer));
  }
};

std::vector<std::string> files_under(const fs::path& path) {
  auto out = std::vector<std::string>();
  auto ec = std::error_code();
  auto it = fs::recursive_directory_iterator(path, ec);
  for (; !ec && it != fs::recursive_directory_iterator(); it.increment(ec)) {
    if (!it->is_regular_file()) continue;
    out.push_back(it->path().lexically_relative(path).generic_string());
  }
  std::sort(out.begin(), out.end());
  return out;
}

bool begins_with(const std::string& name, const std::string& prefix) {
  return name.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

void for_each_segment(const object_store& store,
                      std::function<void(const stored_segment&)> visit,
                      std::function<void(absl::Status)> done) {
  auto walk = std::make_shared<segment_walk>();
  walk->store = store;
  walk->visit = std::move(visit);
  walk->done = std::move(done);
  walk->step();
}

object_store directory_store(const std::string& path) {
  auto names = std::make_shared<std::vector<std::string>>(files_under(path));
  auto put = [](const std::string&, const std::string&,
                const callback<bool>& done) {
    done(make_error(error_code::store_unavailable,
                    "the directory of exported objects is read only"));
  };
  auto get = [path](const std::string& name,
                    const callback<std::string>& done) {
    auto in = std::ifstream(fs::path(path) / name, std::ios::binary);
    if (!in) {
      return done(
          make_error(error_code::not_found, concat("no object named ", name)));
    }
    done(std::string(std::istreambuf_iterator<char>(in), {}));
  };
  auto list = [names](const std::string& prefix, const std::string& after,
                      std::size_t limit,
                      const callback<std::vector<std::string>>& done) {
    auto page = std::vector<std::string>();
    auto it = std::upper_bound(names->begin(), names->end(), after);
    for (; it != names->end() && page.size() < limit; ++it) {
      if (begins_with(*it, prefix)) page.push_back(*it);
    }
    done(std::move(page));
  };
  return {.put_if_absent = put, .get = get, .list = list};
}

}  // namespace fulmar
