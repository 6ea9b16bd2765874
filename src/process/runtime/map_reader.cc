#include "process/runtime/map_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <optional>
#include <sstream>
#include <utility>

#include "process/runtime/scalar_format.h"

namespace berylbarrow {
namespace {

const std::vector<yaml_node> kNoItems;

bool IsDigits(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

/// Nothing if the value is quoted or not a finite number.
std::optional<double> ReadNumber(const yaml_node& node) {
  double number = 0;
  const char* const last = node.text.data() + node.text.size();
  const auto [end, error] = std::from_chars(node.text.data(), last, number);
  if (node.quoted || error != std::errc() || end != last || !std::isfinite(number)) {
    return std::nullopt;
  }
  return number;
}

std::string Join(std::initializer_list<std::string_view> words) {
  std::string joined;
  for (const auto* word = words.begin(); word != words.end(); ++word) {
    joined += word == words.begin() ? "" : std::next(word) == words.end() ? " or " : ", ";
    joined += *word;
  }
  return joined;
}

}  // namespace

map_reader::map_reader(const yaml_node& node, std::string subject, finding_list& found)
    : node_(node), subject_(std::move(subject)), found_(found) {
  if (node_.kind != yaml_kind::kMap) {
    Report(node_.at, "is not a map of keys and values");
    return;
  }
  ReportKeys();
}

void map_reader::ReportKeys() {
  std::map<std::string_view, std::uint32_t> lines;
  for (std::size_t i = 0; i < node_.items.size(); i += 2) {
    const yaml_node& key = node_.items[i];
    if (key.kind != yaml_kind::kScalar) {
      Report(key.at, "has a key that is not text");
      continue;
    }
    const auto [first, added] = lines.emplace(key.text, key.at.line);
    if (!added) {
      Report(key.at, "has the key " + Quote(key.text) + " twice; the first is on line " +
                         std::to_string(first->second));
    }
  }
}

void map_reader::Report(const place& at, const std::string& predicate) {
  found_.Add(at, subject_ + " " + predicate);
}

void map_reader::ReportValue(std::string_view key, const yaml_node& value,
                             const std::string& problem) {
  Report(value.at, "has " + std::string(key) + " " + Quote(value.text) + ", which " + problem);
}

std::vector<std::string> map_reader::Keys() const {
  std::set<std::string> keys;
  for (std::size_t i = 0; i < node_.items.size(); i += 2) {
    if (node_.items[i].kind == yaml_kind::kScalar) {
      keys.insert(node_.items[i].text);
    }
  }
  return {keys.begin(), keys.end()};
}

place map_reader::At(std::string_view key) const {
  const yaml_node* value = FindKey(node_, key);
  return value != nullptr ? value->at : node_.at;
}

const yaml_node* map_reader::Find(std::string_view key, need needed) {
  known_.emplace(key);
  const yaml_node* value = FindKey(node_, key);
  if (value == nullptr) {
    if (needed == need::kRequired && node_.kind == yaml_kind::kMap) {
      Report(node_.at, "has no key " + Quote(key));
    }
    return nullptr;
  }
  if (value->kind == yaml_kind::kNull) {
    // The parser places an empty value at the next token, which may be on another line.
    const yaml_node& key_node = *std::prev(node_.items.begin() + (value - node_.items.data()));
    Report(key_node.at, "has no value for the key " + Quote(key));
    return nullptr;
  }
  return value;
}

const yaml_node* map_reader::FindScalar(std::string_view key, std::string_view type, need needed) {
  const yaml_node* value = Find(key, needed);
  if (value != nullptr && value->kind != yaml_kind::kScalar) {
    Report(value->at, "has a value for " + std::string(key) + " that is not " + std::string(type));
    return nullptr;
  }
  return value;
}

bool map_reader::ReadName(std::string_view key, std::string& value, need needed) {
  const yaml_node* node = FindScalar(key, "a name", needed);
  if (node == nullptr) {
    return false;
  }
  if (!IsName(node->text)) {
    ReportValue(key, *node, "is not 1 to 64 letters, digits, \".\", \"_\" or \"-\"");
    return false;
  }
  value = node->text;
  return true;
}

bool map_reader::ReadText(std::string_view key, std::string& value, need needed) {
  const yaml_node* node = FindScalar(key, "text", needed);
  if (node == nullptr) {
    return false;
  }
  if (needed == need::kRequired && node->text.empty()) {
    ReportValue(key, *node, "is empty");
    return false;
  }
  value = node->text;
  return true;
}

bool map_reader::ReadAddress(std::string_view key, std::string& value, need needed) {
  const yaml_node* node = FindScalar(key, "an address", needed);
  if (node == nullptr) {
    return false;
  }
  auto address = berylbarrow::ReadAddress(node->text);
  if (!address) {
    ReportValue(key, *node, "is not an IP address and port such as 10.0.0.1:7000");
    return false;
  }
  value = *std::move(address);
  return true;
}

bool map_reader::ReadFlag(std::string_view key, bool& value, need needed) {
  const yaml_node* node = FindScalar(key, "true or false", needed);
  if (node == nullptr) {
    return false;
  }
  if (node->quoted || (node->text != "true" && node->text != "false")) {
    ReportValue(key, *node, "is not true or false");
    return false;
  }
  value = node->text == "true";
  return true;
}

bool map_reader::ReadCount(std::string_view key, std::uint32_t& value,
                           const bounds<std::uint32_t>& allowed, need needed) {
  const yaml_node* node = FindScalar(key, "a whole number", needed);
  if (node == nullptr) {
    return false;
  }
  const std::string_view text = node->text;
  if (node->quoted || !IsDigits(text.substr(text.starts_with('-') ? 1 : 0))) {
    ReportValue(key, *node, node->quoted ? "is quoted text" : "is not a whole number");
    return false;
  }
  std::uint32_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || number < allowed.lowest || number > allowed.highest) {
    Report(node->at, "has " + std::string(key) + " " + node->text.substr(0, 20) +
                         ", which is outside " + std::to_string(allowed.lowest) + " to " +
                         std::to_string(allowed.highest));
    return false;
  }
  value = number;
  return true;
}

bool map_reader::ReadShare(std::string_view key, double& value, need needed) {
  const yaml_node* node = FindScalar(key, "a number", needed);
  if (node == nullptr) {
    return false;
  }
  const auto number = ReadNumber(*node);
  if (!number || *number < 0 || *number > 1) {
    ReportValue(key, *node, "is not a number from 0 to 1");
    return false;
  }
  value = *number;
  return true;
}

bool map_reader::ReadAmount(std::string_view key, double& value, const bounds<double>& allowed) {
  const yaml_node* node = FindScalar(key, "a number", need::kOptional);
  if (node == nullptr) {
    return false;
  }
  const auto number = ReadNumber(*node);
  if (!number || *number < allowed.lowest || *number > allowed.highest) {
    std::ostringstream range;
    range << "is not a number from " << allowed.lowest << " to " << allowed.highest;
    ReportValue(key, *node, range.str());
    return false;
  }
  value = *number;
  return true;
}

bool map_reader::ReadTime(std::string_view key, duration& value, const bounds<duration>& allowed) {
  const yaml_node* node = FindScalar(key, "a duration", need::kOptional);
  if (node == nullptr) {
    return false;
  }
  const auto read = ReadDuration(node->text);
  if (!read) {
    const bool digits = IsDigits(node->text);
    ReportValue(key, *node,
                digits ? "has no unit; write it as in 250ms, 5s, 2m or 1h"
                       : "is not a duration such as 250ms, 5s, 2m or 1h");
    return false;
  }
  if (*read < allowed.lowest || *read > allowed.highest) {
    Report(node->at, "has " + std::string(key) + " " + node->text + ", which is outside " +
                         WriteDuration(allowed.lowest) + " to " + WriteDuration(allowed.highest));
    return false;
  }
  value = *read;
  return true;
}

bool map_reader::ReadUtc(std::string_view key, wall_time& value) {
  const yaml_node* node = FindScalar(key, "a time", need::kOptional);
  if (node == nullptr) {
    return false;
  }
  const auto read = ReadUtcTime(node->text);
  if (!read) {
    ReportValue(key, *node, "is not a time in UTC such as 2026-12-01T05:30:00Z");
    return false;
  }
  value = *read;
  return true;
}

bool map_reader::ReadWord(std::string_view key, std::initializer_list<std::string_view> words,
                          std::uint8_t& index, need needed) {
  const yaml_node* node = FindScalar(key, Join(words), needed);
  if (node == nullptr) {
    return false;
  }
  const auto* word = std::find(words.begin(), words.end(), node->text);
  if (word == words.end()) {
    ReportValue(key, *node, "is not " + Join(words));
    return false;
  }
  index = static_cast<std::uint8_t>(word - words.begin());
  return true;
}

const yaml_node* map_reader::FindMap(std::string_view key, need needed) {
  const yaml_node* value = Find(key, needed);
  if (value != nullptr && value->kind != yaml_kind::kMap) {
    Report(value->at, "has a value for " + std::string(key) + " that is not a map");
    return nullptr;
  }
  return value;
}

const std::vector<yaml_node>& map_reader::Items(std::string_view key, need needed) {
  const yaml_node* value = Find(key, needed);
  if (value == nullptr) {
    return kNoItems;
  }
  if (value->kind != yaml_kind::kList) {
    Report(value->at, "has a value for " + std::string(key) + " that is not a list");
    return kNoItems;
  }
  if (value->items.empty() && needed == need::kRequired) {
    Report(value->at, "has an empty list of " + std::string(key));
  }
  return value->items;
}

std::vector<placed_text> map_reader::ReadTexts(std::string_view key, need needed) {
  std::vector<placed_text> texts;
  std::set<std::string_view> seen;
  for (const yaml_node& item : Items(key, needed)) {
    if (item.kind != yaml_kind::kScalar) {
      Report(item.at, "has an item in " + std::string(key) + " that is not text");
      continue;
    }
    if (!seen.insert(item.text).second) {
      Report(item.at, "has " + Quote(item.text) + " twice in " + std::string(key));
      continue;
    }
    texts.push_back({.text = item.text, .at = item.at});
  }
  return texts;
}

void map_reader::Refuse(std::string_view key, const std::string& reason) {
  known_.emplace(key);
  if (Has(key)) {
    Report(At(key), "has the key " + Quote(key) + ", " + reason);
  }
}

void map_reader::RefuseOtherKeys() {
  if (node_.kind != yaml_kind::kMap) {
    return;
  }
  for (std::size_t i = 0; i < node_.items.size(); i += 2) {
    const yaml_node& key = node_.items[i];
    if (key.kind == yaml_kind::kScalar && !known_.contains(key.text)) {
      Report(key.at, "has an unknown key " + Quote(key.text));
    }
  }
}

std::string ItemSubject(std::string_view kind, const yaml_node& item, std::size_t position) {
  const yaml_node* name = FindKey(item, "name");
  const bool named = name != nullptr && name->kind == yaml_kind::kScalar;
  return std::string(kind) + " " + (named ? Quote(name->text) : std::to_string(position + 1));
}

void unique_values::Claim(map_reader& owner, std::string_view key, const std::string& value) {
  const place at = owner.At(key);
  const auto [first, added] =
      claims_.try_emplace(value, claim{.owner = owner.Subject(), .line = at.line});
  if (!added) {
    owner.Report(at, "has " + std::string(key) + " " + Quote(value) +
                         ", which is already used by " + first->second.owner + " on line " +
                         std::to_string(first->second.line));
  }
}

}  // namespace berylbarrow
