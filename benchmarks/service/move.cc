#include <array>
#include <future>

#include "berylbarrow/request/routing/cold_share_policy.h"
#include "runs.h"
#include "scenarios.h"

namespace berylbarrow::bench {
namespace {

struct move_times {
  duration warm_up = std::chrono::seconds(60);
  duration steady = std::chrono::seconds(40);
  duration out = std::chrono::seconds(20);   // from the event to the return, at least
  duration back = std::chrono::seconds(40);  // from the return to the end of "during"
  duration after = std::chrono::seconds(40);
  duration longer = std::chrono::seconds(60);  // of calls that are in no phase, for warming
  duration rest = std::chrono::seconds(35);    // for the last answers
};

struct move_result {
  std::array<phase_figures, 3> phases;
  double last_work = 0;     // seconds from the event to the last new work in the domain
  double warm_after = -1;   // seconds from the return until all model engines are warm
  double empty_after = -1;  // seconds from the event to the end of the last work
  std::uint64_t crashes = 0;
};

constexpr duration kWatchInterval = std::chrono::milliseconds(50);

// The slowness of a cold engine in the model.
const auto kColdFactor = static_cast<std::uint32_t>(engine_options{}.cold_factor);

std::unique_ptr<routing_policy> LoadRatioPolicy() {
  return std::make_unique<power_of_two_policy>(power_of_two_options{.prefix_affinity = true});
}

double Seconds(duration value) { return std::chrono::duration<double>(value).count(); }

class move_run {
 public:
  move_run(const deployment_case& place, const variant& kind, bool is_planned,
           const move_times& times, std::uint64_t seed)
      : place_(place),
        is_planned_(is_planned),
        times_(times),
        fleet_(time_, {.kind = kind,
                       .document = place.document,
                       .client_latency = place.client_latency,
                       .seed = seed}),
        callers_(time_, fleet_, {.seed = seed}) {}

  move_result Run() {
    fleet_.OnStart([this](const std::string& domain, const work_order& /*order*/) {
      if (domain == place_.domain && time_.Now() >= event_ && time_.Now() < returned_) {
        result_.last_work = Seconds(time_.Now() - event_);
      }
    });
    fleet_.StartAll();
    time_.RunUntil(time_.Now() + kStartTime);
    const time_point begin = time_.Now() + times_.warm_up;
    event_ = begin + times_.steady;
    const time_point end = event_ + times_.out + times_.back + times_.after;
    WarmUp(time_, callers_, begin);
    callers_.Run(end + times_.longer);
    time_.RunUntil(event_);
    callers_.CountOpenFromNow();
    is_planned_ ? fleet_.Publish(place_.document_without) : fleet_.Kill(place_.domain);
    Watch();
    time_.RunUntil(event_ + times_.out);
    BringBack();
    time_.RunUntil(end + times_.longer + times_.rest);
    const time_point settled = event_ + times_.out + times_.back;
    const configuration& document = fleet_.Document();
    result_.phases = {Summarise(callers_.Calls(), document, begin, event_),
                      Summarise(callers_.Calls(), document, event_, settled),
                      Summarise(callers_.Calls(), document, settled, end)};
    result_.crashes = fleet_.EngineCounts().crashes;
    return result_;
  }

 private:
  void Watch() {
    if (fleet_.Running(place_.domain) == 0) {
      result_.empty_after = Seconds(time_.Now() - event_);
      return;
    }
    if (time_.Now() < returned_) {
      time_.After(kWatchInterval, [this] { Watch(); });
    }
  }

  void WatchWarmth() {
    time_.After(kWatchInterval, [this] {
      if (fleet_.IsWarm(place_.domain)) {
        result_.warm_after = Seconds(time_.Now() - returned_);
      } else {
        WatchWarmth();
      }
    });
  }

  void BringBack() {
    returned_ = time_.Now();
    WatchWarmth();
    if (is_planned_) {
      fleet_.RestartEngines(place_.domain);
      fleet_.Publish(place_.document);
    } else {
      fleet_.Replace(place_.domain);
    }
  }

  const deployment_case& place_;
  bool is_planned_;
  move_times times_;
  schedule time_;
  deployment fleet_;
  callers callers_;
  move_result result_;
  time_point event_ = time_point::max();
  time_point returned_ = time_point::max();
};

std::string Count(std::size_t value) { return std::to_string(value); }

std::string WarmAfter(const move_result& result) {
  return result.warm_after < 0 ? "never" : Fixed(result.warm_after, 1);
}

void AddRows(table& rows, const std::string& place, const variant& kind, bool is_planned,
             const move_result& result) {
  const std::array<std::string, 3> names{"steady", "during", "after"};
  for (std::size_t i = 0; i < names.size(); ++i) {
    const phase_figures& phase = result.phases[i];
    const bool is_during = i == 1;
    rows.Add({place,
              is_planned ? "planned" : "unplanned",
              kind.name,
              names[i],
              Count(phase.calls),
              Count(phase.in_time),
              Count(phase.refused),
              Count(phase.refusals),
              Count(phase.unknown),
              Count(phase.cut),
              Count(phase.wrong + phase.open),
              Fixed(phase.first_p50, 3),
              Fixed(phase.first_p95, 3),
              Fixed(phase.first_p99, 3),
              Fixed(phase.gap_p95, 1),
              is_during ? Fixed(result.last_work, 3) : "",
              is_during ? Fixed(result.empty_after, 2) : "",
              Fixed(phase.worst_small, 3),
              is_during ? Count(result.crashes) : "",
              is_during ? WarmAfter(result) : ""});
  }
}

}  // namespace

void MeasureMove(const run_options& options) {
  move_times times;
  if (options.is_smoke) {
    times = {std::chrono::seconds(12), std::chrono::seconds(4), std::chrono::seconds(6),
             std::chrono::seconds(4),  std::chrono::seconds(2), {},
             std::chrono::seconds(10)};
  }
  const std::vector<variant> kinds{
      {.name = "berylbarrow"},
      {.name = "load ratio", .policy = LoadRatioPolicy},
      {.name = "expected time",
       .policy =
           [] { return std::make_unique<expected_time_policy>(LoadRatioPolicy(), kColdFactor); }},
      {.name = "round robin", .policy = [] { return std::make_unique<round_robin_policy>(); }},
      {.name = "least reported",
       .policy = [] { return std::make_unique<least_reported_load_policy>(); }},
      {.name = "fixed limit", .has_cold_limit = false}};
  table rows(
      "Service while a failure domain leaves and returns, seed " + std::to_string(options.seed),
      {"deployment",    "event",
       "policy",        "phase",
       "calls",         "in time",
       "refused",       "refusals",
       "unknown",       "cut",
       "wrong or open", "first token p50 s",
       "p95 s",         "p99 s",
       "gap p95 ms",    "last new work s",
       "empty after s", "worst small account",
       "crashes",       "all warm after s"});
  for (const deployment_case& place : Cases(options)) {
    for (const bool is_planned : {true, false}) {
      std::vector<std::future<move_result>> results;
      results.reserve(kinds.size());
      for (const variant& kind : kinds) {
        results.push_back(std::async(kRunMode, [&place, &kind, is_planned, &times, &options] {
          return move_run(place, kind, is_planned, times, options.seed).Run();
        }));
      }
      for (std::size_t i = 0; i < kinds.size(); ++i) {
        AddRows(rows, place.name, kinds[i], is_planned, results[i].get());
      }
    }
  }
  Publish(rows, options, "move");
}

}  // namespace berylbarrow::bench
