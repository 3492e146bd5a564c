#include "fulmarpitch/serving/crash-book.h"

#include "fulmarpitch/core/rendezvous.h"

namespace fulmar::serving {

std::uint64_t content_key(std::string_view method, std::string_view path,
                          std::string_view body) {
  return mix_hash(mix_hash(stable_hash(method), stable_hash(path)),
                  stable_hash(body));
}

}  // namespace fulmar::serving
