#include "process/gateway/link_pool.h"

#include <algorithm>
#include <utility>

namespace berylbarrow {

bool link_pool::IsExpired(const upstream_link& link, time_point now) const {
  // Half of the keep-alive timeout of the upstream, so that the upstream does not close the link
  // just as a request is sent on it.
  const duration limit = link.KeepAliveHint() ? *link.KeepAliveHint() / 2 : options_.idle_lifetime;
  return now - link.IdleSince() > limit;
}

std::shared_ptr<upstream_link> link_pool::Acquire(const std::string& upstream_id,
                                                  const std::string& address, bool must_be_recent) {
  const time_point now = clock_.Now();
  link_list& idle = idle_[upstream_id];
  while (!idle.empty()) {
    std::shared_ptr<upstream_link> link = std::move(idle.back());
    idle.pop_back();
    const bool recent =
        !must_be_recent || now - link->IdleSince() <= options_.max_idle_if_not_repeatable;
    if (link->IsIdle() && link->Address() == address && !IsExpired(*link, now) && recent) {
      busy_.insert(link);
      return link;
    }
    link->Close();
  }
  upstream_link_options options = options_.link;
  options.address = address;
  auto link = std::make_shared<upstream_link>(
      context_, options, clock_, [this, upstream_id](upstream_link& ended) {
        link_list& all = idle_[upstream_id];
        all.erase(std::remove_if(all.begin(), all.end(),
                                 [&](const auto& each) { return each.get() == &ended; }),
                  all.end());
      });
  busy_.insert(link);
  return link;
}

void link_pool::Release(const std::string& upstream_id,
                        const std::shared_ptr<upstream_link>& link) {
  busy_.erase(link);
  if (!link->IsIdle()) return;
  link_list& idle = idle_[upstream_id];
  if (idle.size() >= options_.max_idle_per_upstream) {
    idle.front()->Close();
    idle.erase(idle.begin());
  }
  idle.push_back(link);
}

void link_pool::CheckTimeouts(time_point now) {
  const link_list busy(busy_.begin(), busy_.end());
  for (const auto& link : busy) link->CheckTimeouts(now);
  for (auto each = idle_.begin(); each != idle_.end();) {
    link_list& idle = each->second;
    const auto expired = std::remove_if(idle.begin(), idle.end(), [&](const auto& link) {
      if (!IsExpired(*link, now)) return false;
      link->Close();
      return true;
    });
    idle.erase(expired, idle.end());
    each = idle.empty() ? idle_.erase(each) : std::next(each);
  }
}

}  // namespace berylbarrow
