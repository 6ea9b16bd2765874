#ifndef BERYLBARROW_VERSION_ROUTING_CONFIGURATION_REVIEW_H_
#define BERYLBARROW_VERSION_ROUTING_CONFIGURATION_REVIEW_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "berylbarrow/version/routing/routing_view.h"

namespace berylbarrow {

enum class configuration_section : std::uint8_t { kRoot, kRoutes, kServices, kAccounts, kLimits };

enum class configuration_field : std::uint8_t {
  kEntry,  // the whole entry
  kVersion,
  kName,
  kHost,
  kPrefix,
  kKind,
  kTimeout,
  kGoal,
  kPriority,
  kMaxAttempts,
  kIsPublic,
  kResumable,
  kGapTarget,
  kServices,
  kHealthPath,
  kMaxConnections,
  kColdStart,
  kColdRate,
  kEngine,
  kKeys,
  kHeaderBytes,
  kBodyBytes,
  kHeaderTimeout,
  kIdleTimeout,
};

/// A field of an entry of a configuration.
struct configuration_place {
  configuration_section section = configuration_section::kRoot;
  std::size_t index = 0;  // of the entry in its section; of no meaning for kRoot and kLimits
  std::string entry;      // its name
  configuration_field field = configuration_field::kEntry;
  auto operator<=>(const configuration_place&) const = default;
};

enum class review_kind : std::uint8_t { kError, kNeverMatches, kNoEffect, kContradiction };

struct review_finding {
  review_kind kind = review_kind::kError;
  configuration_place place;
  std::string message;  // with the value and what is allowed
  auto operator<=>(const review_finding&) const = default;
};

/// What is wrong with a configuration that could be decoded: entries that refer to nothing, that no
/// request can reach or that have no effect, and limits that contradict each other. In the order of
/// the entries.
std::vector<review_finding> ReviewConfiguration(const routing_content& content);

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_ROUTING_CONFIGURATION_REVIEW_H_
