#include "process/companion/companion.h"

#include <algorithm>
#include <csignal>
#include <numeric>
#include <stdexcept>
#include <utility>

#include "berylbarrow/process/telemetry/log.h"
#include "connection/http/endpoint.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr duration kActiveTickInterval = milliseconds(8);
constexpr duration kPreparingTickInterval = milliseconds(24);
constexpr duration kIdleTickInterval = milliseconds(40);
constexpr duration kStatusInterval = milliseconds(100);
constexpr duration kCountsInterval = milliseconds(150);
constexpr duration kListsInterval = milliseconds(500);
constexpr duration kProfileRetryInterval = milliseconds(500);
constexpr duration kProfileInterval = std::chrono::seconds(30);
constexpr duration kLoadHalfLife = milliseconds(300);
// One failure may be that of a connection, so the next status is requested at once.
constexpr std::uint32_t kFailuresOfLostRank = 2;
constexpr duration kCallTimeout = milliseconds(300);
constexpr duration kOrderTimeout = milliseconds(150);
// Engines of silent ranks that are asked at a time. More would fill the link of this instance, and
// with it the way of the messages that end the silence.
constexpr std::ptrdiff_t kMaxSilentRankCalls = 4;
// Paces at which an engine is logged as slow and as sound again. The gap keeps an engine between
// them from being logged again and again.
constexpr double kSlowPace = 1.25;
constexpr double kSoundPace = 1.1;
constexpr duration kMaxShutdownDelay = milliseconds(1500);

fleet_member MakeSelf(const companion_settings& settings, std::uint64_t incarnation) {
  return {.name = settings.name,
          .role = member_role::kCompanion,
          .domain = settings.domain,
          .incarnation = incarnation,
          .peers_address = settings.peers_address};
}

}  // namespace

companion::companion(const companion_settings& settings, const engine_dialect& dialect,
                     const runtime_clock& clock)
    : settings_(settings),
      dialect_(dialect),
      clock_(clock),
      random_(std::random_device{}()),
      members_({.seeds = settings.seeds}, MakeSelf(settings, random_())),
      switch_({}, members_.Self().incarnation),
      crashes_({.observer = members_.Self().incarnation}),
      engine_caller_(context_, settings.upstream_address, kCallTimeout, clock),
      order_caller_(context_, settings.upstream_address, kOrderTimeout, clock),
      store_caller_(context_, settings.store_address, std::chrono::seconds(1), clock),
      metrics_handler_([this](const http_head& head) { return AnswerMetrics(head); }),
      expert_rates_(kLoadHalfLife) {
  if (!settings.metrics_address.empty()) {
    metrics_server_ = std::make_unique<http_server>(
        context_, settings.metrics_address, InformationServerOptions(kMaxMetricsConnections), clock,
        metrics_handler_);
  }
  socket_ = std::make_shared<heartbeat_socket>(
      context_,
      [this](std::string_view datagram, const endpoint& from) { OnDatagram(datagram, from); });
  if (const auto error = socket_->Bind(ParseUdpEndpoint(settings.peers_address))) {
    throw std::runtime_error("cannot bind the peers address " + settings.peers_address + ": " +
                             error.message());
  }
}

int companion::Run() {
  logger::Event(log_level::kInfo, "process", "process_started",
                {{"role", "companion"},
                 {"version", BERYLBARROW_VERSION},
                 {"incarnation", std::to_string(members_.Self().incarnation)},
                 {"upstream", settings_.upstream_address},
                 {"peers", settings_.peers_address}});
  socket_->Start();
  shutdown_signals_.async_wait([this](const boost::system::error_code& error, int /*signal*/) {
    if (error) return;
    logger::Event(log_level::kInfo, "process", "shutdown_requested");
    shutting_down_ = true;
    shutdown_started_ = clock_.Now();
  });
  WaitForReloadSignal();
  Tick();
  context_.run();
  logger::Event(log_level::kInfo, "process", "process_finished");
  logger::Flush();
  return 0;
}

void companion::WaitForReloadSignal() {
  reload_signals_.async_wait([this](const boost::system::error_code& error, int /*signal*/) {
    if (error) return;
    logger::Event(log_level::kInfo, "process", "settings_reload_requested");
    WaitForReloadSignal();
  });
}

void companion::Tick() {
  const time_point now = clock_.Now();
  engine_caller_.Advance(now);
  order_caller_.Advance(now);
  store_caller_.Advance(now);
  for (auto& [rank, peer] : ranks_) {
    if (peer.engine_caller) peer.engine_caller->Advance(now);
  }
  FetchProfile(now);
  PollEngine(now);
  EvaluateLayout(now);
  PollSilentRanks(now);
  SendDueOrders(now);
  SendState(now);
  SendPlan(now);
  RelayLayout(now);
  if (now >= next_heartbeat_) SendHeartbeat(now);
  const bool active = switch_.IsActive();
  // Finishes a switch in progress before it stops, because the rest of the group may be held until
  // the switch ends.
  if (shutting_down_ && (!active || now - shutdown_started_ > kMaxShutdownDelay)) {
    context_.stop();
    return;
  }
  const bool is_urgent = active && (switch_.MayBeHeld() || !IsLargeGroup());
  tick_timer_.expires_after(is_urgent ? kActiveTickInterval
                            : active  ? kPreparingTickInterval
                                      : kIdleTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

void companion::FetchProfile(time_point now) {
  if (profile_call_pending_ || now < next_profile_) return;
  profile_call_pending_ = true;
  store_caller_.Call(dialect_.ProfileCall(), [this](const http_result& result) {
    profile_call_pending_ = false;
    std::optional<engine_profile> profile;
    if (result.status == 200) profile = dialect_.ParseProfile(result.body, settings_.service);
    next_profile_ = clock_.Now() + (profile || profile_ ? kProfileInterval : kProfileRetryInterval);
    if (!profile) return;
    if (!profile_) logger::Event(log_level::kInfo, "engine", "profile_known");
    profile_ = profile;
  });
}

void companion::PollEngine(time_point now) {
  if (!status_call_pending_ && now >= next_status_) {
    status_call_pending_ = true;
    // While the group may be held, or copies experts, the next status is requested in each tick.
    next_status_ = now + (switch_.IsActive() ? duration::zero() : kStatusInterval);
    engine_caller_.Call(dialect_.StatusCall(), [this, now](const http_result& result) {
      status_call_pending_ = false;
      OnStatus(result, now);
    });
  }
  if (!status_ || status_->rank.group.empty()) return;
  if (!counts_call_pending_ && now >= next_counts_) {
    counts_call_pending_ = true;
    next_counts_ = now + kCountsInterval;
    engine_caller_.Call(dialect_.ExpertCountsCall(), [this](const http_result& result) {
      counts_call_pending_ = false;
      OnExpertCounts(result);
    });
  }
  const bool lists_known = own_lists_ && own_lists_->epoch == status_->rank.epoch &&
                           own_lists_->version == status_->rank.mapping;
  if (!lists_known && !lists_call_pending_ && now >= next_lists_) {
    lists_call_pending_ = true;
    next_lists_ = now + milliseconds(50);
    engine_caller_.Call(dialect_.ExpertListsCall(), [this](const http_result& result) {
      lists_call_pending_ = false;
      OnExpertLists(result);
    });
  }
}

void companion::OnStatus(const http_result& result, time_point requested_at) {
  auto status = result.status == 200 ? dialect_.ParseStatus(result.body) : std::nullopt;
  if (!status) return OnStatusFailure();
  const bool was_open = status_ && status_->rank.open;
  failed_statuses_ = 0;
  // Compared with what the switch goes on from, which answers that cannot be read do not change.
  const bool is_new_run = !switch_.Status() || !switch_.Status()->IsSameRun(status->rank);
  if (is_new_run) {
    logger::Event(log_level::kInfo, "engine", "epoch_begins",
                  {{"group", status->rank.group},
                   {"epoch", std::to_string(status->rank.epoch)},
                   {"rank", std::to_string(status->rank.rank)}});
    ranks_.clear();
    coordinator_address_.reset();
    leading_holder_.reset();
    next_discovery_ = time_point::min();
    relay_address_.reset();
    layout_plan_.reset();
    unrelayed_ranks_.clear();
    target_.reset();
    in_use_.reset();
    target_delta_.clear();
    own_lists_.reset();
    expert_rates_.Clear();
    long_term_load_.clear();
  }
  status_ = std::move(status);
  members_.Self().group = status_->rank.group;
  members_.Self().coordinates = !status_->rank.group.empty() && status_->rank.rank == 0;
  if (status_->rank.open != was_open) SendHeartbeat(clock_.Now(), beat_reach::kAllGateways);
  const bool is_target_in_use = target_ && target_->version == status_->rank.mapping;
  if (is_target_in_use && (!in_use_ || in_use_->version != target_->version)) in_use_ = target_;
  switch_.OnStatus(status_->rank, requested_at);
  LogPace();
  if (!switch_.IsActive()) return;
  const time_point now = clock_.Now();
  SendDueOrders(now);
  SendState(now);
  SendPlan(now);
}

void companion::LogPace() {
  const bool is_slow = status_->pace >= (is_slow_ ? kSoundPace : kSlowPace);
  if (is_slow == is_slow_) return;
  is_slow_ = is_slow;
  metrics_.Count(is_slow ? "engine_slow" : "engine_sound", {});
  logger::Event(is_slow ? log_level::kWarning : log_level::kInfo, "engine",
                is_slow ? "engine_slow" : "engine_sound",
                {{"pace", std::to_string(status_->pace)},
                 {"rank", std::to_string(status_->rank.rank)},
                 {"running", std::to_string(status_->running)}});
}

void companion::OnStatusFailure() {
  if (status_) {
    logger::Event(log_level::kWarning, "engine", "engine_lost");
    last_rank_ = status_->rank;
    status_.reset();
  }
  const time_point now = clock_.Now();
  if (++failed_statuses_ == kFailuresOfLostRank) SendHeartbeat(now, beat_reach::kAllGateways);
  if (failed_statuses_ >= kFailuresOfLostRank) return;
  next_status_ = now;
  PollEngine(now);
}

bool companion::IsRankLost() const {
  return failed_statuses_ >= kFailuresOfLostRank && !last_rank_.group.empty();
}

void companion::OnExpertCounts(const http_result& result) {
  if (result.status != 200) return;
  const auto counts = dialect_.ParseExpertCounts(result.body);
  if (counts) expert_rates_.Observe(counts->counts, clock_.Now());
}

void companion::OnExpertLists(const http_result& result) {
  if (result.status == 200) own_lists_ = dialect_.ParseExpertLists(result.body);
}

void companion::PollSilentRanks(time_point now) {
  for (const std::uint32_t rank : switch_.SilentRanks(now)) {
    const auto found = ranks_.find(rank);
    if (found == ranks_.end()) continue;
    peer_rank& peer = found->second;
    if (peer.engine_call_pending || peer.engine_address.empty()) continue;
    const auto pending = std::count_if(ranks_.begin(), ranks_.end(), [](const auto& entry) {
      return entry.second.engine_call_pending;
    });
    if (pending >= kMaxSilentRankCalls) return;
    if (!std::exchange(peer.is_stood_in_for, true)) {
      logger::Event(log_level::kWarning, "engine", "rank_stood_in_for",
                    {{"rank", std::to_string(rank)}});
    }
    RemoteEngine(rank);
    peer.engine_call_pending = true;
    peer.engine_caller->Call(dialect_.StatusCall(), [this, rank, now](const http_result& result) {
      if (const auto called = ranks_.find(rank); called != ranks_.end()) {
        called->second.engine_call_pending = false;
      }
      const auto status = result.status == 200 ? dialect_.ParseStatus(result.body) : std::nullopt;
      if (status) switch_.OnRemoteStatus(rank, status->rank, now);
    });
  }
}

http_caller* companion::RemoteEngine(std::uint32_t rank) {
  const auto found = ranks_.find(rank);
  if (found == ranks_.end() || found->second.engine_address.empty()) return nullptr;
  peer_rank& peer = found->second;
  if (!peer.engine_caller) {
    peer.engine_caller =
        std::make_unique<http_caller>(context_, peer.engine_address, kOrderTimeout, clock_);
  }
  return peer.engine_caller.get();
}

void companion::SendOrder(const rank_order& order) {
  std::optional<rank_layout> fence;
  const rank_layout* layout = nullptr;
  if (order.kind == order_kind::kPrepare) layout = &target_->layout;
  if (order.kind == order_kind::kFence) {
    fence = FenceLayout();
    if (!fence) return;
    layout = &*fence;
  }
  http_caller* caller = &order_caller_;
  if (order.rank != switch_.Status()->rank) {
    caller = RemoteEngine(order.rank);
    if (caller == nullptr) return;
  }
  metrics_.Count("orders", {});
  caller->Call(dialect_.OrderCall(order, layout), [this, order](const http_result& result) {
    logger::Event(log_level::kInfo, "engine", "order_answered",
                  {{"order", std::to_string(static_cast<int>(order.kind))},
                   {"rank", std::to_string(order.rank)},
                   {"version", std::to_string(order.version)},
                   {"step", std::to_string(order.step)},
                   {"epoch", std::to_string(order.epoch)},
                   {"status", std::to_string(result.status)}});
    if (result.status == 0) return;
    // The others wait for the effect to show in this rank's report.
    if (switch_.MayBeHeld()) PollEngine(clock_.Now());
  });
}

void companion::SendDueOrders(time_point now) {
  for (const rank_order& order : switch_.Advance(now)) {
    const bool layout_known = target_ && target_->version == order.version && target_->IsComplete();
    if (order.kind == order_kind::kPrepare && !layout_known) continue;
    SendOrder(order);
  }
  if (switch_.Finished() != finished_switches_) {
    finished_switches_ = switch_.Finished();
    metrics_.Count("map_switches", {});
  }
  if (switch_.Undone() != undone_switches_) {
    undone_switches_ = switch_.Undone();
    metrics_.Count("map_switches_undone", {});
  }
  if (switch_.LeadsAsHolder() != led_as_holder_) {
    led_as_holder_ = switch_.LeadsAsHolder();
    const auto plan = switch_.Plan();
    logger::Event(log_level::kWarning, "engine",
                  led_as_holder_ ? "holder_ends_switch" : "holder_ended_switch",
                  {{"version", std::to_string(plan ? plan->target.version : 0)},
                   {"step", std::to_string(status_ ? status_->rank.step : 0)}});
    next_plan_ = now;
  }
  if (switch_.Stage() != last_stage_) {
    last_stage_ = switch_.Stage();
    next_plan_ = now;
    logger::Event(log_level::kInfo, "engine", "switch_stage",
                  {{"stage", std::to_string(static_cast<int>(last_stage_))},
                   {"step", std::to_string(status_ ? status_->rank.step : 0)}});
  }
}

http_answer companion::AnswerMetrics(const http_head& head) {
  if (head.target != "/metrics") return {.status = 404};
  return {.status = 200,
          .fields = {{"Content-Type", "text/plain; version=0.0.4"}},
          .body = metrics_.Exposition()};
}

int RunCompanion(const companion_settings& settings, const engine_dialect& dialect,
                 const runtime_clock& clock) {
  companion process(settings, dialect, clock);
  return process.Run();
}

}  // namespace berylbarrow
