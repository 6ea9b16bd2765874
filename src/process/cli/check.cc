#include "berylbarrow/process/cli/check.h"

#include <fstream>
#include <optional>
#include <ostream>
#include <utility>

#include "berylbarrow/process/settings/settings.h"
#include "berylbarrow/version/configuration/document_parser.h"
#include "process/runtime/yaml_tree.h"

namespace berylbarrow {
namespace {

constexpr int kValid = 0;
constexpr int kHasFindings = 1;
constexpr int kUnusable = 2;

/// Reads at most one byte more than a file may have, so that the size is still reported.
std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text(kMaxYamlBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || !(file || file.eof())) {
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

int PrintFindings(const findings& found, std::ostream& err) {
  for (const finding& each : found) {
    err << each.file << ':' << each.line << ':' << each.column << ": " << each.message << '\n';
  }
  return kHasFindings;
}

std::string Counted(std::size_t count, const std::string& noun, const std::string& plural) {
  return std::to_string(count) + " " + (count == 1 ? noun : plural);
}

std::string Summary(const configuration& value) {
  std::size_t upstreams = 0;
  for (const service_options& service : value.services) {
    upstreams += service.upstreams.size();
  }
  return "valid published document: " +
         Counted(value.domains.size(), "failure domain", "failure domains") + ", " +
         Counted(value.entries.size(), "entry", "entries") + ", " +
         Counted(value.services.size(), "service", "services") + ", " +
         Counted(upstreams, "upstream", "upstreams") + ", " +
         Counted(value.accounts.size(), "client account", "client accounts") + ", " +
         Counted(value.expert_groups.size(), "expert group", "expert groups") + ", " +
         Counted(value.move_plan.size(), "move plan step", "move plan steps");
}

int CheckSettings(const yaml_node& root, const std::string& text, const std::string& path,
                  std::ostream& out, std::ostream& err) {
  // A file with both `listen.callers` and `upstream` is read as an entry's, which reports both.
  const yaml_node* listen = FindKey(root, "listen");
  const bool has_callers = listen != nullptr && FindKey(*listen, "callers") != nullptr;
  const bool is_agent = FindKey(root, "upstream") != nullptr && !has_callers;
  const auto settings =
      ParseSettings(is_agent ? process_role::kAgent : process_role::kEntry, text, path);
  if (!settings) {
    return PrintFindings(settings.error(), err);
  }
  out << path << ": valid settings of " << (is_agent ? "agent" : "entry") << " \""
      << settings.value().name << "\" in failure domain \"" << settings.value().domain << "\"\n";
  return kValid;
}

int CheckDocument(const std::string& text, const std::string& path, std::ostream& out,
                  std::ostream& err) {
  const auto document = document_parser().Parse(text, path);
  if (!document) {
    return PrintFindings(document.error(), err);
  }
  out << path << ": " << Summary(document.value()) << '\n';
  return kValid;
}

}  // namespace

int RunCheck(const std::string& path, std::ostream& out, std::ostream& err) {
  const auto text = ReadFile(path);
  if (!text) {
    err << path << ": cannot be read\n";
    return kUnusable;
  }
  finding_list found(path);
  const auto root = LoadYaml(*text, found);
  if (!root) {
    return PrintFindings(std::move(found).Take(), err);
  }
  if (FindKey(*root, "process") != nullptr) {
    return CheckSettings(*root, *text, path, out, err);
  }
  if (FindKey(*root, "services") != nullptr) {
    return CheckDocument(*text, path, out, err);
  }
  err << path << ": has neither the key \"process\" of a settings file nor the key \"services\" of "
      << "a published document\n";
  return kUnusable;
}

}  // namespace berylbarrow
