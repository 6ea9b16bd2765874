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
/// of its history. Each answer states how often the store has come back from a copy.
class small_store {
 public:
  small_store();
  ~small_store();
  small_store(const small_store&) = delete;
  small_store& operator=(const small_store&) = delete;

  const std::string& Address() const { return server_.Address(); }
  void Put(const std::string& key, const nlohmann::json& value);
  /// The number of changes so far, for Restore().
  std::size_t MakeCopy();
  /// From now on nothing is answered. Connections that are open stay silent for good.
  void GoAway();
  /// Comes back from the copy: later changes are lost, and their revisions are given out again.
  void Restore(std::size_t copy);

 private:
  struct change {
    std::uint64_t revision = 0;
    std::string key;
    std::string value;  // base64
  };

  void Serve(loopback_stream& stream);
  /// The answer to a request; nothing if the store went away meanwhile.
  std::string Answer(const std::string& target, std::uint64_t life);
  nlohmann::json Range(const std::string& prefix);
  nlohmann::json Watch(const std::string& prefix, std::uint64_t after,
                       std::chrono::milliseconds wait);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 100;
  std::vector<change> history_;
  std::uint64_t era_ = 0;
  std::atomic<bool> is_away_{false};
  std::atomic<std::uint64_t> life_{0};  // rises whenever the store goes away
  std::atomic<bool> stopping_{false};
  loopback_server server_;
};

}  // namespace berylbarrow::review

#endif  // BERYLBARROW_REVIEW_SMALL_STORE_H_
