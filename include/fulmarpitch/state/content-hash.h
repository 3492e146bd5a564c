#pragma once

/// \file
/// SHA-256 of content that comes in parts, and a compact set of hashes.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

/// Hashes content that comes in parts.
class content_hash {
 public:
  content_hash();
  ~content_hash();
  content_hash(content_hash&&) noexcept;
  content_hash& operator=(content_hash&&) noexcept;

  /// Adds the next part.
  void add(std::string_view bytes);

  /// Ends the content; nothing may be added afterwards.
  /// \return the hash in hexadecimal.
  std::string finish();

 private:
  struct context;
  std::unique_ptr<context> context_;
};

/// A set of 64-bit hashes at 8 bytes a slot, for up to 95 in 100 slots. A
/// doubling of the slots holds the old and the new ones for a moment.
class hash_set {
 public:
  /// Adds a hash.
  /// \param hash the hash, not 0.
  /// \return whether it was absent.
  bool insert(std::uint64_t hash);

  std::size_t size() const { return size_; }

 private:
  void grow();
  std::vector<std::uint64_t> slots_;
  std::size_t size_ = 0;
};

/// Hashes a text to 64 bits of its SHA-256.
/// \param text the text.
/// \return the hash, never 0.
std::uint64_t text_hash(std::string_view text);

}  // namespace fulmar
