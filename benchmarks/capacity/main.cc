#include <cxxopts.hpp>
#include <iostream>

#include "common/tool_main.h"
#include "measures.h"

namespace berylbarrow::bench {
namespace {

int Run(int argc, char** argv) {
  cxxopts::Options usage("berylbarrow-capacity",
                         "Measures what grows with the fleet and works out the design size; "
                         "prints tables in Markdown.");
  usage.add_options()("help", "print this text")("csv", "folder for CSV files",
                                                 cxxopts::value<std::string>()->default_value(""))(
      "smoke", "small documents and few repetitions");
  const auto given = usage.parse(argc, argv);
  if (given.count("help") > 0) {
    std::cout << usage.help();
    return 0;
  }
  const measure_options options{.csv = given["csv"].as<std::string>(),
                                .is_smoke = given.count("smoke") > 0};
  slopes result;
  MeasureDocument(options, result);
  MeasureHeartbeats(options, result);
  MeasureRequests(options, result);
  MeasureMemory(options, result);
  MeasureMaps(options, result);
  PrintBudget(options, result);
  return 0;
}

}  // namespace
}  // namespace berylbarrow::bench

int main(int argc, char** argv) {
  return berylbarrow::tools::ToolMain("berylbarrow-capacity", berylbarrow::bench::Run, argc, argv);
}
