#include "process/runtime/yaml_tree.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <exception>
#include <sstream>
#include <utility>

namespace berylbarrow {
namespace {

/// Builds a yaml_node from the events of the parser.
class tree_builder final : public YAML::EventHandler {
 public:
  tree_builder(std::string_view text, finding_list& found)
      : last_line_(1 + std::count(text.begin(), text.end(), '\n') - (text.ends_with('\n') ? 1 : 0)),
        found_(found) {}

  void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    Append({.kind = yaml_kind::kNull, .at = At(mark)});
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    found_.Add(At(mark), "YAML aliases are not supported; write the value out");
    Append({.kind = yaml_kind::kNull, .at = At(mark)});
  }

  void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t /*anchor*/,
                const std::string& value) override {
    RefuseTag(mark, tag);
    Append({.kind = yaml_kind::kScalar, .at = At(mark), .quoted = tag == "!", .text = value});
  }

  void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t /*anchor*/,
                       YAML::EmitterStyle::value /*style*/) override {
    RefuseTag(mark, tag);
    Open(mark, yaml_kind::kList);
  }
  void OnSequenceEnd() override { open_.pop_back(); }

  void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t /*anchor*/,
                  YAML::EmitterStyle::value /*style*/) override {
    RefuseTag(mark, tag);
    Open(mark, yaml_kind::kMap);
  }
  void OnMapEnd() override { open_.pop_back(); }

  /// yaml-cpp reports some problems on the line after the last one.
  place At(const YAML::Mark& mark) const {
    if (mark.is_null()) {
      return {.line = 1, .column = 1};
    }
    const auto line = static_cast<std::uint32_t>(mark.line + 1);
    if (line > last_line_) {
      return {.line = last_line_, .column = 1};
    }
    return {.line = line, .column = static_cast<std::uint32_t>(mark.column + 1)};
  }

  /// The end of the text says little about a list or map that is not closed; its start is shown.
  place ErrorAt(const YAML::Mark& mark) const {
    const bool at_end = !mark.is_null() && mark.line >= static_cast<int>(last_line_);
    return at_end && !open_.empty() ? open_.back()->at : At(mark);
  }

  yaml_node Take() && { return std::move(root_); }

 private:
  void Open(const YAML::Mark& mark, yaml_kind kind) {
    constexpr std::size_t kMaxDepth = 32;  // the deepest valid value is at level 5
    if (open_.size() == kMaxDepth) {
      throw YAML::ParserException(mark,
                                  "nested deeper than " + std::to_string(kMaxDepth) + " levels");
    }
    open_.push_back(Append({.kind = kind, .at = At(mark)}));
  }

  /// The result stays valid until the node is closed: only then does its list grow again.
  yaml_node* Append(yaml_node node) {
    if (open_.empty()) {
      root_ = std::move(node);
      return &root_;
    }
    return &open_.back()->items.emplace_back(std::move(node));
  }

  /// The parser gives "?" to plain values and "!" to quoted ones without a tag.
  void RefuseTag(const YAML::Mark& mark, const std::string& tag) {
    if (!tag.empty() && tag != "?" && tag != "!") {
      found_.Add(At(mark), "YAML tags are not supported");
    }
  }

  std::uint32_t last_line_;
  finding_list& found_;
  yaml_node root_;
  std::vector<yaml_node*> open_;
};

}  // namespace

const yaml_node* FindKey(const yaml_node& map, std::string_view key) {
  if (map.kind != yaml_kind::kMap) {
    return nullptr;
  }
  for (std::size_t i = 0; i + 1 < map.items.size(); i += 2) {
    if (map.items[i].kind == yaml_kind::kScalar && map.items[i].text == key) {
      return &map.items[i + 1];
    }
  }
  return nullptr;
}

std::optional<yaml_node> LoadYaml(std::string_view text, finding_list& found) {
  if (text.size() > kMaxYamlBytes) {
    found.Add({}, "the file has " + std::to_string(text.size()) + " bytes; at most " +
                      std::to_string(kMaxYamlBytes) + " are accepted");
    return std::nullopt;
  }
  tree_builder builder(text, found);
  try {
    std::istringstream stream{std::string(text)};
    YAML::Parser parser(stream);
    if (!parser.HandleNextDocument(builder)) {
      found.Add({.line = 1, .column = 1}, "the file is empty");
      return std::nullopt;
    }
    if (!found.Empty()) {
      return std::nullopt;
    }
    yaml_node root = std::move(builder).Take();
    tree_builder rest(text, found);
    if (parser.HandleNextDocument(rest)) {
      found.Add(std::move(rest).Take().at, "the file has a second YAML document");
      return std::nullopt;
    }
    return root;
  } catch (const YAML::Exception& error) {
    found.Add(builder.ErrorAt(error.mark), "malformed YAML: " + error.msg);
  } catch (const std::exception& error) {
    found.Add({.line = 1, .column = 1}, std::string("malformed YAML: ") + error.what());
  }
  return std::nullopt;
}

}  // namespace berylbarrow
