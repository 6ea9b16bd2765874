#ifndef BERYLBARROW_CONNECTION_HTTP_EXPERT_MAP_TEXT_H_
#define BERYLBARROW_CONNECTION_HTTP_EXPERT_MAP_TEXT_H_

#include <optional>
#include <string>

#include "berylbarrow/process/core/core.h"

namespace berylbarrow {

/// Body of GET /expert-map.
std::string EngineStateText(const engine_state& state);

/// `reachable` is false if the text is not a state.
engine_state ParseEngineState(const std::string& text);

/// Body of POST /expert-map/prepare, commit and abort.
std::string OrderText(const engine_order& order);

/// Token, version and maps of an order; empty if the text is not an order.
std::optional<engine_order> ParseOrder(const std::string& text);

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_EXPERT_MAP_TEXT_H_
