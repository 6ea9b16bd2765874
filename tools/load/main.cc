#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <random>
#include <stdexcept>

#include "common/tool_main.h"
#include "load/generator.h"

namespace berylbarrow::tools {
namespace {

using strings = std::vector<std::string>;

cxxopts::Options Usage() {
  cxxopts::Options usage(
      "berylbarrow-load",
      "Sends drafts, lookups and payments and checks every byte of the answers.\n"
      "Exit code: 0 all answers right, 1 wrong or incomplete answers, 2 usage or I/O error");
  usage.add_options()("help", "print this text")(
      "entries", "entries to ask for an address, IP:port,...", cxxopts::value<strings>())(
      "direct", "send drafts to this model upstream, without the system",
      cxxopts::value<std::string>()->default_value(""))(
      "direct-plain", "send lookups and payments to this plain upstream, without the system",
      cxxopts::value<std::string>()->default_value(""))(
      "draft-service", "model service", cxxopts::value<std::string>()->default_value("forms"))(
      "model", "field \"model\" of drafts", cxxopts::value<std::string>()->default_value("forms"))(
      "plain-service", "service of lookups and payments",
      cxxopts::value<std::string>()->default_value("payments"))(
      "lookup-path", "path of lookups", cxxopts::value<std::string>()->default_value("/status"))(
      "payment-path", "path of payments", cxxopts::value<std::string>()->default_value("/pay"))(
      "accounts", "client accounts", cxxopts::value<strings>())(
      "mix", "relative frequency of drafts,lookups,payments",
      cxxopts::value<std::vector<std::uint32_t>>()->default_value("6,3,1"))(
      "connections", "callers with a connection each",
      cxxopts::value<std::uint32_t>()->default_value("8"))(
      "rate", "calls per second; 0: the next one at once",
      cxxopts::value<double>()->default_value("20"))("seconds", "length of the run",
                                                     cxxopts::value<double>()->default_value("10"))(
      "max-tokens", "tokens of a draft", cxxopts::value<std::uint32_t>()->default_value("20"))(
      "prompts", "different prompt prefixes", cxxopts::value<std::uint32_t>()->default_value("16"))(
      "prompt-bytes", "length of a prompt", cxxopts::value<std::uint32_t>()->default_value("600"))(
      "deadline-ms", "deadline of a call", cxxopts::value<std::uint32_t>()->default_value("30000"))(
      "max-attempts", "times an unanswered call is sent",
      cxxopts::value<std::uint32_t>()->default_value("4"))("seed", "default: random",
                                                           cxxopts::value<std::uint64_t>())(
      "ledgers", "plain upstreams whose ledger is checked at the end", cxxopts::value<strings>())(
      "csv", "file for one row per second", cxxopts::value<std::string>()->default_value(""));
  return usage;
}

strings List(const cxxopts::ParseResult& given, const std::string& name) {
  return given.count(name) > 0 ? given[name].as<strings>() : strings{};
}

load_options ReadOptions(const cxxopts::ParseResult& given) {
  load_options options{
      .entries = List(given, "entries"),
      .direct_model = given["direct"].as<std::string>(),
      .direct_plain = given["direct-plain"].as<std::string>(),
      .draft_service = given["draft-service"].as<std::string>(),
      .model = given["model"].as<std::string>(),
      .plain_service = given["plain-service"].as<std::string>(),
      .lookup_path = given["lookup-path"].as<std::string>(),
      .payment_path = given["payment-path"].as<std::string>(),
      .accounts = List(given, "accounts"),
      .connections = given["connections"].as<std::uint32_t>(),
      .rate = given["rate"].as<double>(),
      .seconds = given["seconds"].as<double>(),
      .max_tokens = given["max-tokens"].as<std::uint32_t>(),
      .prompts = given["prompts"].as<std::uint32_t>(),
      .prompt_bytes = given["prompt-bytes"].as<std::uint32_t>(),
      .deadline_ms = given["deadline-ms"].as<std::uint32_t>(),
      .max_attempts = given["max-attempts"].as<std::uint32_t>(),
      .seed = given.count("seed") > 0 ? given["seed"].as<std::uint64_t>() : std::random_device{}(),
      .ledgers = List(given, "ledgers"),
      .csv = given["csv"].as<std::string>()};
  const auto mix = given["mix"].as<std::vector<std::uint32_t>>();
  if (mix.size() != kCallKinds || mix[0] + mix[1] + mix[2] == 0) {
    throw std::runtime_error("--mix needs three numbers, not all zero");
  }
  std::copy(mix.begin(), mix.end(), options.mix.begin());
  if (options.entries.empty() && !options.Direct()) {
    throw std::runtime_error("--entries, --direct or --direct-plain is needed");
  }
  if (options.Direct() && ((mix[0] > 0 && options.direct_model.empty()) ||
                           (mix[1] + mix[2] > 0 && options.direct_plain.empty()))) {
    throw std::runtime_error("--mix has calls for which there is no direct address");
  }
  if (options.connections == 0 || options.prompts == 0) {
    throw std::runtime_error("--connections and --prompts must be at least 1");
  }
  return options;
}

int Run(int argc, char** argv) {
  auto usage = Usage();
  const auto given = usage.parse(argc, argv);
  if (given.count("help") > 0) {
    std::cout << usage.help();
    return 0;
  }
  const auto options = ReadOptions(given);
  boost::asio::io_context context(1);
  results results;
  generator generator(context, options, results);
  generator.Run();
  const bool ledgers_read = generator.ReadLedgers();
  std::cout << "seed " << options.seed << '\n';
  results.PrintTable(std::cout);
  if (!options.csv.empty()) {
    std::ofstream file(options.csv);
    results.PrintCsv(file);
    if (!file.flush()) {
      throw std::runtime_error("cannot write " + options.csv);
    }
  }
  if (!ledgers_read) {
    throw std::runtime_error("a ledger could not be read");
  }
  return results.Passed() ? 0 : 1;
}

}  // namespace
}  // namespace berylbarrow::tools

int main(int argc, char** argv) {
  return berylbarrow::tools::ToolMain("berylbarrow-load", berylbarrow::tools::Run, argc, argv);
}
