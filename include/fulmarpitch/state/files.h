#pragma once

/// \file
/// Files of batch items: a streamed upload in JSON Lines, cut into chunks.

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/state/results.h"

namespace fulmar {

/// Why a line cannot be taken.
enum class line_fault {
  none,
  not_json,
  no_custom_id,
  doubled_custom_id,
  no_body,
  line_too_long,
  too_many_items,
  empty_file,
};

inline constexpr std::array<named<line_fault>, 8> line_fault_names{{
    {line_fault::none, "none"},
    {line_fault::not_json, "not_json"},
    {line_fault::no_custom_id, "no_custom_id"},
    {line_fault::doubled_custom_id, "doubled_custom_id"},
    {line_fault::no_body, "no_body"},
    {line_fault::line_too_long, "line_too_long"},
    {line_fault::too_many_items, "too_many_items"},
    {line_fault::empty_file, "empty_file"},
}};

/// One item of a file.
struct batch_item {
  std::string custom_id;
  /// Path of the request, `/v1/completions` for instance.
  std::string url;
  std::string model;
  /// The request's body as JSON.
  std::string body;
  std::uint64_t line = 0;
};

/// A file that is whole and in the stores.
struct file_info {
  std::string id;
  std::string caller;
  std::string name;
  std::uint64_t bytes = 0;
  std::uint64_t items = 0;
  std::uint64_t chunks = 0;
  /// SHA-256 of the content, in hexadecimal.
  std::string content_hash;
  instant created{};
};

/// How an upload is built.
struct file_upload_options {
  /// Unique for each upload.
  std::string file_id;
  std::string caller;
  std::string name;
  std::uint64_t random_seed = 1;
  std::size_t most_items = 980'000;
  std::size_t most_line_bytes = std::size_t{1024} * 1024;
  std::size_t most_custom_id_bytes = 256;
  std::size_t chunk_items = 1'000;
  std::size_t chunk_bytes = std::size_t{4} * 1024 * 1024;
  /// Chunks under way to the store; `ready` is false beyond.
  std::size_t most_writes = 2;
  instant first_retry = std::chrono::milliseconds(100);
  instant longest_retry = std::chrono::seconds(5);
};

/// A streamed upload. It holds one line, the chunks under way and 64 bits of
/// each custom_id's hash; two ids with the same hash count as doubled.
class file_upload {
 public:
  file_upload(platform_stores stores, file_upload_options options);
  ~file_upload();
  file_upload(file_upload&&) noexcept;
  file_upload& operator=(file_upload&&) noexcept;

  /// Takes the next bytes of the content.
  /// \param bytes any part of the content.
  /// \return `bad_request` or `too_large` for the first bad line, whose number
  ///   the message holds; every later call fails in the same way.
  absl::Status feed(std::string_view bytes);

  /// \return whether more bytes may be fed.
  bool ready() const;

  /// Ends the content and writes the file's row.
  /// \param now the time of creation.
  /// \param done receives the file once it is in the stores.
  void finish(instant now, callback<file_info> done);

  /// Retries what is due.
  /// \param now the time.
  void tick(instant now);

  /// \return what is wrong with the line `bad_line`.
  line_fault fault() const;
  std::uint64_t bad_line() const;

  struct state;

 private:
  std::shared_ptr<state> state_;
};

/// Reads a file's row.
/// \param stores the stores.
/// \param caller whose file it is.
/// \param file_id the file's id.
/// \param done receives the file; `not_found`, `store_unavailable`.
void find_file(const platform_stores& stores, const std::string& caller,
               const std::string& file_id, callback<file_info> done);

/// Gives the name of a chunk's object.
/// \param file_id the file's id.
/// \param chunk the chunk's number, from 0.
/// \return the object's name.
std::string chunk_object_name(std::string_view file_id, std::uint64_t chunk);

/// Reads the items of a chunk's object.
/// \param bytes the object.
/// \return the items, or `internal` when the bytes are damaged.
absl::StatusOr<std::vector<batch_item>> parse_chunk(std::string_view bytes);

}  // namespace fulmar
