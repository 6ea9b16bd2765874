#include "process/gateway/gateway.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <csignal>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "berylbarrow/process/runtime/allocator.h"
#include "berylbarrow/process/telemetry/log.h"
#include "connection/http/endpoint.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

// Time-outs, queues and heartbeats need no finer resolution.
constexpr duration kTickInterval = milliseconds(20);
constexpr duration kHeartbeatInterval = milliseconds(250);
constexpr duration kPeriodicCheckInterval = milliseconds(200);
// Characters of a state in the log; all of it is in /state.
constexpr std::size_t kMaxLoggedState = 400;
// Gateways that a crash digest without news goes to, and companions that any goes to.
constexpr std::size_t kDigestTargets = 2;
constexpr duration kCompanionDigestInterval = std::chrono::seconds(1);
// Gateways of which a new one gets the latest answers, on average.
constexpr double kLatestAnswerSenders = 4;
// Companions that a gateway asks for what they know of crashes, the first that it meets.
constexpr int kMaxAskedCompanions = 8;
// Callers use an address answer for up to three times its lifetime.
constexpr int kAddressLifetimesInUse = 3;
// Part of the shutdown grace that is reserved for the last answers and the exit of the process.
constexpr duration kExitMargin = milliseconds(500);
// Part of kExitMargin that is reserved for the exit. A processor quota may stop the process for
// 100 ms.
constexpr duration kKillMargin = milliseconds(150);
// Share of the fleet's retry budget that is used. The rest is a reserve, because gateways may not
// know of each other.
constexpr double kUsedBudgetShare = 0.8;

fleet_member MakeSelf(const gateway_settings& settings, std::uint64_t incarnation) {
  return {.name = settings.name,
          .role = member_role::kGateway,
          .domain = settings.domain,
          .incarnation = incarnation,
          .peers_address = settings.peers_address,
          .callers_address = settings.callers_address};
}

/// A record lapses after three heartbeats without renewal. One of them may have passed before the
/// instance list went away.
duration ShortestLapse(const gateway_bounds& bounds) { return 2 * bounds.upstream_heartbeat; }

}  // namespace

gateway::gateway(const gateway_settings& settings, const gateway_platform& platform,
                 const runtime_clock& clock)
    : settings_(settings),
      platform_(platform),
      clock_(clock),
      random_(std::random_device{}()),
      incarnation_(random_()),
      registry_({.shortest_lapse = ShortestLapse(settings.bounds)}),
      selector_({}),
      crashes_({.observer = incarnation_}),
      share_({}),
      connection_limits_(ConnectionLimitsFor(settings, SystemDescriptors())),
      arrival_budget_(ArrivalBudgetFor(settings.memory_mb)),
      upstream_links_(context_, {.max_held_answer_bytes = MaxHeldAnswerBytes(settings.memory_mb)},
                      clock),
      relay_context_{.settings = settings,
                     .dialect = platform.exchange,
                     .clock = clock,
                     .selector = selector_,
                     .links = upstream_links_,
                     .crashes = crashes_,
                     .counts = metrics_,
                     .random_engine = random_,
                     .start_delays = start_delays_,
                     .retry_budgets = retry_budgets_,
                     .admissions = admissions_,
                     .share = share_},
      members_({.seeds = settings.seeds}, MakeSelf(settings, incarnation_)),
      admission_gate_({.strict_keys = settings.bounds.strict_keys,
                       .key_lifetime = settings.bounds.key_lifetime}),
      freshness_({}, {.name = MemberHash(settings.name), .incarnation = incarnation_}),
      directory_handler_([this](const http_head& head) { return AnswerAddressQuery(head); }),
      readiness_handler_([this](const http_head& head) { return AnswerReadinessProbe(head); }),
      metrics_handler_([this](const http_head& head) { return AnswerMetrics(head); }),
      caller_server_(context_, settings.callers_address,
                     {.max_connections = connection_limits_.callers}, clock, *this,
                     &arrival_budget_),
      readiness_server_(context_, settings.readiness_address,
                        InformationServerOptions(connection_limits_.readiness), clock,
                        readiness_handler_, &arrival_budget_),
      directory_server_(context_, settings.directory_address,
                        InformationServerOptions(connection_limits_.directory), clock,
                        directory_handler_, &arrival_budget_) {
  if (!settings.metrics_address.empty()) {
    metrics_server_ = std::make_unique<http_server>(
        context_, settings.metrics_address, InformationServerOptions(connection_limits_.metrics),
        clock, metrics_handler_, &arrival_budget_);
  }
  heartbeat_socket_ = std::make_shared<heartbeat_socket>(
      context_, [this](std::string_view datagram, const boost::asio::ip::udp::endpoint& /*from*/) {
        OnDatagram(datagram);
      });
  if (const auto error = heartbeat_socket_->Bind(ParseUdpEndpoint(settings.peers_address))) {
    throw std::runtime_error("cannot bind the peers address " + settings.peers_address + ": " +
                             error.message());
  }
  feed_ = platform.make_feed(context_, *this);
}

int gateway::Run() {
  logger::Event(log_level::kInfo, "process", "process_started",
                {{"role", "gateway"},
                 {"version", BERYLBARROW_VERSION},
                 {"incarnation", std::to_string(members_.Self().incarnation)},
                 {"callers", settings_.callers_address},
                 {"peers", settings_.peers_address}});
  heartbeat_socket_->Start();
  feed_->Start();
  WaitForShutdownSignal();
  last_tick_ = clock_.Now();
  Tick();
  context_.run();
  for (const auto& [id, request] : requests_) request->LogCutOff();
  logger::Event(log_level::kInfo, "process", "process_finished",
                {{"open_requests", std::to_string(requests_.size())},
                 {"shutdown_ms", MillisecondsText(clock_.Now() - shutdown_->SignalledAt())}});
  logger::Flush();
  return 0;
}

void gateway::ScheduleTick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

void gateway::Tick() {
  const time_point now = clock_.Now();
  previous_tick_ = std::exchange(last_tick_, now);
  feed_->Advance(now);
  registry_.Advance(now);
  UpdateSelector(now);
  upstream_links_.CheckTimeouts(now);
  for (const auto& request : OpenRequests()) request->CheckTimeouts(now);
  EndRefusedRequests(now);
  RefuseExpired(now);
  for (auto& [service, queue] : queues_) {
    if (queue.Size() > 0) DispatchQueued(service, now);
  }
  if (now >= next_heartbeat_) SendHeartbeat(now);
  if (crashes_.HasNews() || now >= next_crash_digest_) SendCrashDigest(now);
  if (limits_.HasNews() || now >= next_limit_digest_) SendLimitDigest(now);
  if (now >= next_periodic_check_) {
    next_periodic_check_ = now + kPeriodicCheckInterval;
    caller_server_.CheckTimeouts(now);
    readiness_server_.CheckTimeouts(now);
    directory_server_.CheckTimeouts(now);
    HandleLostMembers(now);
    UpdateRetryBudgets(now);
    crashes_.Expire(now);
  }
  if (!admissions_.empty() && now >= next_room_log_) LogRooms(now);
  CheckShutdown(now);
  ScheduleTick();
}

fleet_beat gateway::MakeHeartbeat(time_point now) {
  members_.Self().ready = IsReady(now);
  fleet_beat heartbeat{
      .self = members_.Self(), .sequence = ++heartbeat_sequence_, .hints = members_.RandomHints()};
  for (const auto& [upstream, count] : selector_.LocalLoad()) {
    heartbeat.in_flight.push_back({.upstream = upstream, .in_flight = count});
  }
  return heartbeat;
}

void gateway::SendHeartbeat(time_point now) {
  next_heartbeat_ = now + kHeartbeatInterval;
  fleet_beat heartbeat = MakeHeartbeat(now);
  const std::string datagram = EncodeBeat(heartbeat);
  const beat_targets targets = members_.Targets(now);
  if (!targets.unknown.empty()) {
    heartbeat.wants_answer = true;
    const std::string question = EncodeBeat(heartbeat);
    for (const std::string& target : targets.unknown) {
      heartbeat_socket_->Send(question, ParseUdpEndpoint(target));
    }
  }
  for (const auto* part : {&targets.direct, &targets.remote}) {
    for (const std::string& target : *part) {
      heartbeat_socket_->Send(datagram, ParseUdpEndpoint(target));
    }
  }
  if (!targets.companions.empty()) {
    const std::string for_companions = EncodeBeat({.self = members_.Self(),
                                                   .sequence = ++heartbeat_sequence_,
                                                   .hints = members_.HintsForCompanions()});
    for (const std::string& target : targets.companions) {
      heartbeat_socket_->Send(for_companions, ParseUdpEndpoint(target));
    }
  }
  SendDomainDigest(targets.remote, now);
  SendFreshness(now);
  SendFirstAnswers(now);
}

void gateway::EndRefusedRequests(time_point now) {
  if (crashes_.Revision() == crashes_revision_) return;
  crashes_revision_ = crashes_.Revision();
  logger::Event(log_level::kWarning, "fleet", "crash_suspects",
                {{"observations", std::to_string(crashes_.ObservationCount())},
                 {"suspects", crashes_.State(now).dump().substr(0, kMaxLoggedState)}});
  for (const auto& request : OpenRequests()) request->EndIfRefused(now);
}

void gateway::SendToSome(const std::string& datagram, const std::vector<std::string>& targets) {
  std::vector<std::string> some;
  std::sample(targets.begin(), targets.end(), std::back_inserter(some), kDigestTargets, random_);
  for (const std::string& target : some) {
    heartbeat_socket_->Send(datagram, ParseUdpEndpoint(target));
  }
}

void gateway::SendToGateways(const std::string& datagram, bool to_all, time_point now) {
  const std::vector<std::string> targets = members_.GatewayAddresses(now);
  if (!to_all) return SendToSome(datagram, targets);
  for (const std::string& target : targets) {
    heartbeat_socket_->Send(datagram, ParseUdpEndpoint(target));
  }
}

void gateway::SendCrashDigest(time_point now) {
  next_crash_digest_ = now + kHeartbeatInterval;
  if (!crashes_.HasObservations()) return;
  const bool has_news = crashes_.HasNews();
  const bool was_news = std::exchange(repeat_crash_news_, has_news);
  const bool to_all = has_news || was_news;
  const std::string datagram = EncodeCrashDigest(crashes_.MakeDigest(now));
  SendToGateways(datagram, to_all, now);
  if (!to_all && now < next_companion_digest_) return;
  next_companion_digest_ = now + kCompanionDigestInterval;
  SendToSome(datagram, members_.CompanionAddresses(now));
}

void gateway::SendFirstAnswers(time_point now) {
  const answer_digest digest = crashes_.TakeFirstAnswers(now);
  const std::string datagram = digest.answers.empty() ? "" : EncodeAnswerDigest(digest);
  for (const std::string& each : {std::exchange(last_first_answers_, datagram), datagram}) {
    if (!each.empty()) SendToGateways(each, true, now);
  }
}

void gateway::SendKnowledge(const boost::asio::ip::udp::endpoint& to, time_point now) {
  if (crashes_.HasObservations()) {
    heartbeat_socket_->Send(EncodeCrashDigest(crashes_.MakeDigest(now)), to);
  }
  if (relay_context_.UniformRandom() * share_.GatewayCount() < kLatestAnswerSenders) {
    for (const answer_digest& digest : crashes_.LatestAnswers(now)) {
      heartbeat_socket_->Send(EncodeAnswerDigest(digest), to);
    }
  }
  if (!limits_.IsEmpty()) {
    heartbeat_socket_->Send(EncodeLimitDigest(limits_.MakeDigest(now)), to);
  }
  // A gateway that starts after a restoration of the store may read an older configuration. This
  // one may not know of the restoration yet, so the era does not matter.
  const store_view view = feed_->View();
  if (view.version > 0) heartbeat_socket_->Send(EncodeStoreView(view), to);
}

void gateway::SendLimitDigest(time_point now) {
  next_limit_digest_ = now + kHeartbeatInterval;
  if (limits_.IsEmpty()) return;
  const bool has_news = limits_.HasNews();
  const bool was_news = std::exchange(repeat_limit_news_, has_news);
  SendToGateways(EncodeLimitDigest(limits_.MakeDigest(now)), has_news || was_news, now);
}

void gateway::ApplyLimit(std::uint32_t upstream, time_point now) {
  const auto limit = limits_.LimitOf(upstream);
  selector_.SetRateLimits(limits_.Limits(), now);
  logger::Event(log_level::kWarning, "fleet", "upstream_limit",
                {{"upstream_hash", std::to_string(upstream)},
                 {"requests_per_s", limit ? std::to_string(*limit) : "none"},
                 {"gateways", std::to_string(share_.GatewayCount())},
                 {"own_per_s", limit ? std::to_string(share_.RateOf(upstream, *limit, now)) : ""}});
}

void gateway::UpdateShares(time_point now) {
  share_.SetGateways(settings_.name, members_.GatewayNames(now), now);
  selector_.UpdateRates(share_, now);
  near_gateways gateways{.domain = settings_.domain, .self = MemberHash(settings_.name)};
  for (const member_sighting& other : members_.Sightings(now)) {
    gateways.others.push_back(other.name);
  }
  std::sort(gateways.others.begin(), gateways.others.end());
  if (!selector_.SetNearGateways(gateways) || selector_.HomeRankCount() == 0) return;
  logger::Event(log_level::kInfo, "fleet", "ranks_dealt",
                {{"gateways", std::to_string(gateways.others.size() + 1)},
                 {"home_ranks", std::to_string(selector_.HomeRankCount())}});
}

void gateway::OnDatagram(std::string_view datagram) {
  const time_point now = clock_.Now();
  if (const auto heartbeat = DecodeBeat(datagram)) {
    OnHeartbeat(*heartbeat, now);
  } else if (const auto digest = DecodeCrashDigest(datagram)) {
    crashes_.Merge(*digest, now);
    EndRefusedRequests(now);
  } else if (const auto answers = DecodeAnswerDigest(datagram)) {
    crashes_.Merge(*answers, now);
  } else if (const auto digest_of_domain = DecodeDomainDigest(datagram)) {
    OnDomainDigest(*digest_of_domain, now);
  } else if (const auto limits = DecodeLimitDigest(datagram)) {
    for (const std::uint32_t upstream : limits_.Merge(*limits, now)) ApplyLimit(upstream, now);
  } else if (const auto view = DecodeStoreView(datagram)) {
    feed_->OnPeerView(*view);
  } else if (const auto freshness = DecodeFreshnessReport(datagram)) {
    OnFreshness(*freshness, now);
  }
}

void gateway::OnHeartbeat(const fleet_beat& heartbeat, time_point now) {
  const bool is_gateway = heartbeat.self.role == member_role::kGateway;
  if (members_.OnBeat(heartbeat, now)) {
    logger::Event(log_level::kInfo, "fleet", "member_found",
                  {{"name", heartbeat.self.name}, {"failure_domain", heartbeat.self.domain}});
    UpdateShares(now);
    UpdateFreshnessTargets(now);
    const auto address = ParseUdpEndpoint(heartbeat.self.peers_address);
    if (is_gateway) SendKnowledge(address, now);
    if (!is_gateway && asked_companions_ < kMaxAskedCompanions) {
      // It may know of crashes that no gateway knows of any more.
      ++asked_companions_;
      heartbeat_socket_->Send(EncodeCrashDigest({}), address);
    }
  }
  if (heartbeat.wants_answer) {
    heartbeat_socket_->Send(EncodeBeat(MakeHeartbeat(now)),
                            ParseUdpEndpoint(heartbeat.self.peers_address));
  }
  for (const engine_report& report : heartbeat.reports) OnEngineReport(report, now);
  if (is_gateway) OnGatewayLoad(heartbeat, now);
}

void gateway::OnEngineReport(const engine_report& report, time_point now) {
  if (!selector_.OnEngineReport(report, now)) return;
  logger::Event(report.open ? log_level::kInfo : log_level::kWarning, "fleet",
                report.open ? "group_open" : "group_closed",
                {{"group", report.group},
                 {"epoch", std::to_string(report.epoch)},
                 {"reported_by", report.address}});
  // The rank for which the group had waited is a new upstream.
  if (report.open) feed_->RefreshUpstreams();
}

void gateway::HandleLostMembers(time_point now) {
  const std::vector<std::string> lost = members_.TakeLost(now);
  for (const std::string& name : lost) {
    logger::Event(log_level::kWarning, "fleet", "member_lost", {{"name", name}});
    selector_.RemovePeer(name);
  }
  if (!lost.empty()) UpdateFreshnessTargets(now);
  ExpireDomainLoads(now);
  UpdateShares(now);
}

void gateway::UpdateSelector(time_point now) {
  if (registry_.Revision() == selector_revision_) return;
  selector_revision_ = registry_.Revision();
  selector_.SetUpstreams(registry_, routing_view_.get(), now);
  // Other gateways may tell of limits before the instance list arrives.
  if (!has_upstream_list_) return;
  std::set<std::uint32_t> upstreams;
  for (const auto& [id, registered] : registry_.Upstreams()) upstreams.insert(UpstreamHash(id));
  limits_.Retain(upstreams);
  selector_.SetRateLimits(limits_.Limits(), now);
}

void gateway::UpdateRetryBudgets(time_point now) {
  if (routing_view_ == nullptr) return;
  const double window = std::chrono::duration<double>(settings_.bounds.retry_window).count();
  const double slack = settings_.bounds.retry_slack * kUsedBudgetShare * share_.EqualShare();
  const retry_budget_options options{
      .retries_per_request = settings_.bounds.retry_share * kUsedBudgetShare,
      .min_retries_per_second = 0.3 * slack / window,
      .burst = std::max(1.0, 0.6 * slack),
      .initial_retries = 1.0};
  for (const service_profile& service : routing_view_->Content().services) {
    const auto budget = retry_budgets_.try_emplace(service.name, options, now);
    if (!budget.second) budget.first->second.SetOptions(options);
  }
}

void gateway::WaitForShutdownSignal() {
  shutdown_signals_.async_wait([this](const boost::system::error_code& error, int /*signal*/) {
    if (!error) BeginShutdown();
  });
  WaitForReloadSignal();
}

void gateway::WaitForReloadSignal() {
  reload_signals_.async_wait([this](const boost::system::error_code& error, int /*signal*/) {
    if (error) return;
    logger::Event(log_level::kInfo, "process", "settings_reload_requested");
    WaitForReloadSignal();
  });
}

void gateway::BeginShutdown() {
  if (shutdown_) return;
  const time_point now = clock_.Now();
  // The signal may have waited while the thread was busy, but not for longer than since the tick
  // before the last one: the last one may have been called together with the signal.
  const time_point signalled_at = previous_tick_;
  // Callers that were given this gateway's address go on using it for a while.
  shutdown_.emplace(shutdown_window_options{.grace = settings_.bounds.shutdown_grace,
                                            .exit_margin = kExitMargin,
                                            .kill_margin = kKillMargin,
                                            .address_lifetime = settings_.bounds.address_lifetime,
                                            .address_use = kAddressLifetimesInUse *
                                                           settings_.bounds.address_lifetime},
                    signalled_at);
  logger::Event(log_level::kInfo, "process", "shutdown_requested",
                {{"open_requests", std::to_string(requests_.size())},
                 {"thread_busy_ms", MillisecondsText(now - signalled_at)}});
  caller_server_.CloseAfterAnswers();
  const std::string datagram = EncodeBeat(MakeHeartbeat(now));
  for (const std::string& target : members_.AllGatewayTargets(now)) {
    heartbeat_socket_->Send(datagram, ParseUdpEndpoint(target));
  }
}

void gateway::CheckShutdown(time_point now) {
  if (!shutdown_) return;
  if (now >= shutdown_->WorkEnd()) EndOpenRequests(now);
  const bool has_work = !requests_.empty() || caller_server_.HasUnfinishedExchanges();
  if (shutdown_->MayExit(now, has_work)) context_.stop();
}

std::vector<std::shared_ptr<relayed_request>> gateway::OpenRequests() const {
  std::vector<std::shared_ptr<relayed_request>> open;
  open.reserve(requests_.size());
  for (const auto& [id, request] : requests_) open.push_back(request);
  return open;
}

void gateway::EndOpenRequests(time_point now) {
  for (const auto& request : OpenRequests()) {
    request->EndUnfinished({.status = 502, .reason = "leaving", .retry_after = kShutdownRetryAfter},
                           now);
  }
}

duration gateway::ConfigurationAge(time_point now) const {
  return configuration_current_at_ == time_point::min() ? duration::max()
                                                        : now - configuration_current_at_;
}

bool gateway::IsReady(time_point now) const {
  return !shutdown_ && routing_view_ != nullptr && has_upstream_list_ &&
         admission_gate_.AreKeysCurrent(ConfigurationAge(now));
}

int RunGateway(const gateway_settings& settings, const gateway_platform& platform,
               const runtime_clock& clock) {
  ReturnLargeBlocks();
  gateway server(settings, platform, clock);
  return server.Run();
}

}  // namespace berylbarrow
