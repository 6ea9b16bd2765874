#ifndef TESTS_SUPPORT_FLEET_PLATFORM_H_
#define TESTS_SUPPORT_FLEET_PLATFORM_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/fleet_processes.h"

namespace berylbarrow {

/// The configuration service, its operators, and the instance list.
class fleet_platform {
 public:
  enum class condition : std::uint8_t { kUp, kDown, kStale, kOlder };

  fleet_platform(fleet_context& context, fleet_processes& processes)
      : context_(context), processes_(processes) {}

  void Publish(const fleet_state& wanted);
  void PublishInvalid();
  void SetCondition(condition next);
  /// Processes that cannot reach the service.
  void SetCutOff(std::set<std::string> names) { cut_off_ = std::move(names); }
  void MarkLeaving(const std::string& name, duration lag);

  /// A new run reads the list.
  void OnStarted(const std::string& name) { SendInstances(name, duration::zero()); }
  void OnWatch(fleet_process& process, const configuration_watch& watch);
  /// Highest valid revision that the process can read at present.
  revision OfferedTo(const std::string& name) const;
  revision LastValid() const;

  /// A process has begun a step of the plan of this revision.
  void OnStep(revision number, std::uint32_t step);
  /// The list no longer shows the instance.
  void MarkGone(const std::string& name);

 private:
  struct document {
    revision number = 0;
    std::string text;
    bool is_valid = true;
    fleet_state wanted;
    std::uint32_t last_step = 0;  // highest that a process has begun
  };

  void Add(const std::string& text, bool is_valid, const fleet_state& wanted);
  const document* Visible() const;
  bool IsReachableFrom(const std::string& name) const;
  void Tick(const std::string& name, std::uint64_t life, std::uint64_t number);
  void Answer(fleet_process& process, const configuration_watch& watch);
  instances_received Instances() const;
  void SendInstances(const std::string& name, duration lag);

  fleet_context& context_;
  fleet_processes& processes_;
  std::vector<document> documents_;
  condition condition_ = condition::kUp;
  std::size_t frozen_ = 0;  // documents known while stale
  std::set<std::string> cut_off_;
  std::set<std::string> leaving_;
  std::set<std::string> gone_;
  std::map<std::string, std::size_t> listed_;  // leaving instances in the last list a process got
};

}  // namespace berylbarrow

#endif  // TESTS_SUPPORT_FLEET_PLATFORM_H_
