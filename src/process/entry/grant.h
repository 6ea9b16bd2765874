#ifndef BERYLBARROW_SRC_PROCESS_ENTRY_GRANT_H_
#define BERYLBARROW_SRC_PROCESS_ENTRY_GRANT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace berylbarrow {

/// Permission to run non-idempotent operations at one run of an agent.
struct grant {
  std::string agent;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  auto operator<=>(const grant&) const = default;
};

/// "agent/incarnation in hex/epoch".
std::string FormatGrant(const grant& value);

/// Parses "agent/incarnation in hex/epoch/nonce". The nonce must not be empty.
std::optional<grant> ParseGrantKey(std::string_view key);

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_ENTRY_GRANT_H_
