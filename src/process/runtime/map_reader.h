#ifndef BERYLBARROW_PROCESS_RUNTIME_MAP_READER_H_
#define BERYLBARROW_PROCESS_RUNTIME_MAP_READER_H_

#include <cstdint>
#include <initializer_list>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "berylbarrow/process/runtime/time.h"
#include "process/runtime/finding_list.h"
#include "process/runtime/yaml_tree.h"

namespace berylbarrow {

enum class need : std::uint8_t { kOptional, kRequired };

template <typename Value>
struct bounds {
  Value lowest;
  Value highest;
};

/// A text of a list, with its place.
struct placed_text {
  std::string text;
  place at;
};

/// Reads the values of one YAML map and reports what is wrong with them. Each Read function leaves
/// `value` unchanged and returns false if the key is absent or its value is not acceptable. All
/// messages begin with the subject, such as `service "payments"`.
class map_reader {
 public:
  /// Adds a finding if `node` is not a map; all reads then return false without further findings.
  map_reader(const yaml_node& node, std::string subject, finding_list& found);

  const std::string& Subject() const { return subject_; }

  /// Whether the key is present, with whatever value.
  bool Has(std::string_view key) const { return FindKey(node_, key) != nullptr; }

  /// All distinct keys that are text.
  std::vector<std::string> Keys() const;

  /// The place of the key's value, or of the map if the key is absent.
  place At(std::string_view key) const;

  bool ReadName(std::string_view key, std::string& value, need needed);
  /// A required text must not be empty.
  bool ReadText(std::string_view key, std::string& value, need needed);
  bool ReadAddress(std::string_view key, std::string& value, need needed);
  bool ReadFlag(std::string_view key, bool& value, need needed = need::kOptional);
  bool ReadCount(std::string_view key, std::uint32_t& value, const bounds<std::uint32_t>& allowed,
                 need needed = need::kOptional);
  bool ReadShare(std::string_view key, double& value, need needed = need::kOptional);
  /// A number, which may have a fraction.
  bool ReadAmount(std::string_view key, double& value, const bounds<double>& allowed);
  bool ReadTime(std::string_view key, duration& value, const bounds<duration>& allowed);
  bool ReadUtc(std::string_view key, wall_time& value);

  /// `words` are in the order of the enumerators, which count from 0.
  template <typename Enum>
  bool ReadChoice(std::string_view key, std::initializer_list<std::string_view> words, Enum& value,
                  need needed = need::kOptional) {
    std::uint8_t index = 0;
    if (!ReadWord(key, words, index, needed)) {
      return false;
    }
    value = static_cast<Enum>(index);
    return true;
  }

  /// The value if it is a map, otherwise null.
  const yaml_node* FindMap(std::string_view key, need needed = need::kOptional);
  /// The items if the value is a list (with at least one item if required), otherwise none.
  const std::vector<yaml_node>& Items(std::string_view key, need needed = need::kOptional);
  /// The texts of a list; items that are not text are reported and left out.
  std::vector<placed_text> ReadTexts(std::string_view key, need needed = need::kOptional);

  /// Adds `subject` + " " + `predicate`.
  void Report(const place& at, const std::string& predicate);
  /// Marks the key as known and reports that it must not be here, for `reason`.
  void Refuse(std::string_view key, const std::string& reason);
  /// Reports every key that no call has asked for.
  void RefuseOtherKeys();

 private:
  const yaml_node* Find(std::string_view key, need needed);
  const yaml_node* FindScalar(std::string_view key, std::string_view type, need needed);
  bool ReadWord(std::string_view key, std::initializer_list<std::string_view> words,
                std::uint8_t& index, need needed);
  void ReportKeys();
  void ReportValue(std::string_view key, const yaml_node& value, const std::string& problem);

  const yaml_node& node_;
  std::string subject_;
  finding_list& found_;
  std::set<std::string, std::less<>> known_;
};

/// `kind "NAME"`, or `kind NUMBER` if the item has no name. `position` counts from 0.
std::string ItemSubject(std::string_view kind, const yaml_node& item, std::size_t position);

/// Values that must not occur twice, with their owners.
class unique_values {
 public:
  /// Reports `value` if it was claimed before. `key` is the key that holds it.
  void Claim(map_reader& owner, std::string_view key, const std::string& value);

 private:
  struct claim {
    std::string owner;
    std::uint32_t line = 0;
  };
  std::map<std::string, claim> claims_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_RUNTIME_MAP_READER_H_
