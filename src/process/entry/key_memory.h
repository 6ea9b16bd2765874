#ifndef BERYLBARROW_SRC_PROCESS_ENTRY_KEY_MEMORY_H_
#define BERYLBARROW_SRC_PROCESS_ENTRY_KEY_MEMORY_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace berylbarrow {

/// The last keys that were added, up to a bound.
class key_memory {
 public:
  explicit key_memory(std::size_t bound) : bound_(bound) {}

  void Add(const std::string& key) {
    if (!keys_.insert(key).second) {
      return;
    }
    order_.push_back(key);
    if (order_.size() > bound_) {
      keys_.erase(order_.front());
      order_.pop_front();
    }
  }

  bool Contains(const std::string& key) const { return keys_.contains(key); }
  std::size_t Size() const { return order_.size(); }

 private:
  std::size_t bound_;
  std::unordered_set<std::string> keys_;
  std::deque<std::string> order_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_ENTRY_KEY_MEMORY_H_
