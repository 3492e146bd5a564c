#pragma once

#include <memory>
#include <set>
#include <string>

#include "fulmarpitch/daemon/caller-api.h"
#include "fulmarpitch/state/files.h"

namespace fulmar {

struct upload;

/// Files and batch jobs of the callers' interface.
class batch_api {
 public:
  batch_api(event_loop& loop, platform_stores stores, std::string self);

  /// \return false when the path is not about files or batches.
  bool serve(const std::shared_ptr<http_exchange>& it,
             const std::string& caller, const configuration& in_force);
  void tick();

 private:
  void upload_file(const std::shared_ptr<http_exchange>& it,
                   const std::string& caller, const configuration& in_force);
  void create_batch(const std::shared_ptr<http_exchange>& it,
                    const std::string& caller, const configuration& in_force);
  void list_batches(const std::shared_ptr<http_exchange>& it,
                    const std::string& caller);
  void show_batch(const std::shared_ptr<http_exchange>& it,
                  const std::string& caller, const std::string& id);
  void cancel_batch(const std::shared_ptr<http_exchange>& it,
                    const std::string& caller, const std::string& id);
  void send_content(const std::shared_ptr<http_exchange>& it,
                    const std::string& caller, const std::string& file_id);
  std::string unique_id(std::string_view kind);

  event_loop& loop_;
  platform_stores stores_;
  std::string self_;
  std::uint64_t last_id_ = 0;
  std::set<std::shared_ptr<upload>> uploads_;
};

/// Answers with a failure.
void refuse(const std::shared_ptr<http_exchange>& it, error_code code,
            outcome what, std::string_view message, instant retry_after = {});
void refuse(const std::shared_ptr<http_exchange>& it,
            const absl::Status& status);

}  // namespace fulmar
