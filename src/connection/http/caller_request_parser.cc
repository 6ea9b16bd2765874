#include "connection/http/caller_request_parser.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/field.hpp>
#include <charconv>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

#include "connection/http/completion_body.h"

namespace berylbarrow {
namespace {

namespace http = boost::beast::http;
using http_message = http::request<http::string_body>;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxKeyBytes = 512;
constexpr std::uint64_t kMaxAttempt = 1'000'000;
constexpr std::uint64_t kMaxPriority = 100;
constexpr std::uint64_t kMaxDeadlineMilliseconds = 3'600'000;

caller_error Malformed(std::string message) {
  return {.status = 400, .code = "malformed", .message = std::move(message)};
}

std::string_view View(boost::beast::string_view text) { return {text.data(), text.size()}; }

bool IsName(std::string_view text) {
  return text.size() <= kMaxNameBytes && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                  c == '-' || c == '_' || c == '.';
         });
}

bool IsVisible(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

/// Reads the headers of one request; keeps the first error.
class header_reader {
 public:
  explicit header_reader(const http_message& message) : message_(message) {}

  std::string Text(const char* name, std::size_t max_bytes, bool (*valid)(std::string_view)) {
    const auto value = Value(name);
    if (!value) {
      return {};
    }
    if (value->empty() || value->size() > max_bytes || !valid(*value)) {
      Fail(std::string("header ") + name + " is empty, too long or has invalid characters");
      return {};
    }
    return std::string(*value);
  }

  std::uint64_t Number(const char* name, std::uint64_t low, std::uint64_t high) {
    const auto value = Value(name);
    if (!value) {
      return 0;
    }
    std::uint64_t number = 0;
    const char* end = value->data() + value->size();
    const auto [stop, failure] = std::from_chars(value->data(), end, number);
    if (failure != std::errc{} || stop != end || number < low || number > high) {
      Fail(std::string("header ") + name + " must be a number from " + std::to_string(low) +
           " to " + std::to_string(high));
      return 0;
    }
    return number;
  }

  const std::optional<caller_error>& Error() const { return error_; }

 private:
  void Fail(std::string message) {
    if (!error_) {
      error_ = Malformed(std::move(message));
    }
  }

  std::optional<std::string_view> Value(const char* name) {
    const auto [first, last] = message_.equal_range(name);
    if (first == last) {
      return std::nullopt;
    }
    if (std::next(first) != last) {
      Fail(std::string("header ") + name + " occurs twice");
      return std::nullopt;
    }
    return View(first->value());
  }

  const http_message& message_;
  std::optional<caller_error> error_;
};

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i] == '+' ? ' ' : text[i];
      continue;
    }
    unsigned value = 0;
    if (i + 2 >= text.size()) {
      return std::nullopt;
    }
    const char* end = text.data() + i + 3;
    const auto [stop, failure] = std::from_chars(text.data() + i + 1, end, value, 16);
    if (failure != std::errc{} || stop != end) {
      return std::nullopt;
    }
    out += static_cast<char>(value);
    i += 2;
  }
  return out;
}

std::variant<caller_message, caller_error> ParseAddressQuery(std::string_view query) {
  std::map<std::string, std::string> fields;
  while (!query.empty()) {
    const auto pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const auto equals = std::min(pair.find('='), pair.size());
    const auto name = PercentDecode(pair.substr(0, equals));
    const auto value = PercentDecode(pair.substr(std::min(pair.size(), equals + 1)));
    if (!name || !value) {
      return Malformed("the query has an invalid percent escape");
    }
    if (!fields.emplace(*name, *value).second) {
      return Malformed("query field \"" + *name + "\" occurs twice");
    }
  }
  address_query result{.service = fields["service"], .account = fields["account"]};
  if (result.service.empty() || !IsName(result.service) || !IsName(result.account)) {
    return Malformed("query field \"service\" is missing, or a name has invalid characters");
  }
  return result;
}

std::optional<caller_error> SelectService(http_message& message, std::string_view target,
                                          caller_request& result) {
  constexpr std::string_view kServices = "/services/";
  if (target.substr(0, target.find('?')) == "/v1/completions") {
    if (message.method() != http::verb::post) {
      return Malformed("/v1/completions takes POST only");
    }
    auto fields = ReadCompletionBody(message.body());
    if (!fields.error.empty()) {
      return Malformed(std::move(fields.error));
    }
    result.model = std::move(fields.model);
    result.prefix_hash = fields.prefix_hash;
    result.request.target = std::string(target);
    return std::nullopt;
  }
  if (target.substr(0, kServices.size()) != kServices) {
    return caller_error{.status = 404, .code = "not_found", .message = "no such path"};
  }
  target.remove_prefix(kServices.size());
  const auto name = target.substr(0, target.find_first_of("/?"));
  if (name.empty() || !IsName(name)) {
    return Malformed("the path has no valid service name");
  }
  constexpr std::array kMethods{http::verb::get, http::verb::post, http::verb::put,
                                http::verb::patch, http::verb::delete_};
  if (std::find(kMethods.begin(), kMethods.end(), message.method()) == kMethods.end()) {
    return Malformed("services take GET, POST, PUT, PATCH and DELETE only");
  }
  target.remove_prefix(name.size());
  result.service = std::string(name);
  result.request.target = target.substr(0, 1) == "/" ? "" : "/";
  result.request.target += target;
  return std::nullopt;
}

}  // namespace

std::variant<caller_message, caller_error> ParseCallerRequest(http_message& message) {
  if (message.version() != 11) {
    // Without chunked coding a caller cannot tell a whole answer from a truncated one.
    return Malformed("HTTP/1.1 is required");
  }
  const auto target = View(message.target());
  const auto query = std::min(target.find('?'), target.size());
  if (target.substr(0, query) == "/v1/address") {
    if (message.method() != http::verb::get) {
      return Malformed("/v1/address takes GET only");
    }
    return ParseAddressQuery(target.substr(std::min(target.size(), query + 1)));
  }
  caller_request result;
  if (auto error = SelectService(message, target, result)) {
    return *std::move(error);
  }
  header_reader headers(message);
  result.account = headers.Text("Berylbarrow-Account", kMaxNameBytes, IsName);
  result.idempotency_key = headers.Text("Idempotency-Key", kMaxKeyBytes, IsVisible);
  result.attempt =
      static_cast<std::uint32_t>(headers.Number("Berylbarrow-Attempt", 1, kMaxAttempt));
  result.priority =
      static_cast<std::uint32_t>(headers.Number("Berylbarrow-Priority", 0, kMaxPriority));
  result.deadline = std::chrono::milliseconds(
      headers.Number("Berylbarrow-Deadline-Ms", 1, kMaxDeadlineMilliseconds));
  if (headers.Error()) {
    return *headers.Error();
  }
  result.request.method = std::string(View(message.method_string()));
  result.request.content_type = std::string(View(message[http::field::content_type]));
  result.request.body = std::move(message.body());
  return result;
}

}  // namespace berylbarrow
