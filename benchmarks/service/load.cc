#include "runs.h"
#include "scenarios.h"

namespace berylbarrow::bench {
namespace {

// Drafts per second called 100 % load. The formula of the engine model gives 68 for the 16 warm
// upstreams of Solano; 60 leaves room for uneven load.
constexpr double kFullDrafts = 60;
constexpr duration kLatenessTolerated = std::chrono::milliseconds(10);

struct load_result {
  std::vector<call> calls;
  fleet_counts counts;
  engine_counts engines;
  std::uint64_t started_late = 0;
  std::size_t hot = 0;
  time_point from;
  time_point until;
  configuration document;
};

load_result RunLoad(const run_options& options, const variant& kind, caller_options load) {
  const deployment_case place = Cases(options).front();
  schedule time;
  deployment fleet(time, {.kind = kind,
                          .document = place.document,
                          .client_latency = place.client_latency,
                          .seed = options.seed});
  load.seed = options.seed;
  callers source(time, fleet, load);
  load_result result;
  fleet.OnStart([&](const std::string& /*domain*/, const work_order& order) {
    const duration late = time.Now() - source.Calls()[order.call].deadline;
    // Each of two hops adds its latency to the deadline that it is told.
    result.started_late += late > kLatenessTolerated ? 1 : 0;
  });
  fleet.StartAll();
  time.RunUntil(time.Now() + kStartTime);
  const duration warm_up = std::chrono::seconds(options.is_smoke ? 4 : 60);
  result.from = time.Now() + warm_up;
  result.until = result.from + std::chrono::seconds(options.is_smoke ? 3 : 30);
  WarmUp(time, source, result.from);
  source.Run(result.until);
  time.RunUntil(result.until + load.draft_deadline + std::chrono::seconds(5));
  result.calls = source.Calls();
  result.counts = fleet.Counts();
  result.engines = fleet.EngineCounts();
  result.hot = source.HotAccount();
  result.document = fleet.Document();
  return result;
}

std::string Count(std::uint64_t value) { return std::to_string(value); }

double Ratio(double part, double whole) { return whole > 0 ? part / whole : 0; }

}  // namespace

void MeasureRetries(const run_options& options) {
  table rows("Attempts per request by load, seed " + std::to_string(options.seed),
             {"load %", "retry budget", "requests", "dispatches", "attempts per request",
              "whole in time", "refused", "first token p95 s"});
  for (const double load : {1.0, 1.5, 3.0}) {
    for (const bool has_budget : {true, false}) {
      const load_result result =
          RunLoad(options, {.name = has_budget ? "yes" : "no", .has_retry_budget = has_budget},
                  {.drafts_per_second = kFullDrafts * load});
      std::uint64_t sends = 0;
      for (const call& item : result.calls) {
        sends += item.sends;
      }
      const phase_figures phase =
          Summarise(result.calls, result.document, result.from, result.until);
      rows.Add(
          {Fixed(load * 100, 0), has_budget ? "yes" : "no", Count(sends),
           Count(result.counts.dispatches),
           Fixed(Ratio(static_cast<double>(result.counts.dispatches), static_cast<double>(sends)),
                 3),
           Count(phase.in_time), Count(phase.refused), Fixed(phase.first_p95, 3)});
    }
  }
  Publish(rows, options, "retries");
}

void MeasureAffinity(const run_options& options) {
  table rows(
      "Prefix affinity, seed " + std::to_string(options.seed),
      {"drafts per s", "affinity", "cache hit share", "first token p50 s", "p95 s", "gap p95 ms"});
  for (const double drafts : {20.0, 36.0, 50.0}) {
    for (const bool has_affinity : {true, false}) {
      const variant kind{.name = "", .policy = [has_affinity] {
                           return std::make_unique<power_of_two_policy>(
                               power_of_two_options{.prefix_affinity = has_affinity});
                         }};
      const load_result result = RunLoad(options, kind, {.drafts_per_second = drafts});
      const phase_figures phase =
          Summarise(result.calls, result.document, result.from, result.until);
      rows.Add({Fixed(drafts, 0), has_affinity ? "yes" : "no",
                Fixed(Ratio(static_cast<double>(result.engines.hits),
                            static_cast<double>(result.engines.lookups)),
                      3),
                Fixed(phase.first_p50, 3), Fixed(phase.first_p95, 3), Fixed(phase.gap_p95, 1)});
    }
  }
  Publish(rows, options, "affinity");
}

void MeasureFairness(const run_options& options) {
  table rows(
      "One small account at ten times its share, seed " + std::to_string(options.seed),
      {"fair queueing", "accounts", "drafts", "whole in time", "share", "first token p95 s"});
  for (const bool is_fair : {true, false}) {
    const load_result result = RunLoad(options, {.name = "", .is_fair = is_fair},
                                       {.drafts_per_second = kFullDrafts * 1.5, .hot_factor = 10});
    const auto add = [&](const char* name, bool (*has)(std::size_t, std::size_t)) {
      const account_figures figures =
          SummariseAccounts(result.calls, result.from, result.until, has, result.hot);
      rows.Add(
          {is_fair ? "yes" : "no", name, Count(figures.calls), Count(figures.whole),
           Fixed(Ratio(static_cast<double>(figures.whole), static_cast<double>(figures.calls)), 3),
           Fixed(figures.first_p95, 3)});
    };
    add("the hot one", [](std::size_t account, std::size_t hot) { return account == hot; });
    add("all others", [](std::size_t account, std::size_t hot) { return account != hot; });
  }
  Publish(rows, options, "fairness");
}

void MeasureDeadline(const run_options& options) {
  table rows("Work started after its deadline, seed " + std::to_string(options.seed),
             {"deadline s", "sent as", "starts", "started late", "whole in time", "refused"});
  for (const int seconds : {9, 12, 15}) {
    for (const bool sends_remaining : {true, false}) {
      const load_result result = RunLoad(options, {.name = "", .sends_remaining = sends_remaining},
                                         {.drafts_per_second = kFullDrafts * 3,
                                          .draft_deadline = std::chrono::seconds(seconds),
                                          .sends_remaining = sends_remaining});
      const phase_figures phase =
          Summarise(result.calls, result.document, result.from, result.until);
      rows.Add({std::to_string(seconds), sends_remaining ? "time remaining" : "original deadline",
                Count(result.counts.starts), Count(result.started_late), Count(phase.in_time),
                Count(phase.refused)});
    }
  }
  Publish(rows, options, "deadline");
}

}  // namespace berylbarrow::bench
