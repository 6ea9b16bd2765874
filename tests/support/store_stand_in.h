#ifndef BERYLBARROW_TESTS_SUPPORT_STORE_STAND_IN_H_
#define BERYLBARROW_TESTS_SUPPORT_STORE_STAND_IN_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "support/loopback_stream.h"

namespace berylbarrow {

/// Stand-in of the platform's store: range reads and watches over items with one revision counter.
/// It keeps all of its history. It states its era once it has been restored from a backup.
class store_stand_in {
 public:
  enum class fault : std::uint8_t { kNone, kSilent, kRefusing };

  store_stand_in();
  ~store_stand_in();

  const std::string& Address() const { return server_.Address(); }
  void Put(const std::string& key, const nlohmann::json& value);
  void Remove(const std::string& key);
  void SetFault(fault mode) { fault_ = mode; }
  /// The number of changes so far, for Restore().
  std::size_t MakeBackup();
  /// Loses all changes since the backup. Their revisions are given out again.
  void Restore(std::size_t backup);

 private:
  struct change {
    std::uint64_t revision = 0;
    std::string key;
    std::string value;  // base64
    bool is_removal = false;
  };

  void Record(change&& made);
  std::uint64_t Era();
  void Serve(loopback_stream& stream);
  std::string Answer(const std::string& target);
  /// What a call is answered, with the era in which the answer is true.
  struct stated_answer {
    unsigned status = 200;
    nlohmann::json body;
    std::uint64_t era = 0;
  };

  stated_answer Range(const std::string& prefix);
  stated_answer Watch(const std::string& prefix, std::uint64_t after,
                      std::chrono::milliseconds wait);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 100;
  std::uint64_t era_ = 0;
  std::vector<change> history_;
  std::atomic<fault> fault_{fault::kNone};
  std::atomic<bool> stopping_{false};
  loopback_server server_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_SUPPORT_STORE_STAND_IN_H_
