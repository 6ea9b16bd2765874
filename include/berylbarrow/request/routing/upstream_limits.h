#ifndef BERYLBARROW_REQUEST_ROUTING_UPSTREAM_LIMITS_H_
#define BERYLBARROW_REQUEST_ROUTING_UPSTREAM_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

/// What a gateway knows of the limit that an upstream names.
struct limit_report {
  std::uint32_t upstream = 0;             // hash of its id
  std::uint32_t requests_per_1000_s = 0;  // from all gateways together
  bool is_limited = false;
  std::uint32_t age_ms = 0;  // of the answer that said so, at the time of sending
  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream, requests_per_1000_s, is_limited, age_ms);
  }
  auto operator<=>(const limit_report&) const = default;
};

/// Sent to other gateways as a datagram.
struct limit_digest {
  std::vector<limit_report> limits;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(limits);
  }
  auto operator<=>(const limit_digest&) const = default;
};

/// Little-endian cereal portable binary.
std::string EncodeLimitDigest(const limit_digest& digest);
/// Returns nothing if the bytes are not a limit digest.
std::optional<limit_digest> DecodeLimitDigest(std::string_view datagram);

/// The request rates that upstreams name in their answers, for as long as they name them. An answer
/// that names none ends the limit if its request was sent after the limit was last named.
class upstream_limits {
 public:
  /// Handles the head of an answer. `limit`: in requests per second, from all gateways together.
  /// Returns whether the limit has changed.
  bool OnAnswer(std::uint32_t upstream, std::optional<double> limit, time_point sent_at,
                time_point now);
  std::optional<double> LimitOf(std::uint32_t upstream) const;
  /// In requests per second, of the upstreams that are limited now.
  std::map<std::uint32_t, double> Limits() const;
  /// Forgets all other upstreams.
  void Retain(const std::set<std::uint32_t>& upstreams);

  bool IsEmpty() const { return limits_.empty(); }
  /// Whether other gateways should be told at once, since the last call of MakeDigest().
  bool HasNews() const { return has_news_; }
  /// As many limits as fit a datagram; each call continues with the next ones.
  limit_digest MakeDigest(time_point now);
  /// Returns the upstreams whose limit has changed.
  std::vector<std::uint32_t> Merge(const limit_digest& digest, time_point now);

 private:
  struct named_limit {
    std::uint32_t requests_per_1000_s = 0;
    bool is_limited = false;
    time_point named_at;  // or at which an answer showed that it has ended
  };

  std::map<std::uint32_t, named_limit> limits_;  // of upstreams that have named one
  std::uint32_t next_in_digest_ = 0;
  bool has_news_ = false;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ROUTING_UPSTREAM_LIMITS_H_
