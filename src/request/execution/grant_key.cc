#include "berylbarrow/request/execution/grant_key.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace berylbarrow {
namespace {

constexpr int kHexadecimal = 16;
constexpr int kDecimal = 10;
constexpr std::size_t kMaxDigits = 20;  // of 2^64 - 1 in decimal

std::string FormatNumber(std::uint64_t value, int base) {
  std::array<char, kMaxDigits> digits{};
  const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), value, base);
  return {digits.data(), result.ptr};
}

/// Only the spelling that FormatNumber writes.
std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (result.ec != std::errc() || FormatNumber(value, base) != text) {
    return std::nullopt;
  }
  return value;
}

bool IsVisible(char letter) { return letter > ' ' && letter <= '~'; }

/// The text before the next '/', which is removed with it.
std::optional<std::string_view> TakeField(std::string_view& rest) {
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
  return permission.agent + "/" + FormatNumber(permission.incarnation, kHexadecimal) + "/" +
         FormatNumber(permission.epoch, kDecimal);
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
  const auto agent = TakeField(rest);
  const auto incarnation = TakeField(rest);
  const auto epoch = TakeField(rest);
  if (!agent || !incarnation || !epoch) {
    return std::string("key does not have the form AGENT/INCARNATION/EPOCH/NONCE");
  }
  if (agent->empty()) {
    return std::string("agent name of the key is empty");
  }
  const auto run = ParseNumber(*incarnation, kHexadecimal);
  if (!run) {
    return "incarnation \"" + std::string(*incarnation) + "\" is not a lower-case hex number";
  }
  const auto number = ParseNumber(*epoch, kDecimal);
  if (!number) {
    return "epoch \"" + std::string(*epoch) + "\" is not a decimal number";
  }
  if (rest.empty()) {
    return std::string("nonce of the key is empty");
  }
  return grant_key{
      .permission = {.agent = std::string(*agent), .incarnation = *run, .epoch = *number},
      .nonce = std::string(rest)};
}

}  // namespace berylbarrow
