#include "engine.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>
#include <vector>

namespace berylbarrow::bench {

std::string FormatOrder(const work_order& order) {
  return std::to_string(order.call) + " " + std::to_string(order.tokens) + " " +
         std::to_string(order.prefix);
}

work_order ParseOrder(const std::string& body) {
  work_order order;
  std::istringstream(body) >> order.call >> order.tokens >> order.prefix;
  return order;
}

std::string TokenText(std::uint64_t call, std::uint32_t index) {
  std::array<char, kTokenBytes + 1> text{};
  std::snprintf(text.data(), text.size(), "%04u%03u ", static_cast<unsigned>(call % 10000),
                index % 1000);
  return {text.data(), kTokenBytes};
}

bool engine::Lookup(std::uint32_t prefix) {
  ++counts_.lookups;
  const auto place = std::find(cache_.begin(), cache_.end(), prefix);
  const bool is_hit = place != cache_.end();
  if (is_hit) {
    cache_.erase(place);
    ++counts_.hits;
  }
  cache_.push_front(prefix);
  if (cache_.size() > options_.cached_prefixes) {
    cache_.pop_back();
  }
  return is_hit;
}

void engine::Start(const upstream_start& start) {
  if (is_down_) {
    time_.After({}, [this, execution = start.execution] {
      sink_(upstream_end{.execution = execution, .outcome = upstream_outcome::kNotSent});
    });
    return;
  }
  const work_order order = ParseOrder(start.request.body);
  runs_[start.execution] = {.order = order,
                            .next = static_cast<std::uint32_t>(start.resume_offset / kTokenBytes)};
  if (IsCold() && runs_.size() > options_.cold_limit + completions_ / options_.cold_per_step) {
    time_.After({}, [this, life = life_] {
      if (life == life_) {
        Crash();
      }
    });
    return;
  }
  duration wait = Scaled(options_.plain_time);
  if (options_.is_model) {
    wait = Scaled(Lookup(order.prefix) ? options_.cached_prefill : options_.prefill) + Gap();
  }
  time_.After(wait, [this, execution = start.execution, life = life_] { Step(execution, life); });
}

void engine::Step(execution_id execution, std::uint64_t life) {
  const auto place = runs_.find(execution);
  if (life != life_ || place == runs_.end()) {
    return;
  }
  run& current = place->second;
  if (!current.has_head) {
    current.has_head = true;
    sink_(upstream_head{.execution = execution, .status = 200, .content_type = "text/plain"});
  }
  if (current.next < current.order.tokens) {
    sink_(upstream_part{.execution = execution,
                        .bytes = TokenText(current.order.call, current.next)});
    ++current.next;
  }
  if (current.next >= current.order.tokens) {
    runs_.erase(execution);
    ++completions_;
    sink_(upstream_end{.execution = execution});
    return;
  }
  time_.After(Gap(), [this, execution, life] { Step(execution, life); });
}

void engine::Cancel(execution_id execution) {
  if (runs_.erase(execution) > 0) {
    time_.After({}, [this, execution] {
      sink_(upstream_end{.execution = execution, .outcome = upstream_outcome::kBroken});
    });
  }
}

void engine::Restart() {
  ++life_;
  is_down_ = false;
  completions_ = 0;
  cache_.clear();
  started_ = time_.Now();
  std::vector<execution_id> lost;
  for (const auto& [execution, item] : runs_) {
    lost.push_back(execution);
  }
  runs_.clear();
  for (const execution_id execution : lost) {
    sink_(upstream_end{.execution = execution, .outcome = upstream_outcome::kBroken});
  }
}

void engine::Crash() {
  ++counts_.crashes;
  is_down_ = true;
  const std::uint64_t next_life = life_ + 1;
  Restart();
  is_down_ = true;
  time_.After(options_.restart_time, [this, next_life] {
    if (life_ == next_life) {
      is_down_ = false;
      started_ = time_.Now();
    }
  });
}

void engine::Report() {
  reports_.push_back({.reachable = !is_down_,
                      .instance = std::to_string(life_),
                      .uptime = time_.Now() - started_,
                      .running = static_cast<std::uint32_t>(runs_.size())});
  if (reports_.size() > 1) {
    sink_(reports_.front());
    reports_.pop_front();
  }
}

}  // namespace berylbarrow::bench
