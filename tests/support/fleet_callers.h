#ifndef TESTS_SUPPORT_FLEET_CALLERS_H_
#define TESTS_SUPPORT_FLEET_CALLERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "support/fleet_processes.h"

namespace berylbarrow {

/// Callers that keep the caller contract: keys from grants, repetitions with the same key and a
/// higher attempt after giving up, a new key after "not run".
class fleet_callers {
 public:
  fleet_callers(fleet_context& context, fleet_processes& processes, std::size_t count);

  /// No new operation begins after this time.
  void StopAt(time_point end) { end_ = end; }
  /// The next drafts, up to `count`, crash every upstream that runs them.
  void Poison(std::size_t count) { poison_ += count; }

  void OnReply(const fleet_process& entry, const caller_reply& reply);
  void OnHead(const caller_head& head);
  void OnPart(const caller_part& part);
  void OnEnd(const caller_end& end);
  /// Connections to the entry break.
  void OnEntryStopped(const std::string& entry);
  void OnEntrySlow(const std::string& entry);
  std::uint32_t OpenAt(const std::string& entry) const;

 private:
  struct caller {
    std::uint64_t operation = 0;
    work_kind kind = work_kind::kDraft;
    bool is_poison = false;
    std::uint32_t tries = 0;
    std::string key;
    std::uint32_t attempt = 1;
    std::uint64_t open = 0;  // number of the request or query that it waits for
    bool is_query = false;
    std::vector<std::string> addresses;  // kept answer, best first
    time_point addresses_until;
    std::string grant;
    std::string last_entry;
  };

  void Begin(std::size_t number);
  void Next(std::size_t number);
  void Query(std::size_t number);
  void Send(std::size_t number, fleet_process& entry);
  void Repeat(std::size_t number, request_end end);
  void GiveUp(std::uint64_t request);
  void End(std::uint64_t request, request_end end);
  void OnAddress(std::size_t number, const caller_reply& reply);
  request_record* Find(std::uint64_t request);
  fleet_process* ChooseEntry(const caller& item);

  fleet_context& context_;
  fleet_processes& processes_;
  std::vector<caller> callers_;
  std::map<std::uint64_t, std::size_t> open_;       // number of request or query to caller
  std::map<std::uint64_t, std::size_t> positions_;  // of requests in the record
  time_point end_ = time_point::max();
  std::size_t poison_ = 0;
  std::uint64_t last_number_ = 0;
  std::uint64_t last_operation_ = 0;
};

}  // namespace berylbarrow

#endif  // TESTS_SUPPORT_FLEET_CALLERS_H_
