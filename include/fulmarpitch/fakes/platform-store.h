#pragma once

/// \file
/// A stand-in for the platform's store, with the faults that it may have.

#include <absl/status/status.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/net/event-loop.h"

namespace fulmar {

/// What the stand-in does to calls while a fault lasts.
enum class store_fault {
  none,
  /// 503: nothing was done.
  down,
  /// 429: nothing was done.
  busy,
  /// The connection is closed; nothing was done.
  reset,
  /// No answer; nothing was done.
  silent,
  /// Writes are done, and their answers are lost.
  lost,
};

inline constexpr std::array<named<store_fault>, 6> store_fault_names{{
    {store_fault::none, "none"},
    {store_fault::down, "down"},
    {store_fault::busy, "busy"},
    {store_fault::reset, "reset"},
    {store_fault::silent, "silent"},
    {store_fault::lost, "lost"},
}};

/// What the store refuses, as its page states.
struct platform_store_limits {
  std::size_t call_entries = 100;
  std::size_t call_bytes = 1'000'000;
  std::size_t name_bytes = 200;
  /// A row's value, before base64.
  std::size_t row_bytes = 65'536;
  std::size_t tables = 100;
  std::size_t read_rows = 500;
  std::size_t read_bytes = 1'000'000;
  std::size_t listed_names = 1'000;
  std::size_t object_bytes = 8'388'608;
  std::size_t all_object_bytes = 400'000'000;
  std::size_t writes_per_second = 800;
  std::size_t reads_per_second = 2'000;
  /// Transactions of one part; a second of them may wait.
  std::size_t part_writes_per_second = 200;
};

/// Rows and objects in memory, served over HTTP.
class platform_store_fake {
 public:
  struct state;

  platform_store_fake(event_loop& loop, std::string host,
                      platform_store_limits limits = {});
  ~platform_store_fake();
  platform_store_fake(const platform_store_fake&) = delete;
  platform_store_fake& operator=(const platform_store_fake&) = delete;

  absl::Status start();
  /// \return IP address and port.
  std::string address() const;

  /// Writes a row as the operator or a target would.
  void put(const std::string& table, const std::string& key, std::string value);
  void remove(const std::string& table, const std::string& key);

  /// \return a row's value, or an empty text.
  std::string value(const std::string& table, const std::string& part,
                    const std::string& key) const;

  /// \return the names and values of all rows and objects that daemons wrote.
  std::string written() const;

  void set_fault(store_fault fault);
  /// Drops the history: waits for changes after an older version get 410.
  void drop_history();

  std::uint64_t calls() const;

  /// \return the calls that were refused because of their form or size.
  std::uint64_t refused_calls() const;

  /// \return the number of objects.
  std::size_t objects() const;

 private:
  std::shared_ptr<state> state_;
};

}  // namespace fulmar
