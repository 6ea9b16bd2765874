#ifndef BERYLBARROW_REVIEW_SMALL_STORE_H_
#define BERYLBARROW_REVIEW_SMALL_STORE_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "../tests/support/loopback_stream.h"

namespace berylbarrow::review {

/// The platform's store: range reads and watches over items with one revision counter. It keeps all
/// of its history.
class small_store {
 public:
  small_store();
  ~small_store();
  small_store(const small_store&) = delete;
  small_store& operator=(const small_store&) = delete;

  const std::string& Address() const { return server_.Address(); }
  void Put(const std::string& key, const nlohmann::json& value);

 private:
  struct change {
    std::uint64_t revision = 0;
    std::string key;
    std::string value;  // base64
  };

  void Serve(loopback_stream& stream);
  nlohmann::json Range(const std::string& prefix);
  nlohmann::json Watch(const std::string& prefix, std::uint64_t after,
                       std::chrono::milliseconds wait);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 100;
  std::vector<change> history_;
  std::atomic<bool> stopping_{false};
  loopback_server server_;
};

}  // namespace berylbarrow::review

#endif  // BERYLBARROW_REVIEW_SMALL_STORE_H_
