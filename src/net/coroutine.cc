#include "fulmarpitch/net/coroutine.h"

#include <glog/logging.h>

#include "fulmarpitch/core/invariant.h"

namespace fulmar {

void failure_report::operator()(const std::exception_ptr& fault) const {
  if (!fault) return;
  try {
    std::rethrow_exception(fault);
  } catch (const invariant_broken&) {
    throw;
  } catch (const std::exception& it) {
    LOG(ERROR) << "a coroutine ended with an exception: " << it.what();
  }
}

}  // namespace fulmar
