#include "berylbarrow/request/execution/grant_key.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace berylbarrow {
namespace {

constexpr int kHexBase = 16;
constexpr int kDecimalBase = 10;
constexpr std::size_t kMaxDigits = 20;  // digits of 2^64 - 1 in decimal

std::string FormatNumber(std::uint64_t value, int base) {
  std::array<char, kMaxDigits> digits{};
  const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), value, base);
  return {digits.data(), result.ptr};
}

/// Accepts only the form that FormatNumber writes: no leading zeros, lower-case hex digits.
std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (result.ec != std::errc() || FormatNumber(value, base) != text) {
    return std::nullopt;
  }
  return value;
}

bool IsVisible(char character) { return character > ' ' && character <= '~'; }

/// Removes the text up to and including the next '/' from `rest` and returns it without the '/'.
std::optional<std::string_view> ConsumeField(std::string_view& rest) {
  const std::size_t slash = rest.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view field = rest.substr(0, slash);
  rest.remove_prefix(slash + 1);
  return field;
}

}  // namespace

std::string FormatGrant(const grant& permission) {
  return permission.agent + "/" + FormatNumber(permission.incarnation, kHexBase) + "/" +
         FormatNumber(permission.epoch, kDecimalBase);
}

std::string FormatGrantKey(const grant_key& key) {
  return FormatGrant(key.permission) + "/" + key.nonce;
}

grant_key_result ParseGrantKey(std::string_view text) {
  if (text.size() > kMaxGrantKeyBytes) {
    return "key is longer than " + std::to_string(kMaxGrantKeyBytes) + " bytes";
  }
  if (!std::all_of(text.begin(), text.end(), IsVisible)) {
    return std::string("key contains a character that is not visible ASCII");
  }
  std::string_view rest = text;
  const auto agent = ConsumeField(rest);
  const auto incarnation = ConsumeField(rest);
  const auto epoch = ConsumeField(rest);
  if (!agent || !incarnation || !epoch) {
    return std::string("key does not have the form AGENT/INCARNATION/EPOCH/NONCE");
  }
  if (agent->empty()) {
    return std::string("agent name of the key is empty");
  }
  const auto incarnation_number = ParseNumber(*incarnation, kHexBase);
  if (!incarnation_number) {
    return "incarnation \"" + std::string(*incarnation) + "\" is not a lower-case hex number";
  }
  const auto epoch_number = ParseNumber(*epoch, kDecimalBase);
  if (!epoch_number) {
    return "epoch \"" + std::string(*epoch) + "\" is not a decimal number";
  }
  if (rest.empty()) {
    return std::string("nonce of the key is empty");
  }
  return grant_key{.permission = {.agent = std::string(*agent),
                                  .incarnation = *incarnation_number,
                                  .epoch = *epoch_number},
                   .nonce = std::string(rest)};
}

}  // namespace berylbarrow
