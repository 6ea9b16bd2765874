#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "common/tool_main.h"
#include "platform/platform.h"

namespace berylbarrow::tools {
namespace {

std::string ReadFile(const std::string& name) {
  const std::ifstream in(name);
  if (!in) {
    throw std::runtime_error("cannot read " + name);
  }
  std::ostringstream text;
  text << in.rdbuf();
  return std::move(text).str();
}

int Run(int argc, char** argv) {
  cxxopts::Options usage("berylbarrow-platform",
                         "Stand-in for the configuration service and the instance list");
  usage.add_options()("help", "print this text")(
      "listen", "IP:port", cxxopts::value<std::string>()->default_value("127.0.0.1:8500"))(
      "config", "file with revision 1", cxxopts::value<std::string>()->default_value(""))(
      "instances", "file with the instance list", cxxopts::value<std::string>()->default_value(""))(
      "instances-lag-ms", "time until a change of the instance list is visible",
      cxxopts::value<std::uint32_t>()->default_value("0"));
  const auto given = usage.parse(argc, argv);
  if (given.count("help") > 0) {
    std::cout << usage.help();
    return 0;
  }
  boost::asio::io_context context(1);
  platform platform(context, given["listen"].as<std::string>(),
                    given["instances-lag-ms"].as<std::uint32_t>());
  if (const auto file = given["config"].as<std::string>(); !file.empty()) {
    platform.Publish(ReadFile(file));
  }
  if (const auto file = given["instances"].as<std::string>(); !file.empty()) {
    platform.SetInstances(ReadFile(file));
  }
  RunUntilSignal(context);
  return 0;
}

}  // namespace
}  // namespace berylbarrow::tools

int main(int argc, char** argv) {
  return berylbarrow::tools::ToolMain("berylbarrow-platform", berylbarrow::tools::Run, argc, argv);
}
