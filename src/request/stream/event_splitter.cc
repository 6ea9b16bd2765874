#include "berylbarrow/request/stream/event_splitter.h"

#include <charconv>

namespace berylbarrow {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kDataField = "data";

/// Bytes of the first complete event, with the blank line that ends it; 0 if there is none.
std::size_t EventLength(std::string_view text) {
  std::size_t line_start = 0;
  while (line_start < text.size()) {
    const std::size_t line_end = text.find('\n', line_start);
    if (line_end == std::string_view::npos) return 0;
    const std::size_t length = line_end - line_start;
    if (length == 0 || (length == 1 && text[line_start] == '\r')) return line_end + 1;
    line_start = line_end + 1;
  }
  return 0;
}

bool HasData(std::string_view event) {
  return event.substr(0, kDataField.size()) == kDataField ||
         event.find("\ndata") != std::string_view::npos;
}

/// Value of the first id field that begins with a decimal number.
std::optional<std::uint64_t> ParseEventId(std::string_view event) {
  std::size_t line_start = 0;
  while (line_start < event.size()) {
    std::size_t line_end = event.find('\n', line_start);
    if (line_end == std::string_view::npos) line_end = event.size();
    std::string_view text = event.substr(line_start, line_end - line_start);
    if (text.substr(0, kIdField.size()) == kIdField) {
      text.remove_prefix(kIdField.size());
      while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
      std::uint64_t id = 0;
      const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), id);
      if (error == std::errc{}) return id;
    }
    line_start = line_end + 1;
  }
  return std::nullopt;
}

}  // namespace

std::string event_splitter::Feed(std::string& body) {
  partial_event_ += body;
  body.clear();
  std::string events;
  std::size_t consumed = 0;
  while (!has_gap_) {
    const std::string_view rest = std::string_view(partial_event_).substr(consumed);
    const std::size_t length = EventLength(rest);
    if (length == 0) break;
    const std::string_view event = rest.substr(0, length);
    if (Accept(event)) events += event;
    consumed += length;
  }
  partial_event_.erase(0, consumed);
  return events;
}

bool event_splitter::Accept(std::string_view event) {
  const auto id = ParseEventId(event);
  if (id) {
    if (last_event_id_ && *id <= *last_event_id_) return false;
    if (is_resumed_ && last_event_id_ && *id != *last_event_id_ + 1) {
      has_gap_ = true;
      return false;
    }
    last_event_id_ = id;
  }
  if (HasData(event)) ++forwarded_events_;
  return true;
}

void event_splitter::PrepareResumption() {
  partial_event_.clear();
  is_resumed_ = true;
}

}  // namespace berylbarrow
