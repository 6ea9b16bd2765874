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

std::shared_ptr<upstream_link> link_pool::TakeIdle(const link_request& request) {
  const auto found = idle_.find(request.upstream_id);
  if (found == idle_.end()) return nullptr;
  const time_point now = clock_.Now();
  link_list& idle = found->second;
  for (std::size_t i = idle.size(); i-- > 0;) {
    const auto at = idle.begin() + static_cast<std::ptrdiff_t>(i);
    std::shared_ptr<upstream_link> link = *at;
    const bool recent =
        !request.must_be_recent || now - link->IdleSince() <= options_.max_idle_if_not_repeatable;
    const bool usable =
        link->IsIdle() && link->Address() == request.address && !IsExpired(*link, now) && recent;
    const bool answered =
        std::find(request.answered.begin(), request.answered.end(), link) != request.answered.end();
    if (usable && answered) continue;
    idle.erase(at);
    if (usable) return link;
    link->Close();
  }
  return nullptr;
}

std::shared_ptr<upstream_link> link_pool::Acquire(const link_request& request) {
  if (auto link = request.must_be_new ? nullptr : TakeIdle(request)) {
    busy_.insert(link);
    return link;
  }
  upstream_link_options options = options_.link;
  options.address = request.address;
  options.serial = ++opened_links_;
  auto link = std::make_shared<upstream_link>(
      context_, options, clock_, [this, upstream_id = request.upstream_id](upstream_link& ended) {
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
