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

constexpr duration kActiveTick = milliseconds(8);
constexpr duration kIdleTick = milliseconds(40);
constexpr duration kStatusInterval = milliseconds(100);
constexpr duration kCountsInterval = milliseconds(150);
constexpr duration kListsInterval = milliseconds(500);
constexpr duration kConsiderInterval = milliseconds(150);
constexpr duration kProfileRetry = milliseconds(500);
constexpr duration kProfileInterval = std::chrono::seconds(30);
constexpr duration kLoadLifetime = std::chrono::seconds(2);
constexpr duration kLoadHalfLife = milliseconds(300);
// Of a new observation in the long average of the group's load, and of that average in what layouts
// are planned for.
constexpr double kUsualWeight = 0.02;
constexpr double kUsualShare = 0.25;
// A long average below this share of the load began before anything was counted, and begins anew.
constexpr double kLeastKnownShare = 0.01;
// How long a layout is expected to fit the load of a busy group, in seconds; with less than
// kBusyShare of the places taken it counts for less.
constexpr double kLongestHorizon = 3.0;
constexpr double kBusyShare = 0.5;
constexpr double kLeastHorizonShare = 0.55;
constexpr double kTakenWeight = 0.2;  // of a new observation
constexpr duration kCallTimeout = milliseconds(300);
constexpr duration kOrderTimeout = milliseconds(150);
constexpr duration kLongestLeave = milliseconds(1500);
// Versions of one coordinator differ from those of another one that knows the same highest one.
constexpr std::uint64_t kVersionStep = std::uint64_t{1} << 20U;

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
      engine_(context_, settings.upstream_address, kCallTimeout, clock),
      orders_(context_, settings.upstream_address, kOrderTimeout, clock),
      store_(context_, settings.store_address, std::chrono::seconds(1), clock),
      metrics_handler_([this](const http_head& head) { return AnswerMetrics(head); }),
      rates_(kLoadHalfLife) {
  if (!settings.metrics_address.empty()) {
    metrics_server_ = std::make_unique<http_server>(context_, settings.metrics_address,
                                                    http_server_options{}, clock, metrics_handler_);
  }
  socket_ = std::make_shared<heartbeat_socket>(
      context_,
      [this](std::string_view datagram, const endpoint& from) { OnDatagram(datagram, from); });
  if (const auto error = socket_->Bind(ParseUdpEndpoint(settings.peers_address))) {
    throw std::runtime_error("cannot use " + settings.peers_address + ": " + error.message());
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
  signals_.async_wait([this](const boost::system::error_code& error, int /*signal*/) {
    if (error) return;
    logger::Event(log_level::kInfo, "process", "shutdown_requested");
    leaving_ = true;
    leaving_since_ = clock_.Now();
  });
  WaitForReload();
  Tick();
  context_.run();
  logger::Event(log_level::kInfo, "process", "process_finished");
  logger::Flush();
  return 0;
}

void companion::WaitForReload() {
  reloads_.async_wait([this](const boost::system::error_code& error, int /*signal*/) {
    if (error) return;
    logger::Event(log_level::kInfo, "process", "settings_reload_requested");
    WaitForReload();
  });
}

void companion::Tick() {
  const time_point now = clock_.Now();
  engine_.Advance(now);
  orders_.Advance(now);
  store_.Advance(now);
  for (auto& [rank, view] : ranks_) {
    if (view.engine) view.engine->Advance(now);
  }
  ReadProfile(now);
  CallEngine(now);
  Consider(now);
  ReadSilentRanks(now);
  PlaceOrders(now);
  SendState(now);
  SendPlan(now);
  if (now >= next_beat_) Beat(now);
  const bool active = switch_.IsActive();
  // A switch that has begun is brought to its end, so that the group does not wait for it.
  if (leaving_ && (!active || now - leaving_since_ > kLongestLeave)) {
    context_.stop();
    return;
  }
  tick_.expires_after(active ? kActiveTick : kIdleTick);
  tick_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

void companion::ReadProfile(time_point now) {
  if (profile_called_ || now < next_profile_) return;
  profile_called_ = true;
  store_.Call(dialect_.ProfileCall(), [this](const http_result& result) {
    profile_called_ = false;
    std::optional<engine_profile> profile;
    if (result.status == 200) profile = dialect_.ParseProfile(result.body, settings_.service);
    next_profile_ = clock_.Now() + (profile || profile_ ? kProfileInterval : kProfileRetry);
    if (!profile) return;
    if (!profile_) logger::Event(log_level::kInfo, "engine", "profile_known");
    profile_ = profile;
  });
}

void companion::CallEngine(time_point now) {
  if (!status_called_ && now >= next_status_) {
    status_called_ = true;
    next_status_ = now + (switch_.IsActive() ? duration::zero() : kStatusInterval);
    engine_.Call(dialect_.StatusCall(), [this, now](const http_result& result) {
      status_called_ = false;
      OnStatus(result, now);
    });
  }
  if (!status_ || status_->rank.group.empty()) return;
  if (!counts_called_ && now >= next_counts_) {
    counts_called_ = true;
    next_counts_ = now + kCountsInterval;
    engine_.Call(dialect_.ExpertCountsCall(), [this](const http_result& result) {
      counts_called_ = false;
      OnCounts(result);
    });
  }
  const bool lists_known = own_lists_ && own_lists_->epoch == status_->rank.epoch &&
                           own_lists_->version == status_->rank.mapping;
  if (!lists_known && !lists_called_ && now >= next_lists_) {
    lists_called_ = true;
    next_lists_ = now + milliseconds(50);
    engine_.Call(dialect_.ExpertListsCall(), [this](const http_result& result) {
      lists_called_ = false;
      OnLists(result);
    });
  }
}

void companion::OnStatus(const http_result& result, time_point asked) {
  auto status = result.status == 200 ? dialect_.ParseStatus(result.body) : std::nullopt;
  if (!status) {
    if (status_) logger::Event(log_level::kWarning, "engine", "engine_lost");
    status_.reset();
    return;
  }
  const bool new_epoch = !status_ || status_->rank.epoch != status->rank.epoch ||
                         status_->rank.group != status->rank.group;
  if (new_epoch) {
    logger::Event(log_level::kInfo, "engine", "epoch_begins",
                  {{"group", status->rank.group},
                   {"epoch", std::to_string(status->rank.epoch)},
                   {"rank", std::to_string(status->rank.rank)}});
    ranks_.clear();
    coordinator_.reset();
    draft_.reset();
    own_lists_.reset();
    rates_.Clear();
    usual_.clear();
  }
  status_ = std::move(status);
  members_.Self().group = status_->rank.group;
  switch_.OnStatus(status_->rank, asked);
  if (!switch_.IsActive()) return;
  const time_point now = clock_.Now();
  PlaceOrders(now);
  SendState(now);
  SendPlan(now);
}

void companion::OnCounts(const http_result& result) {
  if (result.status != 200) return;
  const auto counts = dialect_.ParseExpertCounts(result.body);
  if (counts) rates_.Observe(counts->counts, clock_.Now());
}

void companion::OnLists(const http_result& result) {
  if (result.status == 200) own_lists_ = dialect_.ParseExpertLists(result.body);
}

std::optional<group_shape> companion::Shape() const {
  if (!profile_ || !status_ || status_->rank.size == 0) return std::nullopt;
  return group_shape{.ranks = status_->rank.size,
                     .layers = profile_->expert_layers,
                     .experts = profile_->experts,
                     .slots_per_rank = profile_->expert_slots};
}

void companion::ReadSilentRanks(time_point now) {
  for (const std::uint32_t rank : switch_.SilentRanks(now)) {
    rank_view& view = ranks_[rank];
    if (view.engine_called || view.engine_address.empty()) continue;
    if (!view.engine) {
      view.engine =
          std::make_unique<http_caller>(context_, view.engine_address, kOrderTimeout, clock_);
      logger::Event(log_level::kWarning, "engine", "rank_stood_in_for",
                    {{"rank", std::to_string(rank)}});
    }
    view.engine_called = true;
    view.engine->Call(dialect_.StatusCall(), [this, rank, now](const http_result& result) {
      ranks_[rank].engine_called = false;
      const auto status = result.status == 200 ? dialect_.ParseStatus(result.body) : std::nullopt;
      if (status) switch_.OnRemoteStatus(rank, status->rank, now);
    });
  }
}

void companion::Place(const rank_order& order) {
  const bool prepares = order.kind == order_kind::kPrepare;
  http_caller* caller = &orders_;
  if (order.rank != status_->rank.rank) {
    const auto other = ranks_.find(order.rank);
    if (other == ranks_.end() || !other->second.engine) return;
    caller = other->second.engine.get();
  }
  counts_.Count("orders", {});
  caller->Call(dialect_.OrderCall(order, prepares ? &draft_->layout : nullptr),
               [order](const http_result& result) {
                 logger::Event(log_level::kInfo, "engine", "order_answered",
                               {{"order", std::to_string(static_cast<int>(order.kind))},
                                {"rank", std::to_string(order.rank)},
                                {"version", std::to_string(order.version)},
                                {"step", std::to_string(order.step)},
                                {"epoch", std::to_string(order.epoch)},
                                {"status", std::to_string(result.status)}});
               });
}

void companion::PlaceOrders(time_point now) {
  for (const rank_order& order : switch_.Advance(now)) {
    const bool known = draft_ && draft_->version == order.version && draft_->IsComplete();
    if (order.kind == order_kind::kPrepare && !known) continue;
    Place(order);
  }
  if (switch_.Finished() != finished_) {
    finished_ = switch_.Finished();
    counts_.Count("map_switches", {});
  }
  if (switch_.Stage() != last_stage_) {
    last_stage_ = switch_.Stage();
    next_plan_ = now;
    logger::Event(log_level::kInfo, "engine", "switch_stage",
                  {{"stage", std::to_string(static_cast<int>(last_stage_))},
                   {"step", std::to_string(status_ ? status_->rank.step : 0)}});
  }
}

std::optional<rank_layout> companion::CurrentLayout() const {
  const auto shape = Shape();
  if (shape && draft_ && draft_->version == status_->rank.mapping && draft_->IsComplete()) {
    return draft_->layout;
  }
  if (!shape || !own_lists_ || own_lists_->version != status_->rank.mapping) return std::nullopt;
  if (own_lists_->experts.size() != shape->layers) return std::nullopt;
  rank_layout layout(*shape);
  for (std::uint32_t layer = 0; layer < shape->layers; ++layer) {
    layout.Set(layer, 0, own_lists_->experts[layer]);
    for (const auto& [rank, view] : ranks_) {
      if (rank >= shape->ranks || !view.lists || view.layers.size() != shape->layers) {
        return std::nullopt;
      }
      if (view.lists_version != status_->rank.mapping) return std::nullopt;
      layout.Set(layer, rank, view.lists->At(layer, 0));
    }
  }
  return layout.IsSound() ? std::optional(std::move(layout)) : std::nullopt;
}

std::optional<group_work> companion::GroupWork(time_point now) {
  expert_load sum = rates_.Demand();
  std::vector<double> pace(status_->rank.size, 1.0);
  pace[0] = std::max(1.0, status_->pace);
  for (const auto& [rank, view] : ranks_) {
    if (view.load.size() != sum.size() || now - view.load_at > kLoadLifetime) return std::nullopt;
    for (std::size_t i = 0; i < sum.size(); ++i) sum[i] += view.load[i];
    if (rank < pace.size()) pace[rank] = std::max(1.0, view.pace);
  }
  const double total = std::accumulate(sum.begin(), sum.end(), 0.0);
  if (total <= 0) return std::nullopt;
  // Demand that was there before may come back; places that cost nothing now are kept for it.
  const double known = std::accumulate(usual_.begin(), usual_.end(), 0.0);
  if (known < kLeastKnownShare * total) usual_ = sum;
  for (std::size_t i = 0; i < sum.size(); ++i) {
    usual_[i] += kUsualWeight * (sum[i] - usual_[i]);
    sum[i] += kUsualShare * usual_[i];
  }
  return group_work{.load = std::move(sum), .pace = std::move(pace)};
}

double companion::HorizonSeconds() {
  // While ranks have free places a shorter pass gains callers little, and copies cost the same.
  const double taken =
      static_cast<double>(status_->running + status_->waiting) / std::max(1U, profile_->slots);
  taken_ += kTakenWeight * (taken - taken_);
  return kLongestHorizon * std::clamp(taken_ / kBusyShare, kLeastHorizonShare, 1.0);
}

void companion::Consider(time_point now) {
  if (leaving_ || now < next_consideration_ || !switch_.CanBegin(now)) return;
  next_consideration_ = now + kConsiderInterval;
  const auto layout = CurrentLayout();
  const auto work = GroupWork(now);
  if (!layout || !work ||
      work->load.size() != std::size_t{profile_->expert_layers} * profile_->experts) {
    return;
  }
  const double copy_seconds =
      profile_->expert_link_mbps > 0 ? profile_->expert_mb * 8 / profile_->expert_link_mbps : 0.1;
  const auto chosen = ChooseLayout(*layout, *work,
                                   {.copy_seconds = copy_seconds,
                                    .max_new_per_layer = profile_->max_new_experts,
                                    .horizon_seconds = HorizonSeconds()});
  if (!chosen) return;
  const std::uint64_t version =
      (switch_.HighestVersion() / kVersionStep + 1) * kVersionStep + random_() % kVersionStep;
  logger::Event(
      log_level::kInfo, "engine", "switch_begins",
      {{"version", std::to_string(version)},
       {"skew", std::to_string(chosen->skew_before)},
       {"planned_skew", std::to_string(chosen->skew_after)},
       {"slowest_pace", std::to_string(*std::max_element(work->pace.begin(), work->pace.end()))},
       {"running", std::to_string(status_->running)},
       {"waiting", std::to_string(status_->waiting)},
       {"longest_copy", std::to_string(chosen->longest_copy)},
       {"copies", std::to_string(chosen->copies)}});
  draft_ = layout_draft{.version = version, .layout = chosen->layout};
  for (std::uint32_t i = 0; i < chosen->layout.Shape().layers; ++i) draft_->layers.insert(i);
  switch_.OnLayoutKnown(version);
  switch_.Begin(version, now);
  spread_.Begin(now);
}

http_answer companion::AnswerMetrics(const http_head& head) {
  if (head.target != "/metrics") return {.status = 404};
  return {.status = 200,
          .fields = {{"Content-Type", "text/plain; version=0.0.4"}},
          .body = counts_.Exposition()};
}

int RunCompanion(const companion_settings& settings, const engine_dialect& dialect,
                 const runtime_clock& clock) {
  companion process(settings, dialect, clock);
  return process.Run();
}

}  // namespace berylbarrow
