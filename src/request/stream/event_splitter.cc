#include "berylbarrow/request/stream/event_splitter.h"

#include <charconv>

namespace berylbarrow {
namespace {

constexpr std::string_view kIdField = "id:";

/// Length of the first whole event with its blank line; 0: there is none.
std::size_t EventLength(std::string_view text) {
  std::size_t line = 0;
  while (line < text.size()) {
    const std::size_t end = text.find('\n', line);
    if (end == std::string_view::npos) return 0;
    const std::size_t length = end - line;
    if (length == 0 || (length == 1 && text[line] == '\r')) return end + 1;
    line = end + 1;
  }
  return 0;
}

std::optional<std::uint64_t> EventId(std::string_view event) {
  std::size_t line = 0;
  while (line < event.size()) {
    std::size_t end = event.find('\n', line);
    if (end == std::string_view::npos) end = event.size();
    std::string_view text = event.substr(line, end - line);
    if (text.substr(0, kIdField.size()) == kIdField) {
      text.remove_prefix(kIdField.size());
      while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
      std::uint64_t id = 0;
      const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), id);
      if (error == std::errc{}) return id;
    }
    line = end + 1;
  }
  return std::nullopt;
}

}  // namespace

std::string event_splitter::Feed(std::string& body) {
  tail_ += body;
  body.clear();
  std::string events;
  std::size_t used = 0;
  while (!gap_) {
    const std::string_view rest = std::string_view(tail_).substr(used);
    const std::size_t length = EventLength(rest);
    if (length == 0) break;
    const std::string_view event = rest.substr(0, length);
    if (Accept(event)) events += event;
    used += length;
  }
  tail_.erase(0, used);
  return events;
}

bool event_splitter::Accept(std::string_view event) {
  const auto id = EventId(event);
  if (id) {
    if (last_event_ && *id <= *last_event_) return false;
    if (resumed_ && last_event_ && *id != *last_event_ + 1) {
      gap_ = true;
      return false;
    }
    last_event_ = id;
  }
  ++passed_;
  return true;
}

void event_splitter::PrepareResumption() {
  tail_.clear();
  resumed_ = true;
}

}  // namespace berylbarrow
