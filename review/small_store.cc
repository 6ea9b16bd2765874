#include "small_store.h"

#include <map>
#include <string_view>

namespace berylbarrow::review {
namespace {

using nlohmann::json;

std::string EncodeBase64(std::string_view bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (unsigned k = 0; k < 4; ++k) {
      text += i + k > bytes.size() ? '=' : kDigits[group >> (18U - 6U * k) & 63U];
    }
  }
  return text;
}

/// The value of a field of the query; "0" if it is missing.
std::string QueryValue(const std::string& target, const std::string& name) {
  auto found = target.find("?" + name + "=");
  if (found == std::string::npos) found = target.find("&" + name + "=");
  if (found == std::string::npos) return "0";
  const auto start = found + name.size() + 2;
  std::string value = target.substr(start, target.find('&', start) - start);
  for (auto at = value.find("%2F"); at != std::string::npos; at = value.find("%2F")) {
    value.replace(at, 3, "/");
  }
  return value;
}

json Item(const std::string& key, const std::string& value, std::uint64_t revision) {
  return {
      {"key", key}, {"value", value}, {"revision", revision}, {"created", revision}, {"lease", 0}};
}

}  // namespace

small_store::small_store() : server_([this](loopback_stream& stream) { Serve(stream); }) {}

small_store::~small_store() {
  stopping_ = true;
  changed_.notify_all();
  server_.Stop();
}

void small_store::Put(const std::string& key, const json& value) {
  const std::lock_guard lock(mutex_);
  history_.push_back({.revision = ++revision_, .key = key, .value = EncodeBase64(value.dump())});
  changed_.notify_all();
}

std::size_t small_store::MakeCopy() {
  const std::lock_guard lock(mutex_);
  return history_.size();
}

void small_store::GoAway() {
  const std::lock_guard lock(mutex_);
  is_away_ = true;
  ++life_;
  changed_.notify_all();
}

void small_store::Restore(std::size_t copy) {
  const std::lock_guard lock(mutex_);
  revision_ -= history_.size() - copy;
  history_.resize(copy);
  ++era_;
  is_away_ = false;
}

json small_store::Range(const std::string& prefix) {
  const std::lock_guard lock(mutex_);
  std::map<std::string, const change*> last;
  for (const change& each : history_) {
    if (each.key.rfind(prefix, 0) == 0) last[each.key] = &each;
  }
  json items = json::array();
  for (const auto& [key, each] : last) items.push_back(Item(key, each->value, each->revision));
  return {{"items", items}, {"hasMore", false}, {"currentRev", revision_}};
}

json small_store::Watch(const std::string& prefix, std::uint64_t after,
                        std::chrono::milliseconds wait) {
  json events = json::array();
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, wait, [&] {
    events = json::array();
    for (const change& each : history_) {
      if (each.revision <= after || each.key.rfind(prefix, 0) != 0) continue;
      events.push_back(Item(each.key, each.value, each.revision));
    }
    return !events.empty() || stopping_ || is_away_;
  });
  return {{"events", events}, {"currentRev", revision_}};
}

std::string small_store::Answer(const std::string& target, std::uint64_t life) {
  const std::string prefix = QueryValue(target, "prefix");
  const std::chrono::milliseconds wait(std::stoll(QueryValue(target, "waitMs")));
  const std::uint64_t after = std::stoull(QueryValue(target, "after"));
  const bool is_watch = target.rfind("/kv-watch", 0) == 0;
  std::unique_lock lock(mutex_);
  const bool is_unknown = is_watch && after > revision_;
  lock.unlock();
  std::string body;
  if (!is_unknown) body = (is_watch ? Watch(prefix, after, wait) : Range(prefix)).dump();
  lock.lock();
  if (is_away_ || life != life_) return "";
  return std::string("HTTP/1.1 ") + (is_unknown ? "410 Gone" : "200 OK") +
         "\r\nStore-Era: " + std::to_string(era_) +
         "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

void small_store::Serve(loopback_stream& stream) {
  const std::uint64_t life = life_;
  const bool is_silent = is_away_;
  while (const auto request = stream.ReadRequest(std::chrono::minutes(5))) {
    const std::string answer = is_silent ? "" : Answer(request->head.target, life);
    if (!answer.empty() && !stream.Send(answer)) return;
  }
}

}  // namespace berylbarrow::review
