#ifndef BERYLBARROW_PROCESS_COMPANION_ENGINE_DIALECT_H_
#define BERYLBARROW_PROCESS_COMPANION_ENGINE_DIALECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "berylbarrow/connection/http/http_caller.h"
#include "berylbarrow/version/expert/map_switch.h"
#include "berylbarrow/version/expert/rank_layout.h"
#include "berylbarrow/version/routing/routing_view.h"

namespace berylbarrow {

/// Status that an engine reports about itself.
struct engine_status {
  rank_status rank;
  double pace = 1.0;          // pass time divided by the normal pass time
  std::uint32_t running = 0;  // requests
  std::uint32_t waiting = 0;  // requests
  auto operator<=>(const engine_status&) const = default;
};

/// Number of times that the requests of a rank have selected each expert since the rank started.
struct expert_counts {
  std::uint64_t step = 0;
  std::uint64_t epoch = 0;
  std::vector<std::uint64_t> counts;  // [layer * experts + expert]
};

/// Experts that a rank holds under the expert map in use.
struct rank_expert_lists {
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  std::vector<std::vector<expert_index>> experts;  // by layer
};

/// Encodes requests to a model engine and to the platform's store, and parses their responses.
/// Implemented by each platform. The parsers return std::nullopt for a body of unexpected form.
class engine_dialect {
 public:
  virtual ~engine_dialect() = default;
  virtual http_call StatusCall() const = 0;
  virtual http_call ExpertCountsCall() const = 0;
  virtual http_call ExpertListsCall() const = 0;
  /// `layout` must not be null for order_kind::kPrepare and kFence; other orders ignore it.
  virtual http_call OrderCall(const rank_order& order, const rank_layout* layout) const = 0;
  /// Reads the engine profile from the platform's store.
  virtual http_call ProfileCall() const = 0;
  virtual std::optional<engine_status> ParseStatus(const std::string& body) const = 0;
  virtual std::optional<expert_counts> ParseExpertCounts(const std::string& body) const = 0;
  virtual std::optional<rank_expert_lists> ParseExpertLists(const std::string& body) const = 0;
  /// Returns the engine profile of `service`.
  virtual std::optional<engine_profile> ParseProfile(const std::string& body,
                                                     const std::string& service) const = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_COMPANION_ENGINE_DIALECT_H_
