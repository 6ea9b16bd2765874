#include "support/store_stand_in.h"

#include <map>
#include <string_view>
#include <utility>

namespace berylbarrow {
namespace {

using nlohmann::json;

std::string EncodeBase64(std::string_view bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const auto byte = i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U;
      group = group << 8U | byte;
    }
    for (unsigned k = 0; k < 4; ++k) {
      const bool is_padding = i + k > bytes.size();
      text += is_padding ? '=' : kDigits[group >> (18U - 6U * k) & 63U];
    }
  }
  return text;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  for (const char mark : {'?', '&'}) {
    const std::string key = mark + name + '=';
    const auto found = target.find(key);
    if (found == std::string::npos) continue;
    const auto start = found + key.size();
    std::string value = target.substr(start, target.find('&', start) - start);
    // The only character that the keys in use need encoded.
    for (auto at = value.find("%2F"); at != std::string::npos; at = value.find("%2F")) {
      value.replace(at, 3, "/");
    }
    return value;
  }
  return "0";
}

std::string MakeAnswer(unsigned status, const std::string& body, std::uint64_t era = 0) {
  return "HTTP/1.1 " + std::to_string(status) + " Any\r\n" +
         (era > 0 ? "Store-Era: " + std::to_string(era) + "\r\n" : "") +
         "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace

store_stand_in::store_stand_in() : server_([this](loopback_stream& stream) { Serve(stream); }) {}

store_stand_in::~store_stand_in() {
  stopping_ = true;
  changed_.notify_all();
  server_.Stop();
}

void store_stand_in::Put(const std::string& key, const json& value) {
  Record({.key = key, .value = EncodeBase64(value.dump())});
}

void store_stand_in::Remove(const std::string& key) { Record({.key = key, .is_removal = true}); }

void store_stand_in::Record(change&& made) {
  const std::lock_guard lock(mutex_);
  made.revision = ++revision_;
  history_.push_back(std::move(made));
  changed_.notify_all();
}

std::size_t store_stand_in::MakeBackup() {
  const std::lock_guard lock(mutex_);
  return history_.size();
}

std::uint64_t store_stand_in::Era() {
  const std::lock_guard lock(mutex_);
  return era_;
}

void store_stand_in::Restore(std::size_t backup) {
  const std::lock_guard lock(mutex_);
  revision_ -= history_.size() - backup;
  history_.resize(backup);
  ++era_;
  changed_.notify_all();
}

store_stand_in::stated_answer store_stand_in::Range(const std::string& prefix) {
  const std::lock_guard lock(mutex_);
  std::map<std::string, const change*> last;
  for (const change& each : history_) {
    if (each.key.starts_with(prefix)) last[each.key] = &each;
  }
  json items = json::array();
  for (const auto& [key, item] : last) {
    if (item->is_removal) continue;
    items.push_back({{"key", key},
                     {"value", item->value},
                     {"revision", item->revision},
                     {"created", item->revision},
                     {"lease", 0}});
  }
  return {.body = {{"items", items}, {"hasMore", false}, {"currentRev", revision_}}, .era = era_};
}

store_stand_in::stated_answer store_stand_in::Watch(const std::string& prefix, std::uint64_t after,
                                                    std::chrono::milliseconds wait) {
  json events = json::array();
  const auto collect = [&] {
    for (const change& each : history_) {
      if (each.revision <= after || !each.key.starts_with(prefix)) continue;
      json event = {{"key", each.key}, {"revision", each.revision}};
      if (each.is_removal) {
        event["tombstone"] = true;
      } else {
        event.update({{"value", each.value}, {"created", each.revision}, {"lease", 0}});
      }
      events.push_back(std::move(event));
    }
    return !events.empty() || stopping_;
  };
  std::unique_lock lock(mutex_);
  if (after > revision_) return {.status = 410, .era = era_};
  changed_.wait_for(lock, wait, collect);
  return {.body = {{"events", events}, {"currentRev", revision_}}, .era = era_};
}

std::string store_stand_in::Answer(const std::string& target) {
  const std::string prefix = QueryValue(target, "prefix");
  const bool is_range = target.starts_with("/kv-range");
  if (!is_range && !target.starts_with("/kv-watch")) return MakeAnswer(404, "");
  const std::chrono::milliseconds wait(std::stoll(QueryValue(target, "waitMs")));
  const stated_answer answer =
      is_range ? Range(prefix) : Watch(prefix, std::stoull(QueryValue(target, "after")), wait);
  return MakeAnswer(answer.status, answer.body.dump(), answer.era);
}

void store_stand_in::Serve(loopback_stream& stream) {
  while (const auto request = stream.ReadRequest(std::chrono::minutes(5))) {
    std::string answer = Answer(request->head.target);
    while (fault_ == fault::kSilent && !stopping_) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    if (fault_ == fault::kRefusing) answer = MakeAnswer(503, "", Era());
    if (!stream.Send(answer)) return;
  }
}

}  // namespace berylbarrow
