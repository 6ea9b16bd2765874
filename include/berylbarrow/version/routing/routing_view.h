#ifndef BERYLBARROW_VERSION_ROUTING_ROUTING_VIEW_H_
#define BERYLBARROW_VERSION_ROUTING_ROUTING_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

/// What may be repeated of a request that may have run.
enum class request_kind : std::uint8_t {
  kIdempotent,
  kNonIdempotent,
  kStreaming,  // as kNonIdempotent, unless the route says that it may be resumed
};

struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;
  auto operator<=>(const weighted_service&) const = default;
};

struct route {
  std::string name;
  std::string host;
  std::string prefix;  // of the path; begins and ends with "/"
  request_kind kind = request_kind::kIdempotent;
  duration timeout = std::chrono::seconds(10);
  duration goal = std::chrono::milliseconds(500);
  std::uint32_t priority = 5;      // 0 is the most urgent
  std::uint32_t max_attempts = 1;  // upstreams that one request may be sent to
  bool is_public = false;          // needs no key
  bool resumable = false;          // streams only
  duration gap_target = duration::zero();
  std::vector<weighted_service> services;
  bool MayRepeat() const {
    return kind == request_kind::kIdempotent || (kind == request_kind::kStreaming && resumable);
  }
  auto operator<=>(const route&) const = default;
};

/// Cost model of a model engine whose upstreams batch continuously. Times in milliseconds.
struct engine_profile {
  std::uint32_t slots = 1;      // requests that run at once
  std::uint32_t stride = 1;     // token steps of a pass that has writers
  double step_ms = 0;           // each token step
  double per_sequence_ms = 0;   // added to a step by each request that is writing
  double per_context_k_ms = 0;  // added to a step by each 1,000 tokens of context
  double read_tokens_per_ms = 0;
  std::uint32_t chunk_tokens = 0;  // prompt tokens read in one step at most
  std::uint32_t usual_prompt = 0;  // mean token counts
  std::uint32_t usual_answer = 0;
  std::uint32_t expert_layers = 0;
  std::uint32_t experts = 0;          // per layer
  std::uint32_t expert_slots = 0;     // per rank and layer
  std::uint32_t max_new_experts = 0;  // per layer, in one preparation of a map
  double expert_mb = 0;
  double expert_link_mbps = 0;
  double expert_share = 0;
  auto operator<=>(const engine_profile&) const = default;
};

struct service_profile {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;  // of one upstream, from all callers; 0: unknown
  duration cold_start = duration::zero();
  double cold_requests_per_second = 0;  // 0: not bounded
  std::optional<engine_profile> engine;
  auto operator<=>(const service_profile&) const = default;
};

struct client_account {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;  // overrides the route's
  auto operator<=>(const client_account&) const = default;
};

struct caller_limits {
  std::uint32_t max_header_bytes = 16384;
  std::uint32_t max_body_bytes = 4U << 20U;
  duration header_timeout = std::chrono::seconds(3);
  duration idle_timeout = std::chrono::seconds(15);
  auto operator<=>(const caller_limits&) const = default;
};

/// Everything that one version of the configuration says about requests.
struct routing_content {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service_profile> services;
  /// Absent: requests need no key. Empty: no key is valid.
  std::optional<std::vector<client_account>> accounts;
  caller_limits limits;
  auto operator<=>(const routing_content&) const = default;
};

/// An immutable version of the configuration with its indexes.
class routing_view {
 public:
  explicit routing_view(routing_content content);

  std::uint64_t Version() const { return content_.version; }
  const routing_content& Content() const { return content_; }
  const caller_limits& Limits() const { return content_.limits; }
  bool NeedsKeys() const { return content_.accounts.has_value(); }

  /// The route of that host with the longest prefix of the path, or null. `target` may hold a
  /// query.
  const route* FindRoute(std::string_view host, std::string_view target) const;
  const service_profile* FindService(std::string_view name) const;
  /// The shortest pause that a route to the service allows between events; zero: none says.
  duration ShortestPause(const std::string& service) const;
  /// The account that holds the key, or null.
  const client_account* FindAccount(std::string_view key) const;

 private:
  struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };
  template <typename Value>
  using text_index = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

  routing_content content_;
  text_index<text_index<std::size_t>> routes_;  // host, prefix
  text_index<std::size_t> services_;
  text_index<std::size_t> keys_;
  std::map<std::string, duration> pauses_;  // by service
};

/// Picks one of the route's services by weight. `draw` is uniform in [0, 1).
const std::string& ChooseService(const route& route, double draw);

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_ROUTING_ROUTING_VIEW_H_
