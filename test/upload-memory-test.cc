#include <malloc.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <new>

#include "fulmarpitch/core/text.h"
#include "fulmarpitch/state/files.h"

namespace {

std::size_t live_bytes = 0;
std::size_t peak_bytes = 0;

void* count_allocation(std::size_t size) {
  void* const at = std::malloc(size);
  if (at == nullptr) throw std::bad_alloc();
  live_bytes += malloc_usable_size(at);
  peak_bytes = std::max(peak_bytes, live_bytes);
  return at;
}

void count_release(void* at) {
  live_bytes -= at == nullptr ? 0 : malloc_usable_size(at);
  std::free(at);
}

}  // namespace

void* operator new(std::size_t size) {
  return count_allocation(size);
}
void* operator new(std::size_t size, const std::nothrow_t& /*tag*/) noexcept {
  try {
    return count_allocation(size);
  } catch (const std::bad_alloc&) {
    return nullptr;
  }
}
void* operator new[](std::size_t size) {
  return count_allocation(size);
}
void operator delete[](void* at) noexcept {
  count_release(at);
}
void operator delete[](void* at, std::size_t /*size*/) noexcept {
  count_release(at);
}
void operator delete(void* at) noexcept {
  count_release(at);
}
void operator delete(void* at, std::size_t /*size*/) noexcept {
  count_release(at);
}

namespace {

using namespace fulmar;

constexpr std::uint64_t items = 980'000;
constexpr std::size_t most_growth_bytes = std::size_t{16} * 1024 * 1024;

/// Stores that answer at once and keep nothing but counts.
struct sink {
  platform_stores stores() {
    auto out = platform_stores();
    out.table.commit = [](const auto& /*transaction*/, const auto& done) {
      done(commit_result{.committed = true});
    };
    out.objects.put_if_absent = [this](const auto& /*name*/, const auto& bytes,
                                       const auto& done) {
      ++objects;
      object_bytes += bytes.size();
      done(true);
    };
    return out;
  }

  std::uint64_t objects = 0;
  std::uint64_t object_bytes = 0;
};

TEST_CASE("an upload of 980,000 items grows memory by 16 MB at most") {
  auto kept = sink();
  const auto prompt = std::string(200, 'p');
  const auto before = live_bytes;
  peak_bytes = live_bytes;
  auto upload = file_upload(kept.stores(), {.file_id = "f", .caller = "c"});
  for (std::uint64_t n = 0; n < items; ++n) {
    const auto line = concat(R"({"custom_id":"route-sheet-)", n,
                             R"(","url":"/v1/completions","body":{"prompt":")",
                             prompt, R"("}})", '\n');
    if (!upload.feed(line).ok()) FAIL("a good line was refused");
  }
  auto file = absl::StatusOr<file_info>();
  upload.finish({}, [&file](const auto& out) { file = out; });
  REQUIRE(file.ok());
  CHECK(file->items == items);
  CHECK(kept.objects == items / 1000);
  CHECK(kept.object_bytes > items * prompt.size());
  const auto growth = peak_bytes - before;
  std::cout << "memory growth for " << items << " items of "
            << file->bytes / items << " bytes: " << growth << " bytes\n";
  CHECK(growth <= most_growth_bytes);
}

}  // namespace
