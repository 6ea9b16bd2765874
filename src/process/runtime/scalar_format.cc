#include "process/runtime/scalar_format.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/system/error_code.hpp>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace berylbarrow {
namespace {

struct time_unit {
  std::string_view suffix;
  std::chrono::milliseconds length;
};

constexpr std::array<time_unit, 4> kUnits = {{{"h", std::chrono::hours(1)},
                                              {"m", std::chrono::minutes(1)},
                                              {"s", std::chrono::seconds(1)},
                                              {"ms", std::chrono::milliseconds(1)}}};

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

/// Reads a text of digits only.
template <typename Number>
std::optional<Number> ReadDigits(std::string_view text) {
  Number value = 0;
  if (text.empty() || !std::all_of(text.begin(), text.end(), IsDigit)) {
    return std::nullopt;
  }
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

/// Reads the digits of a fraction of a second as nanoseconds.
std::optional<std::uint32_t> ReadFraction(std::string_view text) {
  if (text.size() > 9) {
    return std::nullopt;
  }
  std::string digits(text);
  digits.resize(9, '0');
  return text.empty() ? std::nullopt : ReadDigits<std::uint32_t>(digits);
}

}  // namespace

std::optional<duration> ReadDuration(std::string_view text) {
  double count = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, count);
  // from_chars also reads negative numbers, "inf" and "nan".
  if (text.empty() || !IsDigit(text.front()) || error != std::errc()) {
    return std::nullopt;
  }
  const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
  for (const time_unit& unit : kUnits) {
    if (suffix != unit.suffix) continue;
    const double length = count * static_cast<double>(duration(unit.length).count());
    const bool fits = length < static_cast<double>(duration::max().count());
    return fits ? std::optional<duration>(std::llround(length)) : std::nullopt;
  }
  return std::nullopt;
}

std::string WriteDuration(duration value) {
  const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(value);
  if (whole.count() == 0) {
    return "0s";
  }
  const auto* unit = std::find_if(kUnits.begin(), kUnits.end(), [&](const time_unit& candidate) {
    return whole % candidate.length == std::chrono::milliseconds::zero();
  });
  return std::to_string(whole / unit->length) + std::string(unit->suffix);
}

std::optional<wall_time> ReadUtcTime(std::string_view text) {
  // 2026-12-01T05:30:00[.digits]Z
  constexpr std::string_view kShape = "0000-00-00T00:00:00";
  if (text.size() <= kShape.size() || text.back() != 'Z') {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < kShape.size(); ++i) {
    if (kShape[i] == '0' ? !IsDigit(text[i]) : text[i] != kShape[i]) {
      return std::nullopt;
    }
  }
  const auto number = [&](std::size_t start, std::size_t size) {
    return ReadDigits<unsigned>(text.substr(start, size)).value_or(0);
  };
  const std::chrono::year_month_day date{std::chrono::year(static_cast<int>(number(0, 4))),
                                         std::chrono::month(number(5, 2)),
                                         std::chrono::day(number(8, 2))};
  const unsigned hours = number(11, 2);
  const unsigned minutes = number(14, 2);
  const unsigned seconds = number(17, 2);
  // A 64-bit count of nanoseconds since 1970 ends in 2262.
  const bool in_range =
      date.year() >= std::chrono::year(1970) && date.year() <= std::chrono::year(2261);
  if (!date.ok() || !in_range || hours > 23 || minutes > 59 || seconds > 59) {
    return std::nullopt;
  }
  std::string_view fraction = text.substr(kShape.size(), text.size() - kShape.size() - 1);
  std::uint32_t nanoseconds = 0;
  if (!fraction.empty()) {
    const auto read = fraction.front() == '.' ? ReadFraction(fraction.substr(1)) : std::nullopt;
    if (!read) {
      return std::nullopt;
    }
    nanoseconds = *read;
  }
  return wall_time(std::chrono::sys_days(date)) + std::chrono::hours(hours) +
         std::chrono::minutes(minutes) + std::chrono::seconds(seconds) +
         std::chrono::nanoseconds(nanoseconds);
}

std::optional<std::string> ReadAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto port = ReadDigits<std::uint16_t>(text.substr(colon + 1));
  std::string_view host = text.substr(0, colon);
  const bool brackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (brackets) {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error || !port || *port == 0 || address.is_v6() != brackets) {
    return std::nullopt;
  }
  const std::string number = std::to_string(*port);
  return brackets ? "[" + address.to_string() + "]:" + number : address.to_string() + ":" + number;
}

bool IsName(std::string_view text) {
  constexpr std::size_t kMaxNameBytes = 64;
  const auto allowed = [](char c) {
    return IsDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '.' || c == '_' ||
           c == '-';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), allowed);
}

std::string Quote(std::string_view text) {
  constexpr std::size_t kMaxShownBytes = 64;
  std::string shown(text.substr(0, kMaxShownBytes));
  if (text.size() > kMaxShownBytes) {
    // Drops the rest of a UTF-8 character that the cut has split.
    while (!shown.empty() && (static_cast<unsigned char>(text[shown.size()]) & 0xC0U) == 0x80U) {
      shown.pop_back();
    }
    shown += "...";
  }
  return '"' + shown + '"';
}

}  // namespace berylbarrow
