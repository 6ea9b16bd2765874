#ifndef BERYLBARROW_PROCESS_ENTRY_ENTRY_CORE_H_
#define BERYLBARROW_PROCESS_ENTRY_ENTRY_CORE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "berylbarrow/process/core/core.h"
#include "berylbarrow/process/entry/key_routing.h"
#include "berylbarrow/process/membership/member_table.h"
#include "berylbarrow/process/settings/settings.h"
#include "berylbarrow/request/routing/retry_budget.h"
#include "berylbarrow/request/routing/routing_policy.h"
#include "berylbarrow/version/configuration/configuration_store.h"

namespace berylbarrow {

struct entry_core_options {
  process_identity identity;
  process_limits limits;
  std::vector<std::string> seeds;  // "IP:port" of peers that may have a document
  std::uint64_t seed = 0;          // of the random generator
  member_options members;
  retry_budget_options retries;                               // of each service
  duration view_wait = std::chrono::seconds(1);               // for a current view, then refused
  duration connect_wait = std::chrono::milliseconds(500);     // for the agent of a key
  duration reattach_wait = std::chrono::milliseconds(250);    // before a started answer moves on
  duration resend_interval = std::chrono::milliseconds(100);  // between dispatches after a gap
  duration sweep_interval = std::chrono::milliseconds(250);   // between checks for silent agents
  duration idle_link = std::chrono::seconds(10);      // connection made for a key, then unused
  duration forget_member = std::chrono::seconds(30);  // silence after which a peer is forgotten
  std::uint64_t acknowledge_bytes = 64 << 10;         // of an answer between acknowledgements
  std::size_t heartbeat_entries = 4;                  // other entries that get heartbeats
  std::size_t addresses = 3;                          // in an address response
  std::size_t max_attempts = 8;                       // agents tried for one request
  std::size_t max_keys = 4096;                        // keys remembered as refused or forwarded
  std::size_t max_members = 4096;                     // peers known
  std::size_t max_listed_requests = 100;              // in the state dump
};

/// All decisions of an entry process: addresses and grants for callers, admission, choice of the
/// agent, retries, resumption, and the relay of answers.
class entry_core final : public entry_decisions {
 public:
  /// `parser` must outlive the core.
  entry_core(const entry_core_options& options, const configuration_parser& parser,
             std::unique_ptr<routing_policy> policy, std::unique_ptr<key_routing> keys);
  ~entry_core() override;

  void Handle(const entry_input& input, const moment& at,
              std::vector<entry_output>& outputs) override;
  void Advance(const moment& at, std::vector<entry_output>& outputs) override;
  time_point NextDeadline() const override;
  nlohmann::json State() const override;

 private:
  class parts;
  std::unique_ptr<parts> parts_;
};

/// A core with power of two choices unless `policy` is given. `parser` must outlive it.
std::unique_ptr<entry_decisions> MakeEntryCore(const entry_core_options& options,
                                               const configuration_parser& parser,
                                               std::unique_ptr<routing_policy> policy = nullptr,
                                               std::unique_ptr<key_routing> keys = nullptr);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_ENTRY_ENTRY_CORE_H_
