#include "berylbarrow/request/admission/fair_queue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace berylbarrow {
namespace {

double InverseWeight(const queued_execution& item) {
  return 1.0 / std::max<std::uint32_t>(item.weight, 1);
}

}  // namespace

bool fair_queue::Push(const queued_execution& item) {
  if (size_ >= capacity_) {
    return false;
  }
  account_queue& queue = accounts_[item.account];
  if (queue.items.empty()) {
    queue.virtual_finish_time = virtual_time_ + InverseWeight(item);
  }
  const std::uint32_t inverted_priority = std::numeric_limits<std::uint32_t>::max() - item.priority;
  queue.items.emplace(queue_position{inverted_priority, ++arrivals_}, item);
  ++size_;
  return true;
}

std::map<std::string, fair_queue::account_queue>::const_iterator fair_queue::NextAccount() const {
  return std::min_element(accounts_.begin(), accounts_.end(), [](const auto& a, const auto& b) {
    return a.second.virtual_finish_time < b.second.virtual_finish_time;
  });
}

const queued_execution* fair_queue::Peek() const {
  const auto next_account = NextAccount();
  return next_account == accounts_.end() ? nullptr : &next_account->second.items.begin()->second;
}

std::optional<queued_execution> fair_queue::Pop() {
  const auto next_account = NextAccount();
  if (next_account == accounts_.end()) {
    return std::nullopt;
  }
  account_queue& queue = accounts_.at(next_account->first);
  queued_execution item = std::move(queue.items.begin()->second);
  queue.items.erase(queue.items.begin());
  --size_;
  virtual_time_ = queue.virtual_finish_time;
  if (queue.items.empty()) {
    accounts_.erase(next_account);
  } else {
    queue.virtual_finish_time += InverseWeight(queue.items.begin()->second);
  }
  return item;
}

const queued_execution* fair_queue::EvictionCandidate(const std::string& account,
                                                      std::uint32_t weight) const {
  const auto own = accounts_.find(account);
  const std::size_t own_items = own == accounts_.end() ? 0 : own->second.items.size();
  double longest = static_cast<double>(own_items + 1) / std::max<std::uint32_t>(weight, 1);
  const queued_execution* candidate = nullptr;
  for (const auto& [name, queue] : accounts_) {
    const queued_execution& last = queue.items.rbegin()->second;
    const double weighted_length = static_cast<double>(queue.items.size()) * InverseWeight(last);
    if (name != account && weighted_length > longest) {
      longest = weighted_length;
      candidate = &last;
    }
  }
  return candidate;
}

bool fair_queue::Remove(execution_id execution) {
  for (auto account = accounts_.begin(); account != accounts_.end(); ++account) {
    auto& items = account->second.items;
    const auto found = std::find_if(items.begin(), items.end(), [execution](const auto& entry) {
      return entry.second.execution == execution;
    });
    if (found == items.end()) {
      continue;
    }
    items.erase(found);
    --size_;
    if (items.empty()) {
      accounts_.erase(account);
    }
    return true;
  }
  return false;
}

std::vector<queued_execution> fair_queue::Expire(time_point now) {
  std::vector<queued_execution> expired;
  for (const auto& [name, queue] : accounts_) {
    for (const auto& [position, item] : queue.items) {
      if (item.deadline <= now) {
        expired.push_back(item);
      }
    }
  }
  for (const queued_execution& item : expired) {
    Remove(item.execution);
  }
  return expired;
}

std::vector<queued_execution> fair_queue::Clear() {
  std::vector<queued_execution> all;
  while (auto item = Pop()) {
    all.push_back(std::move(*item));
  }
  return all;
}

time_point fair_queue::NextDeadline() const {
  time_point next = time_point::max();
  for (const auto& [name, queue] : accounts_) {
    for (const auto& [position, item] : queue.items) {
      next = std::min(next, item.deadline);
    }
  }
  return next;
}

}  // namespace berylbarrow
