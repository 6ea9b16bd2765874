#ifndef BERYLBARROW_SRC_PROCESS_ENTRY_ADDRESSES_H_
#define BERYLBARROW_SRC_PROCESS_ENTRY_ADDRESSES_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "berylbarrow/process/core/core.h"
#include "process/entry/entry_context.h"
#include "process/entry/peers.h"

namespace berylbarrow {

/// Tells callers which entries to use and grants them runs of agents.
class address_book {
 public:
  address_book(entry_context& context, const entry_peers& peers, routing_policy& policy)
      : context_(context), peers_(peers), policy_(policy) {}

  void Answer(const address_query& query);
  /// Entries of the service that callers of `account` may use, best first:
  /// [{"address", "domain"}, ...].
  nlohmann::json Addresses(const std::string& service, const std::string& account) const;
  /// A fresh grant for a service with a non-idempotent operation, if an agent can take it.
  std::optional<std::string> Grant(const service_options& service);
  /// Notes when the failure domain of this entry goes out of service.
  void OnTime();
  /// The domain has been out of service for longer than any address response is valid.
  bool IsRetired() const;
  std::optional<time_point> OutSince() const { return out_since_; }

 private:
  bool MayServe(const entry_options& entry) const;

  entry_context& context_;
  const entry_peers& peers_;
  routing_policy& policy_;
  std::optional<time_point> out_since_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_ENTRY_ADDRESSES_H_
