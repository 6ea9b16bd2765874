#ifndef BERYLBARROW_REQUEST_EXECUTION_KEY_POLICY_H_
#define BERYLBARROW_REQUEST_EXECUTION_KEY_POLICY_H_

#include <cstdint>
#include <string>

#include "berylbarrow/connection/wire/message.h"
#include "berylbarrow/request/execution/execution_table.h"
#include "berylbarrow/request/execution/grant_key.h"

namespace berylbarrow {

enum class key_verdict : std::uint8_t {
  kRun,
  kJoin,     // the record has the answer or will have it
  kRefuse,   // not run
  kUnknown,  // may have run
};

struct key_decision {
  key_verdict verdict = key_verdict::kRun;
  refusal_reason reason = refusal_reason::kKeyRefused;  // of kRefuse and kUnknown
  bool operator==(const key_decision&) const = default;
};

/// The grants that an agent accepts: those of its own run, from the oldest epoch whose records it
/// keeps to the current one.
struct grant_window {
  grant current;
  std::uint64_t oldest_epoch = 0;

  bool Accepts(const grant& permission) const;
};

/// Decides whether an operation may run at this agent now.
class key_policy {
 public:
  virtual ~key_policy() = default;

  /// `record` is the record that the dispatch belongs to, or null; `closed` is what the table says
  /// of dispatches without a record.
  virtual key_decision Decide(const dispatch& work, const execution_record* record,
                              closed_state closed, const grant_window& window) const = 0;
};

/// Runs a key only at the agent run and in the epochs its grant names, and only once.
class grant_key_policy final : public key_policy {
 public:
  key_decision Decide(const dispatch& work, const execution_record* record, closed_state closed,
                      const grant_window& window) const override;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_EXECUTION_KEY_POLICY_H_
