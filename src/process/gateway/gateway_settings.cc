#include "berylbarrow/process/gateway/gateway_settings.h"

#include <optional>
#include <utility>

#include "process/runtime/map_reader.h"
#include "process/runtime/scalar_format.h"
#include "process/runtime/yaml_tree.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

/// Reads a settings file by sections. Has functions for those that gateways and companions share.
class settings_file_reader {
 public:
  settings_file_reader(const yaml_node& root, finding_list& findings)
      : file_(root, "the settings file", findings), findings_(findings) {}

  /// Returns nothing if the key is absent or its value is not a map; the latter is reported, and
  /// the former if the key is required.
  std::optional<map_reader> Section(std::string_view key, need needed) {
    const yaml_node* node = file_.FindMap(key, needed);
    if (node == nullptr) return std::nullopt;
    return std::optional<map_reader>(std::in_place, *node, std::string(key), findings_);
  }

  void ReadProcess(std::string& name, std::string& domain) {
    auto section = Section("process", need::kRequired);
    if (!section) return;
    section->ReadName("name", name, need::kRequired);
    section->ReadName("domain", domain, need::kRequired);
    section->RefuseOtherKeys();
  }

  void ReadSeeds(std::vector<std::string>& seeds) {
    for (const placed_text& seed : file_.ReadTexts("seeds")) {
      if (auto address = ReadAddress(seed.text)) {
        seeds.push_back(*std::move(address));
        continue;
      }
      file_.Report(seed.at, "has the item " + Quote(seed.text) +
                                " in seeds, which is not an IP address and port such as "
                                "10.0.0.1:7000");
    }
  }

  void ReadLog(log_options& log) {
    auto section = Section("log", need::kOptional);
    if (!section) return;
    section->ReadChoice("level", {"debug", "info", "warning", "error"}, log.level);
    section->ReadChoice("format", {"text", "json"}, log.format);
    section->ReadCount("max_events_per_second", log.max_events_per_second, {1, 100'000});
    section->RefuseOtherKeys();
  }

  void RefuseOtherKeys() { file_.RefuseOtherKeys(); }

 private:
  map_reader file_;
  finding_list& findings_;
};

void ReadBounds(map_reader& section, gateway_bounds& bounds) {
  section.ReadTime("shutdown_grace", bounds.shutdown_grace,
                   {milliseconds(500), std::chrono::minutes(10)});
  section.ReadTime("key_lifetime", bounds.key_lifetime, {milliseconds(500), std::chrono::hours(1)});
  section.ReadFlag("strict_keys", bounds.strict_keys);
  section.ReadTime("upstream_drain", bounds.upstream_drain,
                   {milliseconds(100), std::chrono::minutes(10)});
  section.ReadTime("upstream_heartbeat", bounds.upstream_heartbeat,
                   {milliseconds(50), std::chrono::minutes(10)});
  section.ReadTime("retry_window", bounds.retry_window,
                   {milliseconds(100), std::chrono::minutes(10)});
  section.ReadAmount("retry_share", bounds.retry_share, {0, 100});
  section.ReadAmount("retry_slack", bounds.retry_slack, {0, 1'000'000});
  section.ReadTime("address_lifetime", bounds.address_lifetime,
                   {milliseconds(100), std::chrono::minutes(1)});
  section.RefuseOtherKeys();
}

gateway_settings ReadGateway(const yaml_node& root, finding_list& findings) {
  gateway_settings settings;
  settings_file_reader file(root, findings);
  file.ReadProcess(settings.name, settings.domain);
  if (auto listen = file.Section("listen", need::kRequired)) {
    listen->ReadAddress("callers", settings.callers_address, need::kRequired);
    listen->ReadAddress("readiness", settings.readiness_address, need::kRequired);
    listen->ReadAddress("directory", settings.directory_address, need::kRequired);
    listen->ReadAddress("peers", settings.peers_address, need::kRequired);
    listen->ReadAddress("metrics", settings.metrics_address, need::kOptional);
    listen->RefuseOtherKeys();
  }
  if (auto store = file.Section("store", need::kRequired)) {
    store->ReadAddress("address", settings.store_address, need::kRequired);
    store->RefuseOtherKeys();
  }
  if (auto bounds = file.Section("bounds", need::kOptional)) ReadBounds(*bounds, settings.bounds);
  if (auto limits = file.Section("limits", need::kOptional)) {
    limits->ReadCount("max_connections", settings.max_connections, {1, 65'535});
    limits->ReadAmount("memory_mb", settings.memory_mb, {32, 1'048'576});
    double descriptors = settings.max_descriptors;  // platforms may render "4100.0"
    limits->ReadAmount("max_descriptors", descriptors, {64, 1'048'576});
    settings.max_descriptors = static_cast<std::uint32_t>(descriptors);
    limits->RefuseOtherKeys();
  }
  file.ReadSeeds(settings.seeds);
  file.ReadLog(settings.log);
  file.RefuseOtherKeys();
  return settings;
}

companion_settings ReadCompanion(const yaml_node& root, finding_list& findings) {
  companion_settings settings;
  settings_file_reader file(root, findings);
  file.ReadProcess(settings.name, settings.domain);
  if (auto listen = file.Section("listen", need::kRequired)) {
    listen->ReadAddress("peers", settings.peers_address, need::kRequired);
    listen->ReadAddress("metrics", settings.metrics_address, need::kOptional);
    listen->RefuseOtherKeys();
  }
  if (auto upstream = file.Section("upstream", need::kRequired)) {
    upstream->ReadAddress("address", settings.upstream_address, need::kRequired);
    upstream->ReadName("service", settings.service, need::kRequired);
    upstream->RefuseOtherKeys();
  }
  if (auto store = file.Section("store", need::kRequired)) {
    store->ReadAddress("address", settings.store_address, need::kRequired);
    store->RefuseOtherKeys();
  }
  file.ReadSeeds(settings.seeds);
  file.ReadLog(settings.log);
  file.RefuseOtherKeys();
  return settings;
}

template <typename Settings>
checked<Settings> ParseSettingsWith(Settings (*read)(const yaml_node&, finding_list&),
                                    std::string_view text, std::string_view file) {
  finding_list findings(file);
  Settings settings;
  if (const auto root = LoadYaml(text, findings)) settings = read(*root, findings);
  if (!findings.Empty()) return std::move(findings).Take();
  return settings;
}

}  // namespace

checked<gateway_settings> ParseGatewaySettings(std::string_view text, std::string_view file) {
  return ParseSettingsWith(ReadGateway, text, file);
}

checked<companion_settings> ParseCompanionSettings(std::string_view text, std::string_view file) {
  return ParseSettingsWith(ReadCompanion, text, file);
}

}  // namespace berylbarrow
