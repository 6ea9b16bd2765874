#ifndef BERYLBARROW_REQUEST_ROUTING_ACCOUNT_LIMITER_H_
#define BERYLBARROW_REQUEST_ROUTING_ACCOUNT_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace berylbarrow {

struct account_limiter_options {
  std::uint32_t max_requests = 512;
  /// Fraction of max_requests in flight above which accounts are limited to their shares.
  double fairness_threshold = 0.8;
};

/// Prevents one client account from using the whole capacity of an entry: above the fairness
/// threshold, an account is limited to its weighted share of max_requests among the accounts that
/// have requests in flight. Every account may have at least one request in flight.
class account_limiter {
 public:
  explicit account_limiter(const account_limiter_options& options) : options_(options) {}

  /// Admits a request of `account` and counts it as in flight. Returns false if the request would
  /// exceed the account's share. `weight` takes effect only if the account has no other request in
  /// flight; 0 counts as 1.
  bool TryAcquire(const std::string& account, std::uint32_t weight);
  /// Must be called once for each request that TryAcquire admitted, when the request ends.
  void Release(const std::string& account);

  std::size_t InFlight() const { return in_flight_; }
  std::size_t ActiveAccounts() const { return accounts_.size(); }

 private:
  struct usage {
    std::uint32_t in_flight = 0;
    std::uint32_t weight = 0;
  };

  account_limiter_options options_;
  std::map<std::string, usage> accounts_;  // those with at least one request in flight
  std::size_t in_flight_ = 0;
  std::uint64_t active_weight_ = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ROUTING_ACCOUNT_LIMITER_H_
