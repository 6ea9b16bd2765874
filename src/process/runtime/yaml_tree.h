#ifndef BERYLBARROW_PROCESS_RUNTIME_YAML_TREE_H_
#define BERYLBARROW_PROCESS_RUNTIME_YAML_TREE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process/runtime/finding_list.h"

namespace berylbarrow {

/// Largest accepted input: the configuration service holds values up to 1 MB.
inline constexpr std::size_t kMaxYamlBytes = 1 << 20;

enum class yaml_kind : std::uint8_t { kNull, kScalar, kList, kMap };

/// A node of a YAML document. YAML::Node is not used because it merges repeated keys, has no place
/// for empty values, and expands aliases, so that a small text can describe an enormous document.
struct yaml_node {
  yaml_kind kind = yaml_kind::kNull;
  place at;
  bool quoted = false;             // scalars only
  std::string text{};              // scalars only
  std::vector<yaml_node> items{};  // items of a list; alternating keys and values of a map
};

/// Returns the value of `key` in a map, or null. The first of repeated keys counts.
const yaml_node* FindKey(const yaml_node& map, std::string_view key);

/// Reads one YAML document. Returns nothing, and adds findings, if the text is too large or empty,
/// is not valid YAML, holds a second document, or uses aliases or tags.
std::optional<yaml_node> LoadYaml(std::string_view text, finding_list& found);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_RUNTIME_YAML_TREE_H_
