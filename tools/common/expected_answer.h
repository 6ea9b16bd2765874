#ifndef BERYLBARROW_TOOLS_COMMON_EXPECTED_ANSWER_H_
#define BERYLBARROW_TOOLS_COMMON_EXPECTED_ANSWER_H_

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <numeric>
#include <string>
#include <string_view>
#include <vector>

namespace berylbarrow::tools {

inline constexpr std::uint64_t kDefaultTokens = 16;
inline constexpr std::uint64_t kMaxTokens = 100'000;

/// Fields of a completion request that the stand-in engine reads.
struct completion {
  std::string prompt;
  std::uint64_t tokens = kDefaultTokens;
  bool stream = false;
};

/// Missing or invalid fields get their default.
inline completion ReadCompletion(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  completion result;
  if (!json.is_object()) {
    return result;
  }
  if (const auto field = json.find("prompt"); field != json.end() && field->is_string()) {
    result.prompt = field->get<std::string>();
  }
  if (const auto field = json.find("max_tokens");
      field != json.end() && field->is_number_unsigned()) {
    result.tokens = std::min(field->get<std::uint64_t>(), kMaxTokens);
  }
  if (const auto field = json.find("stream"); field != json.end() && field->is_boolean()) {
    result.stream = field->get<bool>();
  }
  return result;
}

inline std::string Hex(std::uint64_t value) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(value));  // NOLINT(google-runtime-int)
  return text.data();
}

/// Token `index` of the answer to a request body.
inline std::string Token(std::string_view body, std::uint64_t index) {
  return Hex(XXH64(body.data(), body.size(), index + 1)).substr(0, 8) + " ";
}

/// The response body to a completion request in the pieces that become available one after the
/// other: one per token and one for the end of the stream, or a single one without streaming.
inline std::vector<std::string> ExpectedPieces(const std::string& body) {
  const auto request = ReadCompletion(body);
  std::vector<std::string> pieces;
  if (request.stream) {
    for (std::uint64_t i = 0; i < request.tokens; ++i) {
      pieces.push_back(R"(data: {"choices":[{"index":0,"text":")" + Token(body, i) + "\"}]}\n\n");
    }
    pieces.emplace_back("data: [DONE]\n\n");
    return pieces;
  }
  std::string text;
  for (std::uint64_t i = 0; i < request.tokens; ++i) {
    text += Token(body, i);
  }
  pieces.push_back(R"({"choices":[{"finish_reason":"length","index":0,"text":")" + text +
                   R"("}],"object":"text_completion"})");
  return pieces;
}

/// The whole response body to a completion request.
inline std::string ExpectedCompletion(const std::string& body) {
  const auto pieces = ExpectedPieces(body);
  return std::accumulate(pieces.begin(), pieces.end(), std::string());
}

/// The whole response body of a plain service. `target` is what the service receives.
inline std::string ExpectedPlainAnswer(std::string_view method, std::string_view target,
                                       std::string_view body) {
  std::string text(method);
  text.append("\n").append(target).append("\n").append(body);
  const nlohmann::json answer = {{"target", target},
                                 {"receipt", Hex(XXH64(text.data(), text.size(), 0))}};
  return answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace berylbarrow::tools

#endif  // BERYLBARROW_TOOLS_COMMON_EXPECTED_ANSWER_H_
