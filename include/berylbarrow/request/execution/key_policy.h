#ifndef BERYLBARROW_REQUEST_EXECUTION_KEY_POLICY_H_
#define BERYLBARROW_REQUEST_EXECUTION_KEY_POLICY_H_

#include <cstdint>
#include <string>

#include "berylbarrow/connection/wire/message.h"
#include "berylbarrow/request/execution/execution_table.h"
#include "berylbarrow/request/execution/grant_key.h"

namespace berylbarrow {

/// What an agent does with a dispatch.
enum class key_verdict : std::uint8_t {
  kRun,
  kJoin,     // attach to the existing record, which has the answer or will have it
  kRefuse,   // refuse it: the operation has not run
  kUnknown,  // refuse it: the operation may have run
};

struct key_decision {
  key_verdict verdict = key_verdict::kRun;
  refusal_reason reason = refusal_reason::kKeyRefused;  // valid for kRefuse and kUnknown
  bool operator==(const key_decision&) const = default;
};

/// The grants that an agent accepts: those of its current incarnation, from the oldest epoch whose
/// records it keeps to the current epoch.
struct grant_window {
  grant current;
  std::uint64_t oldest_epoch = 0;

  bool Accepts(const grant& permission) const;
};

/// Decides whether a dispatched operation may run at this agent.
class key_policy {
 public:
  virtual ~key_policy() = default;

  /// `record` is the record that the dispatch belongs to, or null; `closed` is the state that
  /// execution_table::ClosedState returned for it.
  virtual key_decision Decide(const dispatch& work, const execution_record* record,
                              closed_state closed, const grant_window& window) const = 0;
};

/// Runs each key at most once, and only at the agent incarnation that its grant names, in an epoch
/// that the agent still accepts.
class grant_key_policy final : public key_policy {
 public:
  key_decision Decide(const dispatch& work, const execution_record* record, closed_state closed,
                      const grant_window& window) const override;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_EXECUTION_KEY_POLICY_H_
