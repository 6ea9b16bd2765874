#ifndef BERYLBARROW_SRC_PROCESS_GATEWAY_GATEWAY_H_
#define BERYLBARROW_SRC_PROCESS_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "berylbarrow/process/gateway/gateway.h"
#include "berylbarrow/process/membership/domain_digest.h"
#include "berylbarrow/process/membership/fleet_members.h"
#include "berylbarrow/process/membership/upstream_registry.h"
#include "berylbarrow/request/admission/shutdown_window.h"
#include "berylbarrow/request/routing/fleet_share.h"
#include "berylbarrow/request/routing/upstream_limits.h"
#include "berylbarrow/version/store/freshness_exchange.h"
#include "connection/peer/heartbeat_socket.h"
#include "process/gateway/admission_gate.h"
#include "process/gateway/connection_limits.h"
#include "process/gateway/information_handler.h"
#include "process/gateway/relay_context.h"
#include "process/gateway/relayed_request.h"

namespace berylbarrow {

/// Retry-After of requests that a gateway refuses because it shuts down. Other gateways can take
/// them at once.
constexpr duration kShutdownRetryAfter = std::chrono::milliseconds(50);

/// Accepts requests from callers and relays them to upstreams. Runs on one thread.
class gateway final : public request_handler, public platform_sink, public relay_listener {
 public:
  gateway(const gateway_settings& settings, const gateway_platform& platform,
          const runtime_clock& clock);

  /// Returns the exit code, after the shutdown.
  int Run();

  std::shared_ptr<served_request> OnRequest(http_head&& head, std::string&& body,
                                            answer_sink& sink) override;
  void OnRejectedRequest(unsigned status, std::string_view reason) override;
  void OnClosedForOthers(std::string_view reason) override;

  void OnRouting(routing_content&& content) override;
  void OnEvacuatedDomains(const std::set<std::string>& domains) override;
  void OnConfigurationCurrent(time_point requested_at) override;
  void OnUpstreamList(const std::vector<upstream_record>& records) override;
  void OnUpstreamChanges(const std::vector<upstream_change>& changes) override;
  void OnStoreReachability(bool reachable, const std::string& reason) override;
  void OnStoreEvent(const store_event& event) override;
  void OnUnreadableItem(const std::string& key, const std::string& reason) override;

  void OnCapacityFreed(const std::string& service) override;
  void OnRequeueNeeded(relayed_request& request) override;
  void OnMisdirectedAttempt() override;
  bool IsTrialOwner() const override;
  void OnAnswerHead(const std::string& upstream_id, const reply_facts& facts,
                    time_point sent_at) override;
  void OnRequestDone(queued_request_id id) override;

 private:
  void ScheduleTick();
  void Tick();
  /// Sends this gateway's state and load to other processes of the fleet.
  void SendHeartbeat(time_point now);
  fleet_beat MakeHeartbeat(time_point now);
  /// Sends what is known of this gateway's failure domain to gateways of other ones.
  void SendDomainDigest(const std::vector<std::string>& targets, time_point now);
  void OnDomainDigest(const domain_digest& digest, time_point now);
  void ExpireDomainLoads(time_point now);
  /// Replaces the load that another gateway reports, unless a digest includes it.
  void OnGatewayLoad(const fleet_beat& heartbeat, time_point now);
  void SendFreshness(time_point now);
  void OnFreshness(const freshness_report& report, time_point now);
  /// Chooses the gateways that get freshness reports, when members have come or gone.
  void UpdateFreshnessTargets(time_point now);
  bool IsKeyAgeBounded() const;
  /// Ends the open requests that the crash analysis has come to refuse.
  void EndRefusedRequests(time_point now);
  /// Tells other gateways of crashes: all of them if there is news, otherwise a few.
  void SendCrashDigest(time_point now);
  void OnDatagram(std::string_view datagram);
  void OnHeartbeat(const fleet_beat& heartbeat, time_point now);
  void OnEngineReport(const engine_report& report, time_point now);
  /// Tells all gateways which prompt parts were answered for the first time.
  void SendFirstAnswers(time_point now);
  /// Tells a gateway that has started what is known of crashes, limits and the store.
  void SendKnowledge(const boost::asio::ip::udp::endpoint& to, time_point now);
  /// Tells other gateways of the limits that upstreams name, like SendCrashDigest().
  void SendLimitDigest(time_point now);
  /// Sends a datagram to a few random ones of the targets.
  void SendToSome(const std::string& datagram, const std::vector<std::string>& targets);
  /// Sends a datagram to all live gateways, or to a few random ones.
  void SendToGateways(const std::string& datagram, bool to_all, time_point now);
  void ApplyLimit(std::uint32_t upstream, time_point now);
  /// Recomputes this gateway's shares after the live gateways may have changed.
  void UpdateShares(time_point now);
  void HandleLostMembers(time_point now);
  /// Passes the upstreams to the selector if the registry has changed.
  void UpdateSelector(time_point now);
  void WaitForShutdownSignal();
  void WaitForReloadSignal();
  void BeginShutdown();
  void CheckShutdown(time_point now);
  /// A copy, because requests may end while it is iterated.
  std::vector<std::shared_ptr<relayed_request>> OpenRequests() const;
  /// Ends the requests for which the process has no time left.
  void EndOpenRequests(time_point now);
  bool IsReady(time_point now) const;
  /// Time since the configuration was last known to be current; the maximum if it never was.
  duration ConfigurationAge(time_point now) const;
  http_answer AnswerAddressQuery(const http_head& head);
  http_answer AnswerReadinessProbe(const http_head& head) const;
  http_answer AnswerMetrics(const http_head& head);
  std::string StateJson();
  /// Queues a request that could not be dispatched, or refuses it if it cannot wait.
  void Enqueue(relayed_request& request, dispatch_obstacle obstacle, time_point now);
  /// Dispatches queued requests of the service until one finds no upstream. Skips requests that
  /// wait for the retry budget.
  void DispatchQueued(const std::string& service, time_point now);
  duration BusyRetryAfter();
  /// Queues a request that its service has no room for, or refuses it at once if no place can be
  /// expected in time.
  void WaitForRoom(relayed_request& request, time_point now);
  /// Keeps an admission for each service whose streams have different priorities.
  void UpdateAdmissions(time_point now);
  void LogRooms(time_point now);
  /// Time until the rate limits of the upstreams allow a request that is queued now.
  duration ExpectedLimitedWait(const relayed_request& request, time_point now);
  /// Refuses queued requests that can no longer be served in time.
  void RefuseExpired(time_point now);
  /// Recomputes this gateway's share of the retries that the fleet is allowed.
  void UpdateRetryBudgets(time_point now);
  request_queue& QueueOf(const std::string& service);

  const gateway_settings& settings_;
  const gateway_platform& platform_;
  const runtime_clock& clock_;
  boost::asio::io_context context_{1};
  boost::asio::steady_timer tick_timer_{context_};
  boost::asio::signal_set shutdown_signals_{context_, SIGTERM, SIGINT};
  boost::asio::signal_set reload_signals_{context_, SIGHUP};
  std::mt19937_64 random_;
  std::uint64_t incarnation_;
  upstream_registry registry_;
  upstream_selector selector_;
  crash_analysis crashes_;
  upstream_limits limits_;
  fleet_share share_;
  metrics metrics_;
  const connection_limits connection_limits_;
  arrival_budget arrival_budget_;
  link_pool upstream_links_;
  std::map<std::string, start_delay> start_delays_;     // by service
  std::map<std::string, retry_budget> retry_budgets_;   // by service
  std::map<std::string, stream_admission> admissions_;  // by service
  relay_context relay_context_;
  fleet_members members_;
  admission_gate admission_gate_;
  std::shared_ptr<const routing_view> routing_view_;
  std::set<std::string> evacuated_domains_;
  time_point configuration_current_at_ = time_point::min();  // min: never known to be current
  freshness_exchange freshness_;
  std::vector<std::string> freshness_targets_;  // peers addresses
  bool has_upstream_list_ = false;
  bool store_reachable_ = true;
  std::map<queued_request_id, std::shared_ptr<relayed_request>> requests_;
  std::map<std::string, request_queue> queues_;  // by service
  std::set<std::string> scheduled_dispatches_;   // services with a posted DispatchQueued() call
  queued_request_id next_request_id_ = 1;
  std::uint64_t selector_revision_ = 0;  // of the registry, as last passed to the selector
  std::uint64_t heartbeat_sequence_ = 0;
  struct domain_load {
    time_point received_at;
    std::uint32_t parts = 0;
  };
  std::map<std::string, domain_load> domain_loads_;  // last digests, by failure domain
  time_point next_heartbeat_ = time_point::min();
  time_point next_companion_digest_ = time_point::min();
  int asked_companions_ = 0;  // for what they know of crashes
  time_point next_crash_digest_ = time_point::min();
  time_point next_limit_digest_ = time_point::min();
  // The next digest goes to all gateways once more, in case one was lost.
  bool repeat_crash_news_ = false;
  std::string last_first_answers_;      // datagram that is sent once more
  std::uint64_t crashes_revision_ = 0;  // for which EndRefusedRequests() was done
  bool repeat_limit_news_ = false;
  time_point next_periodic_check_ = time_point::min();
  time_point next_room_log_ = time_point::min();
  time_point last_tick_;  // start of the process before the first one
  time_point previous_tick_;
  std::optional<shutdown_window> shutdown_;  // set when the process has been told to end
  std::shared_ptr<heartbeat_socket> heartbeat_socket_;
  information_handler directory_handler_;
  information_handler readiness_handler_;
  information_handler metrics_handler_;
  http_server caller_server_;
  http_server readiness_server_;
  http_server directory_server_;
  std::unique_ptr<http_server> metrics_server_;
  std::unique_ptr<platform_feed> feed_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_GATEWAY_GATEWAY_H_
