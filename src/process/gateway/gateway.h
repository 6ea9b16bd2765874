#ifndef BERYLBARROW_SRC_PROCESS_GATEWAY_GATEWAY_H_
#define BERYLBARROW_SRC_PROCESS_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "berylbarrow/process/gateway/gateway.h"
#include "berylbarrow/process/membership/fleet_members.h"
#include "berylbarrow/process/membership/upstream_registry.h"
#include "connection/peer/heartbeat_socket.h"
#include "process/gateway/admission_gate.h"
#include "process/gateway/information_handler.h"
#include "process/gateway/relay_context.h"
#include "process/gateway/relayed_request.h"

namespace berylbarrow {

class gateway final : public request_handler, public platform_sink, public relay_host {
 public:
  gateway(const gateway_settings& settings, const gateway_platform& platform,
          const runtime_clock& clock);

  int Run();

  std::shared_ptr<served_request> OnRequest(http_head&& head, std::string&& body,
                                            answer_sink& sink) override;
  void OnRejectedRequest(unsigned status, std::string_view reason) override;

  void OnRouting(routing_content&& content) override;
  void OnEvacuatedDomains(const std::set<std::string>& domains) override;
  void OnConfigurationCurrent(time_point asked) override;
  void OnUpstreamList(const std::vector<upstream_record>& records) override;
  void OnUpstreamChanges(const std::vector<upstream_change>& changes) override;
  void OnStoreReachability(bool reachable, const std::string& reason) override;
  void OnUnreadableItem(const std::string& key, const std::string& reason) override;

  void OnPlaceFree(const std::string& service) override;
  void OnRelayWaits(relayed_request& request) override;
  void OnMisdirected() override;
  void OnRelayDone(queued_request_id id) override;

 private:
  void ArmTick();
  void Tick();
  void Beat(time_point now);
  void OnDatagram(std::string_view datagram);
  void HandleLostMembers(time_point now);
  void RefreshBoard(time_point now);
  void WaitForSignal();
  void WaitForReload();
  void BeginShutdown();
  void CheckShutdown(time_point now);
  bool IsReady(time_point now) const;
  duration ConfigurationAge(time_point now) const;
  http_answer AnswerDirectory(const http_head& head);
  http_answer AnswerReadiness(const http_head& head) const;
  http_answer AnswerMetrics(const http_head& head);
  std::string StateText();
  void Line(relayed_request& request, dispatch_obstacle obstacle, time_point now);
  void Pump(const std::string& service, time_point now);
  duration BusyRetryAfter();
  void RefuseHopeless(time_point now);
  void RefreshBudgets(time_point now);
  request_queue& LineOf(const std::string& service);

  const gateway_settings& settings_;
  const gateway_platform& platform_;
  const runtime_clock& clock_;
  boost::asio::io_context context_{1};
  boost::asio::steady_timer tick_{context_};
  boost::asio::signal_set signals_{context_, SIGTERM, SIGINT};
  boost::asio::signal_set reloads_{context_, SIGHUP};
  std::mt19937_64 random_;
  upstream_registry registry_;
  upstream_selector board_;
  crash_counter crashes_;
  metrics counts_;
  link_pool links_;
  std::map<std::string, retry_budget> budgets_;
  relay_context relay_;
  fleet_members members_;
  admission_gate gate_;
  std::shared_ptr<const routing_view> view_;
  std::set<std::string> evacuated_;
  time_point current_as_of_ = time_point::min();
  bool has_upstreams_ = false;
  bool source_reachable_ = true;
  std::map<queued_request_id, std::shared_ptr<relayed_request>> requests_;
  std::map<std::string, request_queue> lines_;
  std::set<std::string> pumps_;  // services with a pump that is posted
  queued_request_id next_id_ = 1;
  std::uint32_t most_gateways_ = 1;
  std::uint64_t board_revision_ = 0;
  std::uint64_t beat_sequence_ = 0;
  time_point next_beat_ = time_point::min();
  time_point next_check_ = time_point::min();
  time_point leaving_since_ = time_point::min();
  bool leaving_ = false;
  std::shared_ptr<heartbeat_socket> socket_;
  information_handler directory_handler_;
  information_handler readiness_handler_;
  information_handler metrics_handler_;
  http_server callers_;
  http_server readiness_;
  http_server directory_;
  std::unique_ptr<http_server> metrics_server_;
  std::unique_ptr<platform_feed> feed_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_GATEWAY_GATEWAY_H_
