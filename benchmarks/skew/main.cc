#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "berylbarrow/version/expert/placement_policy.h"
#include "berylbarrow/version/expert/rebalancer.h"
#include "common/tool_main.h"
#include "load_model.h"

namespace berylbarrow {
namespace {

constexpr duration kStepTime = std::chrono::milliseconds(40);
constexpr double kBytesPerExpert = 40e6;
constexpr double kStoreBytesPerSecond = 2e9;
constexpr std::uint64_t kGreedyInterval = 1024;  // steps between full re-placements

struct policy_result {
  std::string name;
  std::uint32_t ranks = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double moved_per_hour = 0;
  double rounds_per_hour = 0;
  double slowed = 0;  // share of the steps during which weights load
};

double Quantile(std::vector<double> values, double share) {
  const auto place = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + place, values.end());
  return values[static_cast<std::size_t>(place)];
}

/// Decides after each step whether the map changes.
class contestant {
 public:
  explicit contestant(std::string name) : name_(std::move(name)) {}
  virtual ~contestant() = default;
  virtual void After(const expert_load& step, const expert_load& expected, time_point now,
                     expert_map& map) = 0;
  const std::string& Name() const { return name_; }

 private:
  std::string name_;
};

class with_rebalancer final : public contestant {
 public:
  with_rebalancer(std::string name, const rebalancer_options& options,
                  const incremental_options& placement)
      : contestant(std::move(name)), policy_(placement), rebalancer_(options, policy_) {}
  void After(const expert_load& step, const expert_load& /*expected*/, time_point now,
             expert_map& map) override {
    rebalancer_.Observe(step);
    if (auto next = rebalancer_.Consider(map, now)) {
      map = std::move(*next);
    }
  }

 private:
  incremental_placement policy_;
  rebalancer rebalancer_;
};

/// Full re-placement at each interval from the same predictor, whatever it costs.
class full_greedy final : public contestant {
 public:
  full_greedy() : contestant("full greedy") {}
  void After(const expert_load& step, const expert_load& /*expected*/, time_point /*now*/,
             expert_map& map) override {
    predictor_.Observe(step);
    if (predictor_.Steps() % kGreedyInterval == 0) {
      map = policy_.Propose(map, predictor_.Predicted(), 0);
    }
  }

 private:
  load_predictor predictor_{256};
  greedy_placement policy_;
};

/// Re-places everything each 64 steps from the true popularity: what spare slots can reach.
class oracle final : public contestant {
 public:
  oracle() : contestant("bound (true load)") {}
  void After(const expert_load& /*step*/, const expert_load& expected, time_point /*now*/,
             expert_map& map) override {
    if (steps_++ % 64 == 0) {
      map = policy_.Propose(map, expected, 0);
    }
  }

 private:
  std::uint64_t steps_ = 0;
  greedy_placement policy_;
};

class never final : public contestant {
 public:
  never() : contestant("static map") {}
  void After(const expert_load& /*step*/, const expert_load& /*expected*/, time_point /*now*/,
             expert_map& /*map*/) override {}
};

duration LoadTime(std::size_t experts) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      static_cast<double>(experts) * kBytesPerExpert / kStoreBytesPerSecond));
}

policy_result Run(contestant& subject, const load_options& options, std::uint64_t steps,
                  std::uint64_t seed) {
  load_model model(options, seed);
  expert_map map = expert_map::Initial(options.shape);
  std::vector<double> skew;
  std::size_t moved = 0;
  std::size_t rounds = 0;
  std::size_t slowed = 0;
  time_point loaded;  // when the weights of the last change are there
  time_point now;
  // The first placement is the same for all and is not counted.
  const std::uint64_t warm_up = std::max<std::uint64_t>(4 * kGreedyInterval, steps / 10);
  for (std::uint64_t step = 0; step < steps; ++step) {
    const expert_load load = model.Step();
    if (step >= warm_up) {
      slowed += now < loaded ? 1 : 0;
      skew.push_back(StepSkew(map, load));
    }
    const expert_map before = map;
    subject.After(load, model.Expected(), now, map);
    if (step >= warm_up && map.Version() != before.Version()) {
      const std::size_t experts = MovedExperts(before, map);
      moved += experts;
      ++rounds;
      loaded = std::max(loaded, now) + LoadTime(experts);
    }
    now += kStepTime;
  }
  const double hours = std::chrono::duration<double, std::ratio<3600>>(
                           kStepTime * static_cast<std::int64_t>(steps - warm_up))
                           .count();
  return {.name = subject.Name(),
          .ranks = options.shape.ranks,
          .p50 = Quantile(skew, 0.50),
          .p95 = Quantile(skew, 0.95),
          .p99 = Quantile(skew, 0.99),
          .moved_per_hour = static_cast<double>(moved) / hours,
          .rounds_per_hour = static_cast<double>(rounds) / hours,
          .slowed = static_cast<double>(slowed) / static_cast<double>(skew.size())};
}

void Print(const policy_result& result, std::ostream& csv) {
  const double gigabytes = result.moved_per_hour * kBytesPerExpert / 1e9;
  const double store_seconds = result.moved_per_hour * kBytesPerExpert / kStoreBytesPerSecond;
  std::printf("%5u  %-20s %7.3f %7.3f %7.3f %12.0f %10.1f %10.1f %8.0f %8.4f\n", result.ranks,
              result.name.c_str(), result.p50, result.p95, result.p99, result.moved_per_hour,
              gigabytes, store_seconds, result.rounds_per_hour, result.slowed);
  csv << result.ranks << ',' << result.name << ',' << result.p50 << ',' << result.p95 << ','
      << result.p99 << ',' << result.moved_per_hour << ',' << gigabytes << ',' << store_seconds
      << ',' << result.rounds_per_hour << ',' << result.slowed << '\n';
}

std::vector<std::unique_ptr<contestant>> Contestants() {
  const rebalancer_options options{.bytes_per_expert = kBytesPerExpert,
                                   .bytes_per_second = kStoreBytesPerSecond};
  std::vector<std::unique_ptr<contestant>> all;
  all.push_back(std::make_unique<never>());
  all.push_back(std::make_unique<full_greedy>());
  all.push_back(std::make_unique<with_rebalancer>("incremental", options, incremental_options{}));
  rebalancer_options eager = options;
  eager.payback = 0;
  all.push_back(std::make_unique<with_rebalancer>("  without payback", eager,
                                                  incremental_options{.min_gain_per_move = 0}));
  all.push_back(std::make_unique<oracle>());
  return all;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("berylbarrow-skew", "Step-time skew and cost of rebalancing experts.");
  options.add_options()("steps", "steps per run",
                        cxxopts::value<std::uint64_t>()->default_value("20000"))(
      "seed", "seed of the load", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "spare", "spare slots per rank", cxxopts::value<std::uint32_t>()->default_value("1"))(
      "csv", "file for the results", cxxopts::value<std::string>()->default_value(""))(
      "help", "print this text");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  constexpr std::uint32_t kExperts = 128;
  std::ofstream csv(arguments["csv"].as<std::string>());
  csv << "ranks,policy,p50,p95,p99,experts_per_hour,gigabytes_per_hour,store_seconds_per_hour,"
         "rounds_per_hour,slowed_step_share\n";
  std::printf(
      "ranks  policy                   p50     p95     p99  experts/h       GB/h    store "
      "s/h rounds/h   slowed\n");
  for (const std::uint32_t ranks : {8U, 32U, 128U}) {
    load_options load;
    load.shape = {.ranks = ranks,
                  .layers = 2,
                  .experts = kExperts,
                  .slots_per_rank = kExperts / ranks + arguments["spare"].as<std::uint32_t>()};
    for (const auto& subject : Contestants()) {
      Print(Run(*subject, load, arguments["steps"].as<std::uint64_t>(),
                arguments["seed"].as<std::uint64_t>()),
            csv);
    }
  }
  return 0;
}

}  // namespace
}  // namespace berylbarrow

int main(int argc, char** argv) {
  return berylbarrow::tools::ToolMain("berylbarrow-skew", berylbarrow::Main, argc, argv);
}
