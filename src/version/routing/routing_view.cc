#include "berylbarrow/version/routing/routing_view.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "version/routing/canonical_host.h"

namespace berylbarrow {
routing_view::routing_view(routing_content content) : content_(std::move(content)) {
  for (std::size_t i = 0; i < content_.routes.size(); ++i) {
    const route& each = content_.routes[i];
    routes_[CanonicalHost(each.host)].emplace(each.prefix, i);
    for (const weighted_service& target : each.services) {
      if (each.gap_target <= duration::zero()) continue;
      const auto known = pauses_.emplace(target.service, each.gap_target).first;
      known->second = std::min(known->second, each.gap_target);
    }
  }
  for (std::size_t i = 0; i < content_.services.size(); ++i) {
    services_.emplace(content_.services[i].name, i);
  }
  if (!content_.accounts) return;
  for (std::size_t i = 0; i < content_.accounts->size(); ++i) {
    for (const std::string& key : (*content_.accounts)[i].keys) {
      // A request without a key has the empty text as its key.
      if (!key.empty()) keys_.emplace(key, i);
    }
  }
}

const route* routing_view::FindRoute(std::string_view host, std::string_view target) const {
  const auto prefixes = routes_.find(CanonicalHost(host));
  if (prefixes == routes_.end()) return nullptr;
  std::string_view path = target.substr(0, target.find('?'));
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    path = path.substr(0, end + 1);
    if (const auto found = prefixes->second.find(path); found != prefixes->second.end()) {
      return &content_.routes[found->second];
    }
  }
  return nullptr;
}

const service_profile* routing_view::FindService(std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &content_.services[found->second];
}

duration routing_view::ShortestPause(const std::string& service) const {
  const auto found = pauses_.find(service);
  return found == pauses_.end() ? duration::zero() : found->second;
}

const client_account* routing_view::FindAccount(std::string_view key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : &(*content_.accounts)[found->second];
}

const std::string& ChooseService(const route& route, double draw) {
  const double total =
      std::accumulate(route.services.begin(), route.services.end(), 0.0,
                      [](double sum, const weighted_service& each) { return sum + each.weight; });
  double left = draw * total;
  for (const weighted_service& each : route.services) {
    left -= each.weight;
    if (left < 0) return each.service;
  }
  return route.services.back().service;
}

}  // namespace berylbarrow
