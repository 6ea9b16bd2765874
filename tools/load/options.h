#ifndef BERYLBARROW_TOOLS_LOAD_OPTIONS_H_
#define BERYLBARROW_TOOLS_LOAD_OPTIONS_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace berylbarrow::tools {

enum class call_kind : std::uint8_t { kDraft, kLookup, kPayment };
inline constexpr std::size_t kCallKinds = 3;

struct load_options {
  std::vector<std::string> entries;  // "IP:port" of entries that are asked for an address
  std::string direct_model;          // if either is set, calls go there without the system
  std::string direct_plain;
  std::string draft_service = "forms";  // name of the model service in the document
  std::string model = "forms";          // field "model" of a draft
  std::string plain_service = "payments";
  std::string lookup_path = "/status";
  std::string payment_path = "/pay";
  std::vector<std::string> accounts;
  std::array<std::uint32_t, kCallKinds> mix{6, 3, 1};  // relative frequency by call_kind
  std::uint32_t connections = 8;
  double rate = 20;  // calls per second; 0: each connection sends its next call at once
  double seconds = 10;
  std::uint32_t max_tokens = 20;
  std::uint32_t prompts = 16;  // number of different prompt prefixes
  std::uint32_t prompt_bytes = 600;
  std::uint32_t deadline_ms = 30'000;
  std::uint32_t max_attempts = 4;
  std::uint64_t seed = 0;
  std::vector<std::string> ledgers;  // "IP:port" of plain upstreams read at the end
  std::string csv;

  bool Direct() const { return !direct_model.empty() || !direct_plain.empty(); }
};

}  // namespace berylbarrow::tools

#endif  // BERYLBARROW_TOOLS_LOAD_OPTIONS_H_
