#ifndef BERYLBARROW_PROCESS_ENTRY_KEY_ROUTING_H_
#define BERYLBARROW_PROCESS_ENTRY_KEY_ROUTING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace berylbarrow {

/// One run of an agent.
struct agent_run {
  std::string name;
  std::uint64_t incarnation = 0;
  auto operator<=>(const agent_run&) const = default;
};

/// Decides which run of which agent a key belongs to.
class key_routing {
 public:
  virtual ~key_routing() = default;
  /// Returns the only run that may get the request, or nothing if the key is missing or malformed.
  /// `connected` are the runs that the entry is connected to at present.
  virtual std::optional<agent_run> OwnerOf(const std::string& key,
                                           const std::vector<agent_run>& connected) const = 0;
};

/// The run named by the grant in the key. Does not depend on what the entry sees, so two entries
/// with different views agree.
class grant_key_routing final : public key_routing {
 public:
  std::optional<agent_run> OwnerOf(const std::string& key,
                                   const std::vector<agent_run>& connected) const override;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_ENTRY_KEY_ROUTING_H_
