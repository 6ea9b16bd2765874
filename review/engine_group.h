#ifndef BERYLBARROW_REVIEW_ENGINE_GROUP_H_
#define BERYLBARROW_REVIEW_ENGINE_GROUP_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "../tests/support/loopback_stream.h"
#include "deployment.h"

namespace berylbarrow::review {

struct engine_group_options {
  std::uint32_t ranks = 8;
  std::uint32_t sets = 6;
  std::uint32_t experts = 64;
  std::uint32_t placements = 11;
  std::uint32_t spare = 4;
  std::chrono::milliseconds pass{20};
  /// Of one new expert.
  std::chrono::milliseconds copy{148};
};

/// Orders of one kind to one rank that get no answer and are carried out late.
struct late_orders {
  std::string op;
  std::uint32_t rank = 0;
  std::chrono::milliseconds late{0};
};

/// Model replicas that are the ranks of one group: streams, reports, counts and orders as on the
/// users' pages. Each rank has an address of its own. All ranks execute each pass together; an idle
/// group makes no passes.
class engine_group {
 public:
  engine_group(const engine_group_options& options, record_file& record);
  ~engine_group();
  engine_group(const engine_group&) = delete;
  engine_group& operator=(const engine_group&) = delete;

  const std::string& Address(std::uint32_t rank) const {
    return ranks_.at(rank)->server->Address();
  }
  std::string Id(std::uint32_t rank) const { return "i-rank-" + std::to_string(rank); }
  std::uint64_t Born() const { return born_; }

  /// From now on such orders are carried out late; nothing: no more.
  void SetLateOrders(const std::optional<late_orders>& late);
  /// Accepted or late orders of this kind so far.
  std::size_t OrderCount(const std::string& op, std::uint32_t rank);
  /// Passes that began while two ranks had different maps.
  std::uint64_t MixedPasses();
  std::uint64_t Passes();
  bool IsIdle();
  /// Whether the group waits before a pass.
  bool IsHeld();
  std::string StateText();

 private:
  using json = nlohmann::json;
  using steady_clock = std::chrono::steady_clock;
  using expert_lists = std::vector<std::vector<std::uint32_t>>;             // by set
  using expert_map = std::vector<std::vector<std::vector<std::uint32_t>>>;  // by set and rank

  struct map_version {
    std::uint64_t version = 0;
    std::uint64_t step = 0;
  };
  struct stream_work {
    std::uint32_t rank = 0;
    std::uint64_t produced = 0;  // events so far, with those before the resumption
    std::uint64_t total = 0;
  };
  struct rank_state {
    std::unique_ptr<loopback_server> server;
    std::vector<std::uint64_t> counts;
    map_version mapping;
    expert_map mapping_content;
    std::optional<std::uint64_t> prepared;
    expert_map prepared_content;
    std::optional<steady_clock::time_point> copied_at;  // while it copies
    std::uint64_t highest_version = 0;
    std::optional<map_version> armed;
    std::optional<std::uint64_t> held;
    std::uint64_t accepted_orders = 0;
  };
  struct postponed_order {
    steady_clock::time_point due;
    std::uint32_t rank = 0;
    json body;
  };

  void Serve(std::uint32_t rank, loopback_stream& stream);
  bool ServeStream(std::uint32_t rank, loopback_stream& stream, const http_head& head);
  json Report(std::uint32_t rank);
  json Counts(std::uint32_t rank);
  json Lists(std::uint32_t rank);
  /// Returns nothing if the order gets no answer.
  std::optional<unsigned> TakeOrder(std::uint32_t rank, const std::string& text);
  unsigned CarryOut(std::uint32_t rank, const json& order);
  unsigned Prepare(rank_state& state, std::uint32_t rank, const json& order);
  static unsigned Arm(rank_state& state, const json& order, std::uint64_t step);
  void FinishCopies();
  void RunPasses();
  void BeginPass();
  void RunPostponed();
  void CountExperts(std::uint32_t rank);

  engine_group_options options_;
  record_file& record_;
  std::uint64_t born_;
  std::mutex mutex_;
  std::condition_variable produced_;
  std::vector<std::unique_ptr<rank_state>> ranks_;
  std::list<stream_work> streams_;
  std::uint64_t step_ = 0;
  std::uint64_t mixed_passes_ = 0;
  std::uint64_t draws_ = 0;
  std::map<std::pair<std::string, std::uint32_t>, std::size_t> order_counts_;
  std::optional<late_orders> late_;
  std::vector<postponed_order> postponed_;
  std::atomic<bool> stopping_{false};
  std::thread passes_;
};

}  // namespace berylbarrow::review

#endif  // BERYLBARROW_REVIEW_ENGINE_GROUP_H_
