#ifndef BERYLBARROW_SRC_PROCESS_GATEWAY_LINK_POOL_H_
#define BERYLBARROW_SRC_PROCESS_GATEWAY_LINK_POOL_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "berylbarrow/connection/http/upstream_link.h"

namespace berylbarrow {

struct link_pool_options {
  upstream_link_options link;
  /// Bytes of answers that all links together may hold, beyond `free_answer_bytes` of each.
  std::size_t max_held_answer_bytes = std::size_t{64} << 20U;
  std::size_t free_answer_bytes = std::size_t{32} << 10U;
  std::size_t max_idle_per_upstream = 24;
  /// Idle time after which a link is closed if its upstream has not sent a keep-alive timeout.
  duration idle_lifetime = std::chrono::seconds(4);
  /// Maximum idle time of a link that is used for a request that must not run twice. The upstream
  /// may be about to close a link that has been idle for longer.
  duration max_idle_if_not_repeatable = std::chrono::milliseconds(1500);
};

using link_list = std::vector<std::shared_ptr<upstream_link>>;

/// The link that an exchange needs.
struct link_request {
  const std::string& upstream_id;
  const std::string& address;   // "IP:port"
  bool must_be_recent = false;  // applies `max_idle_if_not_repeatable`
  bool must_be_new = false;     // for a request whose answer cannot be told from that of another
  /// Links on which the same request was answered before. The upstream may repeat that answer late,
  /// and the id of the request does not tell the repetition from the answer to the next attempt.
  const link_list& answered;
};

/// Pool of connections to upstreams. Tracks both the idle links and those in use.
class link_pool {
 public:
  link_pool(boost::asio::io_context& context, const link_pool_options& options,
            const runtime_clock& clock)
      : context_(context), options_(options), clock_(clock) {
    options_.link.answer_budget =
        std::make_shared<byte_budget>(options_.max_held_answer_bytes, options_.free_answer_bytes);
  }

  /// Returns a link for one exchange: the most recently used idle link of the upstream that fits,
  /// or a new one.
  std::shared_ptr<upstream_link> Acquire(const link_request& request);
  /// Must be called when the exchange is over. Keeps the link for reuse if it is still open.
  void Release(const std::string& upstream_id, const std::shared_ptr<upstream_link>& link);
  /// Called regularly. Closes links that have been idle for too long and ends connection attempts
  /// that take too long.
  void CheckTimeouts(time_point now);

 private:
  bool IsExpired(const upstream_link& link, time_point now) const;
  /// Takes a usable idle link out of the pool; null if there is none. Closes those that have ended
  /// or expired.
  std::shared_ptr<upstream_link> TakeIdle(const link_request& request);

  boost::asio::io_context& context_;
  link_pool_options options_;
  const runtime_clock& clock_;
  std::uint64_t opened_links_ = 0;
  std::map<std::string, link_list> idle_;  // by upstream id
  std::unordered_set<std::shared_ptr<upstream_link>> busy_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_GATEWAY_LINK_POOL_H_
