#include "support/fleet_network.h"

#include <algorithm>
#include <vector>

namespace berylbarrow {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr duration kLeastLatency = microseconds(200);
constexpr duration kMostLatency = milliseconds(2);
constexpr duration kRedial = milliseconds(200);
constexpr duration kRedialAfterClose = milliseconds(50);
// The peer layer closes a connection after 2 s without a byte; it looks every 500 ms.
constexpr duration kSilence = std::chrono::seconds(2);
constexpr duration kPingInterval = milliseconds(500);

}  // namespace

duration fleet_network::Latency(const std::string& left, const std::string& right) {
  duration latency = context_.Between(kLeastLatency, kMostLatency);
  for (const std::string& name : {left, right}) {
    const auto extra = extra_.find(name);
    if (extra != extra_.end()) {
      latency += context_.Between(duration::zero(), extra->second);
    }
  }
  return latency;
}

void fleet_network::Connect(const fleet_process& from, const peer_connect& request) {
  const wish item{from.identity.name, request.name};
  const std::uint64_t number = ++last_wish_;
  wishes_[item] = {request.address, number};
  Dial(item, from.life, number);
}

void fleet_network::Disconnect(const fleet_process& from, const std::string& name) {
  wishes_.erase({from.identity.name, name});
  for (auto& [id, item] : links_) {
    const link_end& dialler = item.ends[0];
    if (dialler.name == from.identity.name && item.dialled_name == name) {
      CloseEnd(id, 0, duration::zero());
      CloseEnd(id, 1, Latency(dialler.name, item.ends[1].name));
    }
  }
}

void fleet_network::Dial(const wish& item, std::uint64_t life, std::uint64_t number) {
  const duration wait = Latency(item.first, item.first);
  context_.After(wait, [this, item, life, number] {
    fleet_process& from = processes_.At(item.first);
    const auto wanted = wishes_.find(item);
    if (from.life != life || wanted == wishes_.end() || wanted->second.second != number) {
      return;
    }
    fleet_process* to = processes_.FindByAddress(wanted->second.first);
    const bool answers = to != nullptr && to != &from && to->is_up && !to->is_paused &&
                         !from.is_paused && CanReach(item.first, to->place.name);
    if (answers) {
      Open(item, from, *to);
      return;
    }
    context_.After(kRedial, [this, item, life, number] { Dial(item, life, number); });
  });
}

void fleet_network::Open(const wish& item, fleet_process& from, fleet_process& to) {
  const connection_id id = ++last_id_;
  links_[id] = {.ends = {link_end{.name = from.identity.name, .life = from.life},
                         link_end{.name = to.identity.name, .life = to.life}},
                .dialled_name = item.second};
  const hello from_greeting{.sender = from.identity, .in_force = from.in_force};
  const hello to_greeting{.sender = to.identity, .in_force = to.in_force};
  for (link_end& end : links_[id].ends) {
    const bool is_dialler = end.name == from.identity.name;
    const duration delay = Latency(from.identity.name, to.identity.name);
    end.last_arrival = context_.Now() + delay;
    const hello& greeting = is_dialler ? to_greeting : from_greeting;
    context_.After(delay, [this, id, is_dialler, greeting] {
      const auto place = links_.find(id);
      const link_end& opened = place->second.ends.at(is_dialler ? 0 : 1);
      if (opened.is_open) {
        processes_.Give(opened.name, opened.life,
                        peer_opened{.connection = id, .greeting = greeting});
      }
    });
  }
}

void fleet_network::Send(const fleet_process& from, const peer_send& message) {
  const auto place = links_.find(message.connection);
  if (place == links_.end() || place->second.is_silent) {
    return;
  }
  link& item = place->second;
  const std::size_t sender = item.ends[0].name == from.identity.name ? 0 : 1;
  link_end& receiver = item.ends.at(1 - sender);
  if (!item.ends.at(sender).is_open || !receiver.is_open) {
    return;
  }
  const duration latency = Latency(from.identity.name, receiver.name);
  receiver.last_arrival = std::max(receiver.last_arrival, context_.Now() + latency);
  context_.After(receiver.last_arrival - context_.Now(), [this, message, sender] {
    const link& open = links_.at(message.connection);
    const link_end& end = open.ends.at(1 - sender);
    if (end.is_open && !open.is_silent) {
      processes_.Give(end.name, end.life,
                      peer_received{.connection = message.connection, .message = message.message});
    }
  });
}

void fleet_network::Send(const fleet_process& from, const heartbeat_send& message) {
  fleet_process* to = processes_.FindByAddress(message.to);
  if (to == nullptr || !CanReach(from.place.name, to->place.name)) {
    return;
  }
  std::size_t copies = 1;
  if (has_bad_datagrams_) {
    copies = context_.Chance(0.4) ? 0 : 1 + context_.Below(2);
  }
  for (std::size_t i = 0; i < copies; ++i) {
    duration delay = Latency(from.place.name, to->place.name);
    if (has_bad_datagrams_ && context_.Chance(0.4)) {
      delay += context_.Between(duration::zero(), std::chrono::seconds(3));
    }
    context_.After(delay, [this, to, content = message.content, address = from.place.address] {
      if (CanReach(content.sender.name, to->place.name)) {
        processes_.Give(to->place.name, to->life,
                        heartbeat_received{.from = address, .content = content});
      }
    });
  }
}

void fleet_network::CloseEnd(connection_id id, std::size_t end, duration delay) {
  link_end& target = links_.at(id).ends.at(end);
  if (!target.is_open) {
    return;
  }
  context_.After(delay, [this, id, end] {
    link& item = links_.at(id);
    link_end& closed = item.ends.at(end);
    if (!closed.is_open) {
      return;
    }
    closed.is_open = false;
    processes_.Give(closed.name, closed.life, peer_closed{.connection = id});
    const wish wanted{closed.name, item.dialled_name};
    const auto place = wishes_.find(wanted);
    if (end == 0 && place != wishes_.end()) {
      const std::uint64_t number = place->second.second;
      context_.After(kRedialAfterClose,
                     [this, wanted, number, life = closed.life] { Dial(wanted, life, number); });
    }
  });
}

void fleet_network::OnStopped(const std::string& name, bool is_graceful) {
  std::erase_if(wishes_, [&name](const auto& item) { return item.first.first == name; });
  for (auto& [id, item] : links_) {
    for (std::size_t end = 0; end < item.ends.size(); ++end) {
      link_end& other = item.ends.at(1 - end);
      if (item.ends.at(end).name != name || !item.ends.at(end).is_open) {
        continue;
      }
      item.ends.at(end).is_open = false;
      const duration drain = std::max(duration::zero(), other.last_arrival - context_.Now());
      const duration reset = context_.Between(duration::zero(), drain + kMostLatency);
      if (!item.is_silent) {
        CloseEnd(id, 1 - end, is_graceful ? drain + kMostLatency : reset);
      }
    }
  }
}

void fleet_network::OnPaused(const std::string& name) {
  const std::uint64_t life = processes_.At(name).life;
  context_.After(kSilence, [this, name, life] {
    const fleet_process& paused = processes_.At(name);
    if (!paused.is_paused || paused.life != life) {
      return;
    }
    for (auto& [id, item] : links_) {
      if (item.ends[0].name == name || item.ends[1].name == name) {
        const std::size_t own = item.ends[0].name == name ? 0 : 1;
        const duration delay = context_.Between(duration::zero(), kPingInterval);
        CloseEnd(id, 1 - own, delay);
        CloseEnd(id, own, delay + kMostLatency);
      }
    }
  });
}

void fleet_network::SetExtraDelay(const std::string& name, duration most) { extra_[name] = most; }

void fleet_network::CloseLinks(const std::string& name) {
  for (auto& [id, item] : links_) {
    if (item.ends[0].name == name || item.ends[1].name == name) {
      CloseEnd(id, 0, context_.Between(duration::zero(), kPingInterval));
      CloseEnd(id, 1, context_.Between(duration::zero(), kPingInterval));
    }
  }
}

void fleet_network::Silence(connection_id id) {
  link& item = links_.at(id);
  if (item.is_silent) {
    return;
  }
  item.is_silent = true;
  for (std::size_t end = 0; end < item.ends.size(); ++end) {
    CloseEnd(id, end, kSilence + context_.Between(duration::zero(), kPingInterval));
  }
}

void fleet_network::SilenceLinks(const std::string& name) {
  for (auto& [id, item] : links_) {
    if (item.ends[0].name == name || item.ends[1].name == name) {
      Silence(id);
    }
  }
}

void fleet_network::Partition(const std::set<std::string>& side) {
  side_ = side;
  for (auto& [id, item] : links_) {
    if (!CanReach(item.ends[0].name, item.ends[1].name)) {
      Silence(id);
    }
  }
}

}  // namespace berylbarrow
