#include "berylbarrow/process/settings/settings.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "process/runtime/map_reader.h"
#include "process/runtime/scalar_format.h"
#include "process/runtime/yaml_tree.h"

namespace berylbarrow {
namespace {

/// Room that the other fields of a message need beside a body of maximum size.
constexpr std::uint32_t kFrameOverheadBytes = 64 << 10;

void ReadLevel(map_reader& reader, std::string_view key, log_level& value) {
  reader.ReadChoice(key, {"debug", "info", "warning", "error"}, value);
}

class settings_reader {
 public:
  settings_reader(const yaml_node& root, finding_list& found)
      : file_(root, "the settings file", found), found_(found) {}

  process_settings Read(process_role role) {
    settings_.role = role;
    ReadProcess();
    ReadListen();
    ReadPlatform();
    ReadUpstream();
    ReadSeeds();
    ReadLimits();
    ReadLog();
    file_.RefuseOtherKeys();
    return std::move(settings_);
  }

 private:
  std::optional<map_reader> Section(std::string_view key, need needed) {
    const yaml_node* node = file_.FindMap(key, needed);
    if (node == nullptr) {
      return std::nullopt;
    }
    return std::optional<map_reader>(std::in_place, *node, std::string(key), found_);
  }

  void ReadProcess() {
    if (auto section = Section("process", need::kRequired)) {
      section->ReadName("name", settings_.name, need::kRequired);
      section->ReadName("domain", settings_.domain, need::kRequired);
      section->RefuseOtherKeys();
    }
  }

  void ReadListen() {
    auto section = Section("listen", need::kRequired);
    if (!section) {
      return;
    }
    unique_values addresses;
    const auto read = [&](std::string_view key, std::string& value) {
      if (section->ReadAddress(key, value, need::kRequired)) {
        addresses.Claim(*section, key, value);
      }
    };
    if (settings_.role == process_role::kEntry) {
      read("callers", settings_.callers_address);
      ReadTls(*section);
    } else {
      section->Refuse("callers", "which only entries have");
      section->Refuse("tls", "which only entries have");
    }
    read("peers", settings_.peers_address);
    read("operators", settings_.operators_address);
    section->RefuseOtherKeys();
  }

  void ReadTls(map_reader& listen) {
    const yaml_node* node = listen.FindMap("tls");
    if (node == nullptr) {
      return;
    }
    map_reader tls(*node, "listen: tls", found_);
    tls.ReadText("certificate", settings_.tls_certificate, need::kRequired);
    tls.ReadText("private_key", settings_.tls_private_key, need::kRequired);
    tls.RefuseOtherKeys();
  }

  void ReadPlatform() {
    if (auto section = Section("platform", need::kRequired)) {
      section->ReadAddress("configuration_service", settings_.configuration_service,
                           need::kRequired);
      section->ReadAddress("instance_list", settings_.instance_list, need::kRequired);
      section->RefuseOtherKeys();
    }
  }

  void ReadUpstream() {
    if (settings_.role == process_role::kEntry) {
      file_.Refuse("upstream", "which only agents have");
      return;
    }
    if (auto section = Section("upstream", need::kRequired)) {
      section->ReadAddress("address", settings_.upstream_address, need::kRequired);
      section->ReadName("service", settings_.service, need::kRequired);
      section->RefuseOtherKeys();
    }
  }

  void ReadSeeds() {
    for (const placed_text& seed : file_.ReadTexts("seeds")) {
      auto address = ReadAddress(seed.text);
      if (!address) {
        file_.Report(seed.at, "has the item " + Quote(seed.text) +
                                  " in seeds, which is not an IP address and port such as "
                                  "10.0.0.1:7000");
        continue;
      }
      settings_.seeds.push_back(*std::move(address));
    }
  }

  void ReadLimits() {
    auto section = Section("limits", need::kOptional);
    if (!section) {
      return;
    }
    process_limits& limits = settings_.limits;
    section->ReadCount("max_connections", limits.max_connections, {1, 65'535});
    section->ReadCount("max_requests", limits.max_requests, {1, 1'000'000});
    section->ReadCount("max_executions", limits.max_executions, {1, 10'000'000});
    section->ReadCount("max_request_bytes", limits.max_request_bytes, {1024, 64 << 20});
    section->ReadCount("max_answer_bytes", limits.max_answer_bytes, {1024, 256 << 20});
    section->ReadCount("max_buffered_bytes", limits.max_buffered_bytes, {1024, 1 << 30});
    section->ReadCount("memory_mb", limits.memory_mb, {32, 1 << 20});
    section->ReadCount("ring_capacity", limits.ring_capacity, {2, 1 << 20});
    section->ReadCount(
        "max_frame_bytes", limits.max_frame_bytes,
        {static_cast<std::uint32_t>(kMaxYamlBytes) + kFrameOverheadBytes, 128 << 20});
    section->RefuseOtherKeys();
    if (limits.max_answer_bytes > limits.max_buffered_bytes) {
      section->Report(section->At("max_answer_bytes"),
                      "has max_answer_bytes " + std::to_string(limits.max_answer_bytes) +
                          ", which is above max_buffered_bytes " +
                          std::to_string(limits.max_buffered_bytes));
    }
    if (limits.max_request_bytes + kFrameOverheadBytes > limits.max_frame_bytes) {
      section->Report(section->At("max_request_bytes"),
                      "has max_request_bytes " + std::to_string(limits.max_request_bytes) +
                          ", which must be at least " + std::to_string(kFrameOverheadBytes) +
                          " below max_frame_bytes " + std::to_string(limits.max_frame_bytes));
    }
  }

  void ReadLog() {
    auto section = Section("log", need::kOptional);
    if (!section) {
      return;
    }
    ReadLevel(*section, "level", settings_.log.level);
    section->ReadChoice("format", {"text", "json"}, settings_.log.format);
    if (const yaml_node* node = section->FindMap("modules")) {
      map_reader modules(*node, "log: modules", found_);
      for (const std::string& name : modules.Keys()) {
        ReadLevel(modules, name, settings_.log.modules[name]);
      }
    }
    section->RefuseOtherKeys();
  }

  map_reader file_;
  finding_list& found_;
  process_settings settings_;
};

}  // namespace

checked<process_settings> ParseSettings(process_role role, std::string_view text,
                                        std::string_view file) {
  finding_list found(file);
  process_settings settings;
  if (const auto root = LoadYaml(text, found)) {
    settings = settings_reader(*root, found).Read(role);
  }
  if (!found.Empty()) {
    return std::move(found).Take();
  }
  return settings;
}

}  // namespace berylbarrow
