#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "berylbarrow/process/agent/agent_core.h"
#include "berylbarrow/process/agent/run_agent.h"
#include "berylbarrow/process/cli/check.h"
#include "berylbarrow/process/cli/configuration_check.h"
#include "berylbarrow/process/companion/companion.h"
#include "berylbarrow/process/entry/entry_core.h"
#include "berylbarrow/process/entry/run_entry.h"
#include "berylbarrow/process/gateway/gateway.h"
#include "berylbarrow/process/gateway/gateway_settings.h"
#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/process/settings/settings.h"
#include "berylbarrow/process/telemetry/log.h"
#include "berylbarrow/version/configuration/document_parser.h"
#include "platform/configuration_words.h"
#include "platform/engine_api.h"
#include "platform/platform.h"
#include "process/cli/show.h"

namespace berylbarrow {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

constexpr const char* kSettingsVariable = "BERYLBARROW_SETTINGS";

constexpr const char* kUsage =
    R"(berylbarrow moves live model serving between failure domains.

Usage:
  berylbarrow entry SETTINGS            run an entry
  berylbarrow agent SETTINGS            run the agent of one upstream
  berylbarrow gateway [SETTINGS]        run an entry that reaches the upstreams itself
  berylbarrow companion [SETTINGS]      run the process beside a model engine
  berylbarrow check FILE                check settings, a published document or a configuration
  berylbarrow state ADDRESS             print the state of a process
  berylbarrow status ADDRESS [--table]  print the fleet as one entry sees it
  berylbarrow COMMAND --help            describe one command
  berylbarrow --version                 print the version

Exit codes:
  0  success
  1  findings, or the command failed
  2  wrong usage, or a file cannot be read
)";

struct command_line {
  std::string argument;
  bool table = false;
  std::string against;  // source of the version in force; empty: not given
};

struct command {
  std::string name;
  std::string argument;  // name of its only positional argument
  std::string summary;
  std::string notes;  // examples and exit codes
  bool has_table = false;
  const char* default_variable =
      nullptr;  // of the environment; holds the argument if none is given
  bool has_against = false;
  int (*run)(const command_line& line);
};

process_identity MakeIdentity(const process_settings& settings, const runtime_clock& clock) {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> any;
  return {.name = settings.name,
          .role = settings.role,
          .domain = settings.domain,
          .incarnation = any(device),
          .generation = static_cast<std::uint64_t>(clock.WallNow().time_since_epoch().count())};
}

/// Reads settings with `parse`(text, path). Prints what is wrong with them on standard error;
/// `exit_code` is set if there is no value.
template <typename Settings, typename Parse>
std::optional<Settings> ReadSettings(const std::string& path, int& exit_code, Parse parse) {
  std::ifstream file(path);
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (!file.is_open() || file.bad()) {
    std::cerr << "berylbarrow: cannot read " << path << "\n";
    exit_code = kExitUsage;
    return std::nullopt;
  }
  checked<Settings> settings = parse(text, path);
  if (settings) return std::move(settings.value());
  for (const finding& each : settings.error()) {
    std::cerr << each.file << ":" << each.line << ":" << each.column << ": " << each.message
              << "\n";
  }
  exit_code = kExitFailure;
  return std::nullopt;
}

std::optional<process_settings> ReadProcessSettings(process_role role, const std::string& path,
                                                    int& exit_code) {
  return ReadSettings<process_settings>(path, exit_code,
                                        [role](const std::string& text, const std::string& file) {
                                          return ParseSettings(role, text, file);
                                        });
}

int RunEntryCommand(const command_line& line) {
  int exit_code = kExitOk;
  const auto settings = ReadProcessSettings(process_role::kEntry, line.argument, exit_code);
  if (!settings) return exit_code;
  const system_clock clock;
  logger::WriteTo(STDOUT_FILENO);
  logger::Configure(settings->log, settings->name, settings->domain, clock);
  const process_identity identity = MakeIdentity(*settings, clock);
  const document_parser parser;
  auto core = MakeEntryCore({.identity = identity,
                             .limits = settings->limits,
                             .seeds = settings->seeds,
                             .seed = identity.incarnation},
                            parser);
  return RunEntry(*settings, std::move(core), clock, identity);
}

int RunAgentCommand(const command_line& line) {
  int exit_code = kExitOk;
  const auto settings = ReadProcessSettings(process_role::kAgent, line.argument, exit_code);
  if (!settings) return exit_code;
  const system_clock clock;
  logger::WriteTo(STDOUT_FILENO);
  logger::Configure(settings->log, settings->name, settings->domain, clock);
  const process_identity identity = MakeIdentity(*settings, clock);
  const document_parser parser;
  auto core = MakeAgentCore({.identity = identity,
                             .service = settings->service,
                             .limits = settings->limits,
                             .seeds = settings->seeds,
                             .seed = identity.incarnation},
                            parser);
  return RunAgent(*settings, std::move(core), clock, identity);
}

int RunGatewayCommand(const command_line& line) {
  int exit_code = kExitOk;
  const auto settings =
      ReadSettings<gateway_settings>(line.argument, exit_code, ParseGatewaySettings);
  if (!settings) return exit_code;
  const system_clock clock;
  logger::WriteTo(STDOUT_FILENO);
  logger::Configure(settings->log, settings->name, settings->domain, clock);
  return RunGateway(*settings, platform::MakeGatewayPlatform(*settings, clock), clock);
}

int RunCompanionCommand(const command_line& line) {
  int exit_code = kExitOk;
  const auto settings =
      ReadSettings<companion_settings>(line.argument, exit_code, ParseCompanionSettings);
  if (!settings) return exit_code;
  const system_clock clock;
  logger::WriteTo(STDOUT_FILENO);
  logger::Configure(settings->log, settings->name, settings->domain, clock);
  return RunCompanion(*settings, platform::engine_api(), clock);
}

int RunCheckCommand(const command_line& line) {
  const platform::store_configuration_format format;
  const auto text = ReadConfigurationFile(line.argument);
  if (text && format.IsConfiguration(*text)) {
    return RunConfigurationCheck({.path = line.argument, .in_force = line.against}, *text, format,
                                 std::cout, std::cerr);
  }
  if (!line.against.empty()) {
    std::cerr << line.argument << ": --against is for configurations in JSON\n";
    return kExitUsage;
  }
  return RunCheck(line.argument, std::cout, std::cerr);
}

int RunStateCommand(const command_line& line) {
  return Show(line.argument, "state", show_format::kJson, std::cout, std::cerr);
}

int RunStatusCommand(const command_line& line) {
  return Show(line.argument, "status", line.table ? show_format::kTable : show_format::kJson,
              std::cout, std::cerr);
}

std::vector<command> Commands() {
  const std::string run_codes =
      "Exit codes:\n"
      "  0  ended after SIGTERM or SIGINT, with every request completed\n"
      "  1  the settings are invalid, or an address cannot be used\n"
      "  2  wrong usage, or the settings cannot be read\n";
  const std::string show_codes =
      "Exit codes:\n"
      "  0  printed\n"
      "  1  the process does not answer with JSON within 2 s\n"
      "  2  wrong usage\n";
  return {
      {.name = "entry",
       .argument = "SETTINGS",
       .summary = "Runs an entry with the YAML settings in SETTINGS.",
       .notes = "Example:\n  berylbarrow entry entry-1.yaml\n\n" + run_codes,
       .has_table = false,
       .run = RunEntryCommand},
      {.name = "agent",
       .argument = "SETTINGS",
       .summary = "Runs the agent of one upstream with the YAML settings in SETTINGS.",
       .notes = "Example:\n  berylbarrow agent agent-1.yaml\n\n" + run_codes,
       .has_table = false,
       .run = RunAgentCommand},
      {.name = "gateway",
       .argument = "SETTINGS",
       .summary = "Runs an entry that reaches the upstreams itself, with the YAML settings in "
                  "SETTINGS or in the file that " +
                  std::string(kSettingsVariable) + " names.",
       .notes = "Example:\n  berylbarrow gateway gateway-1.yaml\n\n" + run_codes,
       .has_table = false,
       .default_variable = kSettingsVariable,
       .run = RunGatewayCommand},
      {.name = "companion",
       .argument = "SETTINGS",
       .summary = "Runs the companion of a model engine, with the YAML settings in SETTINGS or in "
                  "the file that " +
                  std::string(kSettingsVariable) + " names.",
       .notes = "Example:\n  berylbarrow companion companion-1.yaml\n\n" + run_codes,
       .has_table = false,
       .default_variable = kSettingsVariable,
       .run = RunCompanionCommand},
      {.name = "check",
       .argument = "FILE",
       .summary = "Checks the settings of a process, a published document or a configuration in "
                  "JSON, and prints every finding with its place.",
       .notes = "Examples:\n  berylbarrow check document.yaml\n"
                "  berylbarrow check --against 10.0.0.2:8424 configuration.json\n\n"
                "Exit codes:\n  0  valid\n  1  findings\n"
                "  2  wrong usage, or FILE or the version in force cannot be read\n",
       .has_table = false,
       .has_against = true,
       .run = RunCheckCommand},
      {.name = "state",
       .argument = "ADDRESS",
       .summary =
           "Prints the state dump of the process whose operator address is ADDRESS, as JSON.",
       .notes = "Example:\n  berylbarrow state 10.0.0.7:9100\n\n" + show_codes,
       .has_table = false,
       .run = RunStateCommand},
      {.name = "status",
       .argument = "ADDRESS",
       .summary = "Prints the fleet as the entry with operator address ADDRESS sees it.",
       .notes = "Examples:\n  berylbarrow status 10.0.0.7:9100\n"
                "  berylbarrow status --table 10.0.0.7:9100\n\n" +
                show_codes,
       .has_table = true,
       .run = RunStatusCommand},
  };
}

int UsageError(const std::string& message) {
  std::cerr << "berylbarrow: " << message << "\n\n" << kUsage;
  return kExitUsage;
}

int RunCommand(const command& chosen, int argc, char** argv) {
  cxxopts::Options options("berylbarrow " + chosen.name, chosen.summary);
  options.add_options()("h,help", "describe this command");
  if (chosen.has_table) options.add_options()("table", "print tables instead of JSON");
  if (chosen.has_against) {
    options.add_options()("against",
                          "also print what differs from the version in force, which is in this "
                          "file or in the store at this address",
                          cxxopts::value<std::string>());
  }
  options.add_options("hidden")("argument", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"argument"});
  options.positional_help(chosen.argument);
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help({""}) << "\n" << chosen.notes;
      return kExitOk;
    }
    const bool given = parsed.count("argument") > 0;
    auto arguments =
        given ? parsed["argument"].as<std::vector<std::string>>() : std::vector<std::string>();
    const char* const fallback =
        chosen.default_variable == nullptr ? nullptr : std::getenv(chosen.default_variable);
    if (arguments.empty() && fallback != nullptr) arguments.emplace_back(fallback);
    if (arguments.size() != 1) {
      return UsageError("\"" + chosen.name + "\" needs exactly one " + chosen.argument);
    }
    command_line line{.argument = arguments.front()};
    line.table = chosen.has_table && parsed.count("table") > 0;
    if (parsed.count("against") > 0) line.against = parsed["against"].as<std::string>();
    return chosen.run(line);
  } catch (const cxxopts::exceptions::exception& error) {
    return UsageError(error.what());
  }
}

int Run(int argc, char** argv) {
  if (argc < 2) return UsageError("a command is missing");
  const std::string name = argv[1];
  if (name == "--help" || name == "-h") {
    std::cout << kUsage;
    return kExitOk;
  }
  if (name == "--version") {
    std::cout << "berylbarrow " << BERYLBARROW_VERSION << "\n";
    return kExitOk;
  }
  for (const command& each : Commands()) {
    if (each.name == name) return RunCommand(each, argc - 1, argv + 1);
  }
  return UsageError("there is no command \"" + name + "\"");
}

}  // namespace
}  // namespace berylbarrow

int main(int argc, char** argv) {
  try {
    return berylbarrow::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "berylbarrow: " << error.what() << "\n";
    return 1;
  }
}
