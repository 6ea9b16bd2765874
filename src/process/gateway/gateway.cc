#include "process/gateway/gateway.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "berylbarrow/process/telemetry/log.h"
#include "connection/http/endpoint.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

// Time-outs, the waiting line and beats need no finer steps.
constexpr duration kTick = milliseconds(20);
constexpr duration kBeatInterval = milliseconds(250);
constexpr duration kCheckInterval = milliseconds(200);
constexpr std::size_t kMaxWaiting = 2000;  // requests of one service
// Callers keep an address answer for up to three lifetimes.
constexpr int kAddressReuse = 3;
// What an address answer needs of the caller's own domain, so that one entry may be lost.
constexpr std::size_t kEnoughAddresses = 2;
// Left of the grace for the end of the process.
constexpr duration kExitMargin = milliseconds(500);
// A stream that begins with less than this left of the grace might be cut off.
constexpr duration kStreamEndTime = milliseconds(3500);
constexpr duration kPlainEndTime = milliseconds(1000);
// Usual time that a stream takes after it was sent.
constexpr duration kUsualStream = milliseconds(1500);
constexpr duration kUsualPlain = milliseconds(40);
// Callers abandon a stream that shows nothing for 2 s; a place after that is of no use.
constexpr duration kStreamPatience = milliseconds(1600);
// Refused callers come back spread over this span, so that they do not meet again.
constexpr duration kBusyRetryAfter = milliseconds(500);
constexpr duration kBusyRetrySpread = milliseconds(700);
constexpr duration kLeavingRetryAfter = milliseconds(50);
// Gateways of a small fleet.
constexpr std::uint32_t kLeastGateways = 6;
// Share of the retry budget of the fleet that is used, as gateways may not know of each other.
constexpr double kBudgetMargin = 0.8;

std::string Milliseconds(duration span) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

fleet_member MakeSelf(const gateway_settings& settings, std::uint64_t incarnation) {
  return {.name = settings.name,
          .role = member_role::kGateway,
          .domain = settings.domain,
          .incarnation = incarnation,
          .peers_address = settings.peers_address,
          .callers_address = settings.callers_address};
}

}  // namespace

gateway::gateway(const gateway_settings& settings, const gateway_platform& platform,
                 const runtime_clock& clock)
    : settings_(settings),
      platform_(platform),
      clock_(clock),
      random_(std::random_device{}()),
      registry_({}),
      board_({}),
      crashes_({}),
      links_(context_, {}, clock),
      relay_{.settings = settings,
             .dialect = platform.exchange,
             .clock = clock,
             .board = board_,
             .links = links_,
             .crashes = crashes_,
             .counts = counts_,
             .random = random_,
             .budgets = budgets_},
      members_({.seeds = settings.seeds}, MakeSelf(settings, random_())),
      gate_({.strict_keys = settings.bounds.strict_keys,
             .key_lifetime = settings.bounds.key_lifetime}),
      directory_handler_([this](const http_head& head) { return AnswerDirectory(head); }),
      readiness_handler_([this](const http_head& head) { return AnswerReadiness(head); }),
      metrics_handler_([this](const http_head& head) { return AnswerMetrics(head); }),
      callers_(context_, settings.callers_address, {.max_connections = settings.max_connections},
               clock, *this),
      readiness_(context_, settings.readiness_address, {}, clock, readiness_handler_),
      directory_(context_, settings.directory_address,
                 {.max_connections = settings.max_connections}, clock, directory_handler_) {
  if (!settings.metrics_address.empty()) {
    metrics_server_ = std::make_unique<http_server>(context_, settings.metrics_address,
                                                    http_server_options{}, clock, metrics_handler_);
  }
  socket_ = std::make_shared<heartbeat_socket>(
      context_, [this](std::string_view datagram, const boost::asio::ip::udp::endpoint& /*from*/) {
        OnDatagram(datagram);
      });
  const auto peers = ParseHttpEndpoint(settings.peers_address);
  if (const auto error = socket_->Bind({peers.address(), peers.port()})) {
    throw std::runtime_error("cannot use " + settings.peers_address + ": " + error.message());
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
  socket_->Start();
  feed_->Start();
  WaitForSignal();
  Tick();
  context_.run();
  logger::Event(log_level::kInfo, "process", "process_finished",
                {{"open_requests", std::to_string(requests_.size())}});
  logger::Flush();
  return 0;
}

void gateway::ArmTick() {
  tick_.expires_after(kTick);
  tick_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

void gateway::Tick() {
  const time_point now = clock_.Now();
  feed_->Advance(now);
  registry_.Advance(now);
  RefreshBoard(now);
  links_.CheckTimeouts(now);
  std::vector<std::shared_ptr<relayed_request>> active;
  active.reserve(requests_.size());
  for (const auto& [id, request] : requests_) active.push_back(request);
  for (const auto& request : active) request->Advance(now);
  RefuseHopeless(now);
  for (auto& [service, line] : lines_) {
    if (line.Size() > 0) Pump(service, now);
  }
  if (now >= next_beat_) Beat(now);
  if (now >= next_check_) {
    next_check_ = now + kCheckInterval;
    callers_.CheckTimeouts(now);
    readiness_.CheckTimeouts(now);
    directory_.CheckTimeouts(now);
    HandleLostMembers(now);
    RefreshBudgets(now);
    crashes_.Expire(now);
  }
  CheckShutdown(now);
  ArmTick();
}

void gateway::Beat(time_point now) {
  next_beat_ = now + kBeatInterval;
  members_.Self().ready = IsReady(now);
  fleet_beat beat{.self = members_.Self(),
                  .sequence = ++beat_sequence_,
                  .hints = members_.RandomHints(),
                  .crashes = crashes_.Report(now)};
  for (const auto& [upstream, count] : board_.OwnLoad()) {
    beat.in_flight.push_back({.upstream = upstream, .in_flight = count});
  }
  const std::string datagram = EncodeBeat(beat);
  for (const std::string& target : members_.Targets(now)) {
    const auto endpoint = ParseHttpEndpoint(target);
    socket_->Send(datagram, {endpoint.address(), endpoint.port()});
  }
}

void gateway::OnDatagram(std::string_view datagram) {
  const auto beat = DecodeBeat(datagram);
  if (!beat) return;
  const time_point now = clock_.Now();
  if (members_.OnBeat(*beat, now)) {
    logger::Event(log_level::kInfo, "fleet", "member_found",
                  {{"name", beat->self.name}, {"failure_domain", beat->self.domain}});
    board_.SetEntries(members_.LiveGateways(now));
  }
  for (const engine_report& report : beat->reports) board_.OnReport(report, now);
  if (beat->self.role != member_role::kGateway) return;
  std::map<std::uint32_t, std::uint32_t> in_flight;
  for (const upstream_use& use : beat->in_flight) in_flight[use.upstream] = use.in_flight;
  board_.OnPeerLoad(beat->self.name, in_flight, now);
  crashes_.Merge(beat->self.incarnation, beat->crashes, now);
}

void gateway::HandleLostMembers(time_point now) {
  for (const std::string& name : members_.TakeLost(now)) {
    logger::Event(log_level::kWarning, "fleet", "member_lost", {{"name", name}});
    board_.ForgetPeer(name);
  }
  board_.SetEntries(members_.LiveGateways(now));
}

void gateway::RefreshBoard(time_point now) {
  if (registry_.Revision() == board_revision_) return;
  board_revision_ = registry_.Revision();
  board_.SetUpstreams(registry_, view_.get(), now);
}

void gateway::RefreshBudgets(time_point now) {
  if (view_ == nullptr) return;
  // Processes that are cut off or have just begun know too few others.
  most_gateways_ = std::max({most_gateways_, members_.LiveGateways(now), kLeastGateways});
  const double window = std::chrono::duration<double>(settings_.bounds.retry_window).count();
  const double slack = settings_.bounds.retry_slack * kBudgetMargin / most_gateways_;
  const retry_budget_options options{.share = settings_.bounds.retry_share * kBudgetMargin,
                                     .per_second = 0.3 * slack / window,
                                     .burst = std::max(1.0, 0.6 * slack),
                                     .saved = 1.0};
  for (const service_profile& service : view_->Content().services) {
    const auto budget = budgets_.try_emplace(service.name, options, now);
    if (!budget.second) budget.first->second.SetOptions(options);
  }
}

void gateway::WaitForSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int /*signal*/) {
    if (!error) BeginShutdown();
  });
  WaitForReload();
}

void gateway::WaitForReload() {
  reloads_.async_wait([this](const boost::system::error_code& error, int /*signal*/) {
    if (error) return;
    logger::Event(log_level::kInfo, "process", "settings_reload_requested");
    WaitForReload();
  });
}

void gateway::BeginShutdown() {
  if (leaving_) return;
  leaving_ = true;
  leaving_since_ = clock_.Now();
  logger::Event(log_level::kInfo, "process", "shutdown_requested",
                {{"open_requests", std::to_string(requests_.size())}});
  callers_.CloseAfterAnswers();
  Beat(leaving_since_);
}

void gateway::CheckShutdown(time_point now) {
  if (!leaving_) return;
  const duration elapsed = now - leaving_since_;
  const duration grace = settings_.bounds.shutdown_grace - kExitMargin;
  // Callers go on using the addresses that they were told of for a while.
  const duration stay = kAddressReuse * settings_.bounds.address_lifetime;
  if (elapsed >= grace || (elapsed >= stay && requests_.empty())) context_.stop();
}

duration gateway::ConfigurationAge(time_point now) const {
  return current_as_of_ == time_point::min() ? duration::max() : now - current_as_of_;
}

bool gateway::IsReady(time_point now) const {
  return !leaving_ && view_ != nullptr && has_upstreams_ &&
         gate_.AreKeysCurrent(ConfigurationAge(now));
}

http_answer gateway::AnswerDirectory(const http_head& head) {
  const auto question = platform_.directory.ReadQuestion(head);
  if (!question) return {.status = 404};
  const time_point now = clock_.Now();
  members_.Self().ready = IsReady(now);
  std::vector<std::string> addresses =
      members_.ReadyAddresses(question->domain, kEnoughAddresses, now);
  if (addresses.empty() && !leaving_) addresses.push_back(settings_.callers_address);
  return platform_.directory.WriteAnswer(addresses, settings_.bounds.address_lifetime);
}

http_answer gateway::AnswerReadiness(const http_head& head) const {
  if (!platform_.directory.IsReadinessQuestion(head)) return {.status = 404};
  return {.status = IsReady(clock_.Now()) ? 200U : 503U};
}

http_answer gateway::AnswerMetrics(const http_head& head) {
  const header_field json{"Content-Type", "application/json"};
  if (head.target == "/state") return {.status = 200, .fields = {json}, .body = StateText()};
  if (head.target != "/metrics") return {.status = 404};
  return {.status = 200,
          .fields = {{"Content-Type", "text/plain; version=0.0.4"}},
          .body = counts_.Exposition()};
}

std::string gateway::StateText() {
  const time_point now = clock_.Now();
  nlohmann::json members = nlohmann::json::array();
  for (const fleet_member& each : members_.Live(now)) {
    members.push_back({{"name", each.name},
                       {"failure_domain", each.domain},
                       {"gateway", each.role == member_role::kGateway},
                       {"ready", each.ready}});
  }
  const nlohmann::json state = {
      {"name", settings_.name},
      {"ready", IsReady(now)},
      {"leaving", leaving_},
      {"version", view_ ? view_->Version() : 0},
      {"configuration_age_ms", view_ ? Milliseconds(ConfigurationAge(now)) : "unknown"},
      {"evacuated", evacuated_},
      {"open_requests", requests_.size()},
      {"members", members},
      {"upstreams", board_.State(now)},
      {"metrics", counts_.Json()}};
  return state.dump();
}

std::shared_ptr<served_request> gateway::OnRequest(http_head&& head, std::string&& body,
                                                   answer_sink& sink) {
  const time_point now = clock_.Now();
  caller_facts facts = platform_.exchange.ReadCaller(head);
  gate_verdict verdict = gate_.Judge(view_.get(), ConfigurationAge(now), head, facts);
  const auto refuse = [&](const gate_refusal& refused) {
    counts_.Count("refusals", {.outcome = std::string(refused.reason)});
    logger::Event(log_level::kWarning, "request", "request_refused",
                  {{"id", facts.attempt_id},
                   {"reason", std::string(refused.reason)},
                   {"status", std::to_string(refused.status)},
                   {"version", view_ ? std::to_string(view_->Version()) : "none"},
                   {"age_ms", view_ ? Milliseconds(ConfigurationAge(now)) : "unknown"}});
    sink.SendAnswer(
        {.status = refused.status,
         .fields = platform_.exchange.RefusalFields(facts.attempt_id, refused.retry_after)});
    return nullptr;
  };
  if (verdict.refused) return refuse(*verdict.refused);
  const route& chosen = *verdict.route_used;
  const bool streaming = chosen.kind == request_kind::kStreaming;
  if (leaving_) {
    const duration left = settings_.bounds.shutdown_grace - (now - leaving_since_);
    if (left < (streaming ? kStreamEndTime : kPlainEndTime)) {
      return refuse({.reason = "leaving", .retry_after = kLeavingRetryAfter});
    }
  }
  admitted_request admitted{.id = next_id_++,
                            .view = view_,
                            .route_used = &chosen,
                            .service = ChooseService(chosen, relay_.Draw()),
                            .priority = chosen.priority,
                            .arrival = now,
                            .deadline = now + chosen.timeout};
  if (verdict.account != nullptr) {
    admitted.account = verdict.account->name;
    admitted.priority = verdict.account->priority.value_or(chosen.priority);
  }
  if (facts.deadline) admitted.deadline = std::min(admitted.deadline, now + *facts.deadline);
  admitted.fingerprint = RequestFingerprint(head.method, head.target, admitted.account, body);
  if (crashes_.IsRefused(admitted.fingerprint)) return refuse({.reason = "crashes_upstreams"});
  admitted.head = std::move(head);
  admitted.body = std::move(body);
  admitted.facts = std::move(facts);
  if (const auto budget = budgets_.find(admitted.service); budget != budgets_.end()) {
    budget->second.OnRequest();
  }
  auto request = std::make_shared<relayed_request>(std::move(admitted), relay_, *this, sink);
  requests_.emplace(request->Id(), request);
  const dispatch_obstacle obstacle = request->TryDispatch(now);
  if (obstacle != dispatch_obstacle::kNone) Line(*request, obstacle, now);
  return request->IsDone() ? nullptr : request;
}

void gateway::OnRejectedRequest(unsigned status, std::string_view reason) {
  counts_.Count("refusals", {.outcome = std::string(reason)});
  logger::Event(log_level::kWarning, "request", "request_rejected",
                {{"reason", std::string(reason)}, {"status", std::to_string(status)}});
}

waiting_line& gateway::LineOf(const std::string& service) {
  return lines_.try_emplace(service, kMaxWaiting).first->second;
}

void gateway::Line(relayed_request& request, dispatch_obstacle obstacle, time_point now) {
  const admitted_request& admitted = request.Request();
  const bool streaming = admitted.route_used->kind == request_kind::kStreaming;
  if (obstacle == dispatch_obstacle::kNoUpstream && has_upstreams_ && !streaming) {
    // Upstreams may be back within the time of a stream, but hardly within that of a short request.
    counts_.Count("refusals", {.service = admitted.service, .outcome = "no_upstream"});
  }
  time_point hopeless = admitted.deadline - (streaming ? kUsualStream : kUsualPlain);
  if (streaming) hopeless = std::min(hopeless, admitted.arrival + kStreamPatience);
  const waiting_request waiting{
      .id = admitted.id,
      .account = admitted.account,
      .priority = admitted.priority,
      .arrival = admitted.arrival,
      .on_time_until = admitted.arrival + admitted.route_used->goal * 7 / 10,
      .hopeless_from = hopeless};
  if (waiting.hopeless_from <= now || !LineOf(admitted.service).Push(waiting)) {
    request.Refuse("no_place", BusyRetryAfter());
    return;
  }
  logger::Event(log_level::kInfo, "request", "request_waits",
                {{"id", admitted.facts.attempt_id},
                 {"obstacle", std::to_string(static_cast<int>(obstacle))},
                 {"taken", std::to_string(board_.TakenShare(admitted.service, now))},
                 {"waiting", std::to_string(LineOf(admitted.service).Size())}});
}

duration gateway::BusyRetryAfter() {
  return kBusyRetryAfter + std::chrono::duration_cast<duration>(kBusyRetrySpread * relay_.Draw());
}

void gateway::Pump(const std::string& service, time_point now) {
  waiting_line& line = LineOf(service);
  std::set<waiting_id> passed_over;
  while (const auto id = line.Next(now, passed_over)) {
    const auto found = requests_.find(*id);
    if (found == requests_.end() || !found->second->IsWaiting()) {
      line.Remove(*id);
      continue;
    }
    const auto request = found->second;
    const dispatch_obstacle obstacle = request->TryDispatch(now);
    if (obstacle == dispatch_obstacle::kNone) {
      line.OnServed(*id);
    } else if (obstacle == dispatch_obstacle::kNoBudget) {
      passed_over.insert(*id);
    } else {
      return;
    }
  }
}

void gateway::RefuseHopeless(time_point now) {
  for (auto& [service, line] : lines_) {
    for (const waiting_id id : line.TakeHopeless(now)) {
      const auto found = requests_.find(id);
      if (found == requests_.end() || !found->second->IsWaiting()) continue;
      const auto request = found->second;
      request->Refuse("no_place_in_time", BusyRetryAfter());
    }
  }
}

void gateway::OnPlaceFree(const std::string& service) {
  const auto line = lines_.find(service);
  if (line == lines_.end() || line->second.Size() == 0) return;
  if (!pumps_.insert(service).second) return;
  boost::asio::post(context_, [this, service] {
    pumps_.erase(service);
    Pump(service, clock_.Now());
  });
}

void gateway::OnRelayWaits(relayed_request& request) {
  Line(request, dispatch_obstacle::kAllBusy, clock_.Now());
}

void gateway::OnMisdirected() { feed_->RefreshUpstreams(); }

void gateway::OnRelayDone(waiting_id id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  // The request is still on the call stack.
  boost::asio::post(context_, [request = found->second] {});
  if (const auto line = lines_.find(found->second->Request().service); line != lines_.end()) {
    line->second.Remove(id);
  }
  requests_.erase(found);
}

void gateway::OnRouting(routing_content&& content) {
  if (view_ != nullptr && content.version <= view_->Version()) return;
  logger::Event(log_level::kInfo, "configuration", "version_in_force",
                {{"version", std::to_string(content.version)},
                 {"routes", std::to_string(content.routes.size())},
                 {"accounts", std::to_string(content.accounts.size())}});
  view_ = std::make_shared<const routing_view>(std::move(content));
  const caller_limits& limits = view_->Limits();
  callers_.SetOptions({.max_connections = settings_.max_connections,
                       .max_header_bytes = limits.max_header_bytes,
                       .max_body_bytes = limits.max_body_bytes,
                       .header_timeout = limits.header_timeout,
                       .idle_timeout = limits.idle_timeout});
  const time_point now = clock_.Now();
  board_.SetUpstreams(registry_, view_.get(), now);
  RefreshBudgets(now);
}

void gateway::OnEvacuation(const std::set<std::string>& domains) {
  if (domains == evacuated_) return;
  std::string names;
  for (const std::string& each : domains) names += (names.empty() ? "" : ",") + each;
  logger::Event(log_level::kInfo, "configuration", "evacuation_changed", {{"domains", names}});
  evacuated_ = domains;
  board_.SetEvacuated(domains, clock_.Now());
}

void gateway::OnConfigurationCurrent(time_point asked) {
  current_as_of_ = std::max(current_as_of_, asked);
}

void gateway::OnUpstreamList(const std::vector<upstream_record>& records) {
  has_upstreams_ = true;
  registry_.Replace(records, clock_.Now());
  RefreshBoard(clock_.Now());
}

void gateway::OnUpstreamChanges(const std::vector<upstream_change>& changes) {
  const time_point now = clock_.Now();
  for (const upstream_change& each : changes) {
    if (each.record) {
      registry_.Put(*each.record, now);
      continue;
    }
    logger::Event(log_level::kInfo, "fleet", "upstream_removed", {{"id", each.id}});
    registry_.Remove(each.id, now);
  }
  RefreshBoard(now);
}

void gateway::OnSourceState(bool reachable, const std::string& reason) {
  const time_point now = clock_.Now();
  reachable ? registry_.OnSourceRegained(now) : registry_.OnSourceLost();
  if (reachable == source_reachable_) return;
  source_reachable_ = reachable;
  logger::Event(reachable ? log_level::kInfo : log_level::kWarning, "configuration",
                reachable ? "store_regained" : "store_lost", {{"reason", reason}});
}

void gateway::OnUnreadableItem(const std::string& key, const std::string& reason) {
  counts_.Count("unreadable_items", {});
  logger::Event(log_level::kWarning, "configuration", "item_unreadable",
                {{"key", key}, {"reason", reason}});
}

int RunGateway(const gateway_settings& settings, const gateway_platform& platform,
               const runtime_clock& clock) {
  gateway process(settings, platform, clock);
  return process.Run();
}

}  // namespace berylbarrow
