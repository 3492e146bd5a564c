#include "fulmarpitch/serving/returns.h"

#include <algorithm>

namespace fulmar::serving {

instant promise_return(return_book& book, const refusal& it, instant now,
                       const return_options& options) {
  while (!book.due.empty() && book.due.front() <= now)
    book.due.pop_front();
  auto ahead = options.slots_per_return * static_cast<double>(book.due.size());
  auto behind_them = std::chrono::duration_cast<instant>(
      it.slot_time * (ahead / std::max(it.slots, 1.0)));
  auto out = std::clamp(it.wait + behind_them, options.least, options.most);
  // Retry times increase with each refusal unless the queue has shrunk.
  auto at = std::lower_bound(book.due.begin(), book.due.end(), now + out);
  book.due.insert(at, now + out);
  return out;
}

}  // namespace fulmar::serving
