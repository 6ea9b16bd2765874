#include "berylbarrow/process/entry/key_routing.h"

#include "berylbarrow/request/execution/grant_key.h"

namespace berylbarrow {

std::optional<agent_run> grant_key_routing::OwnerOf(
    const std::string& key, const std::vector<agent_run>& /*connected*/) const {
  const auto parsed = ParseGrantKey(key);
  if (!parsed) {
    return std::nullopt;
  }
  const grant& permission = parsed.value().permission;
  return agent_run{.name = permission.agent, .incarnation = permission.incarnation};
}

}  // namespace berylbarrow
