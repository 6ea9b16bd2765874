#ifndef TESTS_SUPPORT_FLEET_NETWORK_H_
#define TESTS_SUPPORT_FLEET_NETWORK_H_

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "support/fleet_processes.h"

namespace berylbarrow {

/// Connections and datagrams between the processes.
class fleet_network {
 public:
  fleet_network(fleet_context& context, fleet_processes& processes)
      : context_(context), processes_(processes) {}

  void Connect(const fleet_process& from, const peer_connect& request);
  void Disconnect(const fleet_process& from, const std::string& name);
  void Send(const fleet_process& from, const peer_send& message);
  void Send(const fleet_process& from, const heartbeat_send& message);

  /// The process has ended. Gracefully: what it sent still arrives.
  void OnStopped(const std::string& name, bool is_graceful);
  /// The other ends close the connections of a process that stays paused.
  void OnPaused(const std::string& name);

  // Faults.
  void SetExtraDelay(const std::string& name, duration most);  // zero: none
  void CloseLinks(const std::string& name);
  void SilenceLinks(const std::string& name);
  void SetBadDatagrams(bool is_bad) { has_bad_datagrams_ = is_bad; }
  void Partition(const std::set<std::string>& side);
  void Heal() { side_.clear(); }

  bool CanReach(const std::string& left, const std::string& right) const {
    return side_.contains(left) == side_.contains(right);
  }

 private:
  struct link_end {
    std::string name;
    std::uint64_t life = 0;
    bool is_open = true;
    time_point last_arrival;  // of a message at this end
  };
  struct link {
    std::array<link_end, 2> ends;  // the first one dialled
    std::string dialled_name;
    bool is_silent = false;
  };

  using wish = std::pair<std::string, std::string>;  // process and name it connects to

  void Dial(const wish& item, std::uint64_t life, std::uint64_t number);
  void Open(const wish& item, fleet_process& from, fleet_process& to);
  void CloseEnd(connection_id id, std::size_t end, duration delay);
  void Silence(connection_id id);
  duration Latency(const std::string& left, const std::string& right);

  fleet_context& context_;
  fleet_processes& processes_;
  std::map<wish, std::pair<std::string, std::uint64_t>> wishes_;  // address and number
  std::map<connection_id, link> links_;
  connection_id last_id_ = 0;
  std::uint64_t last_wish_ = 0;
  std::map<std::string, duration> extra_;
  bool has_bad_datagrams_ = false;
  std::set<std::string> side_;
};

}  // namespace berylbarrow

#endif  // TESTS_SUPPORT_FLEET_NETWORK_H_
