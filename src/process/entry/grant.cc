#include "process/entry/grant.h"

#include <charconv>
#include <sstream>

#include "berylbarrow/process/entry/key_routing.h"

namespace berylbarrow {
namespace {

// Keys are kept in memory at the entry and at the agent.
constexpr std::size_t kMaxKeyBytes = 512;
constexpr int kHexadecimal = 16;
constexpr int kDecimal = 10;

/// Cuts the text before the next slash off `rest`. Nothing if there is no slash.
std::optional<std::string_view> TakeField(std::string_view& rest) {
  const std::size_t end = rest.find('/');
  if (end == std::string_view::npos || end == 0) {
    return std::nullopt;
  }
  const std::string_view field = rest.substr(0, end);
  rest.remove_prefix(end + 1);
  return field;
}

std::optional<std::uint64_t> ParseNumber(std::optional<std::string_view> text, int base) {
  std::uint64_t value = 0;
  if (!text) {
    return std::nullopt;
  }
  const char* end = text->data() + text->size();
  const auto result = std::from_chars(text->data(), end, value, base);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string FormatGrant(const grant& value) {
  std::ostringstream text;
  text << value.agent << '/' << std::hex << value.incarnation << '/' << std::dec << value.epoch;
  return text.str();
}

std::optional<grant> ParseGrantKey(std::string_view key) {
  if (key.size() > kMaxKeyBytes) {
    return std::nullopt;
  }
  std::string_view rest = key;
  const auto agent = TakeField(rest);
  const auto incarnation = ParseNumber(agent ? TakeField(rest) : std::nullopt, kHexadecimal);
  const auto epoch = ParseNumber(incarnation ? TakeField(rest) : std::nullopt, kDecimal);
  if (!epoch || rest.empty()) {
    return std::nullopt;
  }
  return grant{.agent = std::string(*agent), .incarnation = *incarnation, .epoch = *epoch};
}

std::optional<agent_run> grant_key_routing::OwnerOf(
    const std::string& key, const std::vector<agent_run>& /*connected*/) const {
  const auto parsed = ParseGrantKey(key);
  if (!parsed) {
    return std::nullopt;
  }
  return agent_run{.name = parsed->agent, .incarnation = parsed->incarnation};
}

}  // namespace berylbarrow
