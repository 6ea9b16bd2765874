#ifndef BERYLBARROW_REQUEST_ROUTING_ACCOUNT_LIMITER_H_
#define BERYLBARROW_REQUEST_ROUTING_ACCOUNT_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace berylbarrow {

struct account_limiter_options {
  std::uint32_t max_requests = 512;
  double fairness_threshold = 0.8;  // of max_requests in flight from which accounts are limited
};

/// Keeps one client account from filling an entry: once most places are taken, an account is held
/// to its weighted share among the accounts that have requests in flight.
class account_limiter {
 public:
  explicit account_limiter(const account_limiter_options& options) : options_(options) {}

  /// Takes a place for a request of `account`. Returns false if the account is over its share.
  bool TryAcquire(const std::string& account, std::uint32_t weight);
  /// Gives back a place that TryAcquire took.
  void Release(const std::string& account);

  std::size_t InFlight() const { return in_flight_; }
  std::size_t ActiveAccounts() const { return accounts_.size(); }

 private:
  struct usage {
    std::uint32_t in_flight = 0;
    std::uint32_t weight = 0;
  };

  account_limiter_options options_;
  std::map<std::string, usage> accounts_;  // with at least one request in flight
  std::size_t in_flight_ = 0;
  std::uint64_t active_weight_ = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ROUTING_ACCOUNT_LIMITER_H_
