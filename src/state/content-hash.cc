#include "fulmarpitch/state/content-hash.h"

#include <openssl/evp.h>
#include <openssl/sha.h>

#include <array>
#include <utility>

#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace detail {
namespace {

constexpr std::size_t first_slots = 1024;
constexpr std::size_t most_load_percent = 95;
constexpr std::size_t word_bytes = 8;

std::uint64_t read_word(const unsigned char* bytes) {
  auto out = std::uint64_t{0};
  for (std::size_t n = 0; n < word_bytes; ++n)
    out = out << 8U | bytes[n];
  return out;
}

}  // namespace
}  // namespace detail

struct content_hash::context {
  std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> md{EVP_MD_CTX_new(),
                                                             &EVP_MD_CTX_free};
};

content_hash::content_hash() : context_(std::make_unique<context>()) {
  EVP_DigestInit_ex(context_->md.get(), EVP_sha256(), nullptr);
}

content_hash::~content_hash() = default;
content_hash::content_hash(content_hash&&) noexcept = default;
content_hash& content_hash::operator=(content_hash&&) noexcept = default;

void content_hash::add(std::string_view bytes) {
  EVP_DigestUpdate(context_->md.get(), bytes.data(), bytes.size());
}

std::string content_hash::finish() {
  auto digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>{};
  EVP_DigestFinal_ex(context_->md.get(), digest.data(), nullptr);
  auto out = std::string();
  for (std::size_t n = 0; n < digest.size(); n += detail::word_bytes) {
    out += hex(detail::read_word(&digest[n]));
  }
  return out;
}

void hash_set::grow() {
  const auto slots = slots_.empty() ? detail::first_slots : slots_.size() * 2;
  const auto old = std::exchange(slots_, std::vector<std::uint64_t>(slots));
  size_ = 0;
  for (const auto it : old) {
    if (it != 0) insert(it);
  }
}

bool hash_set::insert(std::uint64_t hash) {
  if ((size_ + 1) * 100 > slots_.size() * detail::most_load_percent) grow();
  const auto mask = slots_.size() - 1;
  auto at = static_cast<std::size_t>(hash) & mask;
  while (slots_[at] != 0) {
    if (slots_[at] == hash) return false;
    at = (at + 1) & mask;
  }
  slots_[at] = hash;
  ++size_;
  return true;
}

std::uint64_t text_hash(std::string_view text) {
  auto digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  const auto hash = detail::read_word(digest.data());
  return hash == 0 ? 1 : hash;
}

}  // namespace fulmar
