#include "berylbarrow/process/telemetry/log.h"

#include <easylogging++.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "process/telemetry/log_output.h"

INITIALIZE_EASYLOGGINGPP

namespace berylbarrow {
namespace {

constexpr auto kWindow = std::chrono::seconds(1);
constexpr std::array<const char*, 4> kLevelNames{"DEBUG", "INFO", "WARNING", "ERROR"};

std::string TimeText(wall_time time) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
  const std::time_t seconds = milliseconds / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> day{};
  std::strftime(day.data(), day.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "%s.%03dZ", day.data(),
                static_cast<int>(milliseconds % 1000));
  return text.data();
}

std::string Quote(const std::string& text) {
  return nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

// A value with a line break or a space must not look like a further line or field.
std::string TextValue(const std::string& value) {
  const bool plain = !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
    return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
  });
  return plain ? value : Quote(value);
}

struct event {
  log_level level = log_level::kInfo;
  std::string_view module;
  std::string_view name;
};

/// State of the log; its functions are called with the mutex held.
class log_state {
 public:
  log_state() {
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configurations.setGlobally(el::ConfigurationType::Enabled, "true");
    output_ = el::Loggers::getLogger("berylbarrow");
    el::Loggers::reconfigureLogger(output_, configurations);
  }

  std::mutex& Mutex() { return mutex_; }

  void Configure(const log_options& options, std::string process, std::string domain,
                 const runtime_clock& clock) {
    options_ = options;
    process_ = std::move(process);
    domain_ = std::move(domain);
    clock_ = &clock;
    windows_.clear();
    next_sweep_ = clock.Now() + kWindow;
  }

  void WriteTo(int descriptor) {
    if (buffer_) return;
    buffer_ = std::make_unique<log_output>(descriptor);
    std::cout.rdbuf(buffer_.get());
  }

  bool Enabled(log_level level, std::string_view module) const {
    const auto found = options_.modules.find(std::string(module));
    return level >= (found == options_.modules.end() ? options_.level : found->second);
  }

  void Event(const event& event, const std::vector<log_field>& fields) {
    const auto now = clock_->Now();
    if (now >= next_sweep_) {
      next_sweep_ = now + kWindow;
      Sweep(now);
    }
    auto& window = windows_[{std::string(event.module), std::string(event.name)}];
    if (now >= window.start + kWindow) {
      window.start = now;
      window.logged = 0;
    }
    if (window.logged >= options_.max_events_per_second) {
      ++window.suppressed;
      return;
    }
    ++window.logged;
    Write(event, fields, std::exchange(window.suppressed, 0));
  }

  /// Logs the suppressed counts of the windows that ended before `now` and forgets the windows.
  void Sweep(time_point now) {
    for (auto each = windows_.begin(); each != windows_.end();) {
      const auto& [key, window] = *each;
      if (window.start + kWindow > now) {
        ++each;
        continue;
      }
      if (window.suppressed > 0) {
        Write({.level = log_level::kInfo, .module = key.first, .name = "events_suppressed"},
              {{"name", key.second}}, window.suppressed);
      }
      each = windows_.erase(each);
    }
  }

 private:
  struct window {
    time_point start = time_point::min();
    std::uint32_t logged = 0;
    std::uint64_t suppressed = 0;
  };

  void Write(const event& event, const std::vector<log_field>& fields, std::uint64_t suppressed) {
    auto all = fields;
    if (suppressed > 0) {
      all.push_back({"suppressed", std::to_string(suppressed)});
    }
    if (const std::uint64_t dropped = buffer_ ? buffer_->TakeDropped() : 0; dropped > 0) {
      all.push_back({"dropped", std::to_string(dropped)});
    }
    const auto line =
        options_.format == log_format::kJson ? JsonLine(event, all) : TextLine(event, all);
    switch (event.level) {
      case log_level::kDebug:
        output_->debug(line);
        break;
      case log_level::kInfo:
        output_->info(line);
        break;
      case log_level::kWarning:
        output_->warn(line);
        break;
      case log_level::kError:
        output_->error(line);
        break;
    }
  }

  std::string TextLine(const event& event, const std::vector<log_field>& fields) const {
    std::string line = TimeText(clock_->WallNow());
    line.append(" ").append(kLevelNames.at(static_cast<std::size_t>(event.level)));
    for (const auto& part : {std::string(event.module), process_, domain_}) {
      line.append(" ").append(part.empty() ? "-" : TextValue(part));
    }
    line.append(" ").append(event.name);
    for (const auto& field : fields) {
      line.append(" ").append(field.key).append("=").append(TextValue(field.value));
    }
    return line;
  }

  std::string JsonLine(const event& event, const std::vector<log_field>& fields) const {
    nlohmann::ordered_json line = {{"time", TimeText(clock_->WallNow())},
                                   {"level", kLevelNames.at(static_cast<std::size_t>(event.level))},
                                   {"module", event.module},
                                   {"process", process_},
                                   {"failure_domain", domain_},
                                   {"event", event.name},
                                   {"fields", nlohmann::ordered_json::object()}};
    for (const auto& field : fields) {
      line["fields"][field.key] = field.value;
    }
    return line.dump(-1, ' ', true, nlohmann::ordered_json::error_handler_t::replace);
  }

  std::mutex mutex_;
  system_clock system_clock_;
  const runtime_clock* clock_ = &system_clock_;
  log_options options_;
  std::string process_;
  std::string domain_;
  std::map<std::pair<std::string, std::string>, window> windows_;
  time_point next_sweep_ = time_point::min();
  std::unique_ptr<log_output> buffer_;  // null: lines go to std::cout as it is
  el::Logger* output_ = nullptr;
};

log_state& State() {
  // Never destroyed: threads may log while static objects are destroyed.
  static auto* const kState = new log_state;
  return *kState;
}

}  // namespace

void logger::Configure(const log_options& options, std::string process, std::string domain,
                       const runtime_clock& clock) {
  const std::lock_guard lock(State().Mutex());
  State().Configure(options, std::move(process), std::move(domain), clock);
}

void logger::WriteTo(int descriptor) {
  const std::lock_guard lock(State().Mutex());
  State().WriteTo(descriptor);
}

void logger::Event(log_level level, std::string_view module, std::string_view name,
                   const std::vector<log_field>& fields) {
  const std::lock_guard lock(State().Mutex());
  if (State().Enabled(level, module)) {
    State().Event({.level = level, .module = module, .name = name}, fields);
  }
}

bool logger::Enabled(log_level level, std::string_view module) {
  const std::lock_guard lock(State().Mutex());
  return State().Enabled(level, module);
}

void logger::Flush() {
  const std::lock_guard lock(State().Mutex());
  State().Sweep(time_point::max());
}

}  // namespace berylbarrow
