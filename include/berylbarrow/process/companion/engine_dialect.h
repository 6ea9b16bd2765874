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

/// What an engine says of itself.
struct engine_status {
  rank_status rank;
  double pace = 1.0;  // time of a pass over the usual one
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  auto operator<=>(const engine_status&) const = default;
};

/// How often the requests of a rank chose each expert since the rank started.
struct expert_counts {
  std::uint64_t step = 0;
  std::uint64_t epoch = 0;
  std::vector<std::uint64_t> counts;  // [layer * experts + expert]
};

/// The experts that a rank holds in the map in use, by layer.
struct rank_expert_lists {
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  std::vector<std::vector<expert_index>> experts;
};

/// Calls to a model engine and to what describes it. Implemented by each platform. The readers
/// return nothing if the text has another form.
class engine_dialect {
 public:
  virtual ~engine_dialect() = default;
  virtual http_call StatusCall() const = 0;
  virtual http_call ExpertCountsCall() const = 0;
  virtual http_call ExpertListsCall() const = 0;
  /// `layout` is needed to prepare a map.
  virtual http_call OrderCall(const rank_order& order, const rank_layout* layout) const = 0;
  /// To the platform's store.
  virtual http_call ProfileCall() const = 0;
  virtual std::optional<engine_status> ParseStatus(const std::string& body) const = 0;
  virtual std::optional<expert_counts> ParseExpertCounts(const std::string& body) const = 0;
  virtual std::optional<rank_expert_lists> ParseExpertLists(const std::string& body) const = 0;
  virtual std::optional<engine_profile> ParseProfile(const std::string& body,
                                                     const std::string& service) const = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_COMPANION_ENGINE_DIALECT_H_
