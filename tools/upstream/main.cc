#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>
#include <iostream>

#include "common/tool_main.h"
#include "upstream/engine.h"

namespace berylbarrow::tools {
namespace {

std::string DefaultInstance() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(getpid()) + "-" + std::to_string(now.count());
}

int Run(int argc, char** argv) {
  cxxopts::Options usage("berylbarrow-upstream", "Stand-in for a model engine or a plain service");
  usage.add_options()("help", "print this text")(
      "listen", "IP:port", cxxopts::value<std::string>()->default_value("127.0.0.1:9000"))(
      "kind", "model or plain", cxxopts::value<std::string>()->default_value("model"))(
      "instance-start", "instance id that GET /load reports; default: process id and time",
      cxxopts::value<std::string>()->default_value(""))(
      "first-token-ms", "time to the first token", cxxopts::value<double>()->default_value("50"))(
      "token-ms", "time between tokens", cxxopts::value<double>()->default_value("10"))(
      "service-ms", "service time of kind plain", cxxopts::value<double>()->default_value("5"))(
      "cold-seconds", "length of the cold start", cxxopts::value<double>()->default_value("0"))(
      "cold-limit", "concurrent requests above which a cold start crashes",
      cxxopts::value<std::uint32_t>()->default_value("2"))(
      "max-running", "concurrent requests; others wait",
      cxxopts::value<std::uint32_t>()->default_value("64"))(
      "cache-entries", "prompt prefixes kept",
      cxxopts::value<std::uint32_t>()->default_value("64"))(
      "load-lag-ms", "age of the load report, at most",
      cxxopts::value<std::uint32_t>()->default_value("200"))(
      "ledger-file", "file to which executed operations are appended",
      cxxopts::value<std::string>()->default_value(""));
  const auto given = usage.parse(argc, argv);
  if (given.count("help") > 0) {
    std::cout << usage.help();
    return 0;
  }
  const auto kind = given["kind"].as<std::string>();
  if (kind != "model" && kind != "plain") {
    std::cerr << "berylbarrow-upstream: --kind must be model or plain\n";
    return kUsageError;
  }
  auto instance = given["instance-start"].as<std::string>();
  boost::asio::io_context context(1);
  const engine engine(context, {.listen = given["listen"].as<std::string>(),
                                .model = kind == "model",
                                .instance = instance.empty() ? DefaultInstance() : instance,
                                .first_token_ms = given["first-token-ms"].as<double>(),
                                .token_ms = given["token-ms"].as<double>(),
                                .service_ms = given["service-ms"].as<double>(),
                                .cold_seconds = given["cold-seconds"].as<double>(),
                                .cold_limit = given["cold-limit"].as<std::uint32_t>(),
                                .max_running = given["max-running"].as<std::uint32_t>(),
                                .cache_entries = given["cache-entries"].as<std::uint32_t>(),
                                .load_lag_ms = given["load-lag-ms"].as<std::uint32_t>(),
                                .ledger_file = given["ledger-file"].as<std::string>()});
  RunUntilSignal(context);
  return 0;
}

}  // namespace
}  // namespace berylbarrow::tools

int main(int argc, char** argv) {
  return berylbarrow::tools::ToolMain("berylbarrow-upstream", berylbarrow::tools::Run, argc, argv);
}
