#ifndef BERYLBARROW_VERSION_STORE_CONFIGURATION_LINEAGE_H_
#define BERYLBARROW_VERSION_STORE_CONFIGURATION_LINEAGE_H_

#include <cstdint>
#include <optional>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

/// How a version of the configuration that the store holds relates to the one in force.
enum class lineage_verdict : std::uint8_t {
  kAdopt,    // newer: to be put in force
  kInForce,  // the one in force
  kOlder,    // the store has not been restored: ignored
  kHeld,     // older, from a restored store: its writer is expected to write a newer one again
};

struct configuration_lineage_options {
  /// Time that the operator gets to write again what the store has lost. Until then no answer
  /// proves that the configuration in force is current.
  duration rewrite_time = std::chrono::seconds(2);
  /// A lower version that a restored store holds, without a failed read, for so long was put there
  /// on purpose.
  duration lower_version_delay = std::chrono::seconds(30);
  /// How long a version that another process names is waited for.
  duration named_version_lifetime = std::chrono::seconds(30);
};

/// Decides which version of the configuration is in force and whether an answer of the store proves
/// it to be current.
///
/// The version in force does not fall when the store is restored from a backup with an older one.
/// In that time the store is known to lack writes that it has acknowledged, so that its answers do
/// not prove that no key was taken away.
class configuration_lineage {
 public:
  explicit configuration_lineage(const configuration_lineage_options& options)
      : options_(options) {}

  /// The store holds this version.
  lineage_verdict OnStored(std::uint64_t version, time_point now);
  /// The store holds no configuration that can be read.
  void OnNothingStored() { held_.reset(); }
  /// The store has answered, without a change or after OnStored(). Returns whether the held version
  /// is now in force.
  bool OnConfirmed(time_point now);
  /// A read of the store failed.
  void OnReadFailed();
  /// The store was restored from a backup. What it holds is not known until the next OnStored().
  void OnStoreRestored(time_point now);
  /// Another process has, or had, this version in force. Returns whether it is newer than the one
  /// here, which is then known to be out of date.
  bool OnNamed(std::uint64_t version, time_point now);

  /// Whether an answer to a request of `requested_at` proves that the version in force is current.
  bool ProvesCurrent(time_point requested_at, time_point now) const;
  /// From when on requests prove it, after a restoration.
  std::optional<time_point> ProofFrom() const { return proof_from_; }
  std::uint64_t InForce() const { return in_force_.value_or(0); }

 private:
  struct held_version {
    std::uint64_t version = 0;
    std::optional<time_point> since;  // of the reads without failure that have shown it
  };

  configuration_lineage_options options_;
  std::optional<std::uint64_t> in_force_;
  std::optional<held_version> held_;
  std::optional<time_point> proof_from_;  // set by a restoration
  std::uint64_t named_ = 0;               // the highest version
  time_point named_until_ = time_point::min();
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_STORE_CONFIGURATION_LINEAGE_H_
