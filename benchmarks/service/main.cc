#include <cxxopts.hpp>
#include <iostream>
#include <map>

#include "common/tool_main.h"
#include "scenarios.h"

namespace berylbarrow::bench {
namespace {

using measure = void (*)(const run_options&);

int Run(int argc, char** argv) {
  const std::map<std::string, measure> measures{{"move", MeasureMove},
                                                {"retries", MeasureRetries},
                                                {"affinity", MeasureAffinity},
                                                {"fairness", MeasureFairness},
                                                {"deadline", MeasureDeadline}};
  cxxopts::Options usage("berylbarrow-service",
                         "Measures the decision cores of a deployment in virtual time and prints "
                         "tables in Markdown.");
  usage.add_options()("help", "print this text")(
      "measure", "move, retries, affinity, fairness, deadline; default: all",
      cxxopts::value<std::string>()->default_value(""))(
      "examples", "folder of the documents",
      cxxopts::value<std::string>()->default_value("examples"))(
      "csv", "folder for CSV files", cxxopts::value<std::string>()->default_value(""))(
      "seed", "seed of all random choices", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "smoke", "short phases and one deployment");
  const auto given = usage.parse(argc, argv);
  if (given.count("help") > 0) {
    std::cout << usage.help();
    return 0;
  }
  const run_options options{.examples = given["examples"].as<std::string>(),
                            .csv = given["csv"].as<std::string>(),
                            .seed = given["seed"].as<std::uint64_t>(),
                            .is_smoke = given.count("smoke") > 0};
  const std::string chosen = given["measure"].as<std::string>();
  if (!chosen.empty() && !measures.contains(chosen)) {
    std::cerr << "berylbarrow-service: there is no measure \"" << chosen << "\"\n";
    return 2;
  }
  for (const auto& [name, run] : measures) {
    if (chosen.empty() || chosen == name) {
      run(options);
    }
  }
  return 0;
}

}  // namespace
}  // namespace berylbarrow::bench

int main(int argc, char** argv) {
  return berylbarrow::tools::ToolMain("berylbarrow-service", berylbarrow::bench::Run, argc, argv);
}
