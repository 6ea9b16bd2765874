#ifndef BERYLBARROW_SRC_PROCESS_GATEWAY_LINK_POOL_H_
#define BERYLBARROW_SRC_PROCESS_GATEWAY_LINK_POOL_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "berylbarrow/connection/http/upstream_link.h"

namespace berylbarrow {

struct link_pool_options {
  upstream_link_options link;
  std::size_t max_idle_per_upstream = 24;
  /// Idle links of an upstream that names no time are kept for so long.
  duration idle_lifetime = std::chrono::seconds(4);
  /// A request that must not run twice takes no link that was idle for longer: the upstream may
  /// be closing it.
  duration max_idle_if_not_repeatable = std::chrono::milliseconds(1500);
};

/// Idle connections to upstreams, by address and id, and those in use.
class link_pool {
 public:
  link_pool(boost::asio::io_context& context, const link_pool_options& options,
            const runtime_clock& clock)
      : context_(context), options_(options), clock_(clock) {}

  /// A link for one exchange: the one that was used last, or a new one.
  std::shared_ptr<upstream_link> Acquire(const std::string& upstream_id, const std::string& address,
                                         bool must_be_recent);
  /// The exchange is over.
  void Release(const std::string& upstream_id, const std::shared_ptr<upstream_link>& link);
  /// Ends what was idle for too long and connection attempts that take too long.
  void CheckTimeouts(time_point now);

 private:
  using link_list = std::vector<std::shared_ptr<upstream_link>>;

  bool IsExpired(const upstream_link& link, time_point now) const;

  boost::asio::io_context& context_;
  link_pool_options options_;
  const runtime_clock& clock_;
  std::map<std::string, link_list> idle_;  // by upstream id
  std::unordered_set<std::shared_ptr<upstream_link>> busy_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_GATEWAY_LINK_POOL_H_
