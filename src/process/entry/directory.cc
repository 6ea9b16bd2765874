#include "process/entry/directory.h"

#include <algorithm>
#include <utility>

#include "berylbarrow/process/membership/rendezvous.h"

namespace berylbarrow {
namespace {

// An upstream that only one entry reaches is idle when that entry dies.
constexpr std::size_t kEntriesPerUpstream = 2;

template <typename Value>
const Value* FindIn(const std::map<std::string, const Value*>& index, const std::string& name) {
  const auto place = index.find(name);
  return place == index.end() ? nullptr : place->second;
}

bool MatchesPath(std::string_view prefix, std::string_view path) {
  if (path.substr(0, prefix.size()) != prefix) {
    return false;
  }
  const bool ends_segment = prefix.empty() || prefix.back() == '/' || path.size() == prefix.size();
  return ends_segment || path[prefix.size()] == '/';
}

}  // namespace

directory::directory(std::shared_ptr<const configuration_version> version, const std::string& entry,
                     const domain_filter& in_service)
    : version_(std::move(version)) {
  const configuration& document = version_->value;
  for (const service_options& service : document.services) {
    services_.emplace(service.name, &service);
    if (!service.model.empty()) {
      models_.emplace(service.model, &service);
    }
    for (const upstream_options& upstream : service.upstreams) {
      upstreams_.emplace(upstream.name, &upstream);
    }
  }
  for (const entry_options& other : document.entries) {
    entries_.emplace(other.name, &other);
  }
  ChooseEntries(in_service);
  for (const service_options& service : document.services) {
    ChooseAgents(service, entry);
  }
  for (const account_options& account : document.accounts) {
    accounts_.emplace(account.name, account.weight);
  }
}

void directory::ChooseEntries(const domain_filter& in_service) {
  const configuration& document = version_->value;
  const bool all_serve = document.entries.size() <= document.entries_per_service;
  std::map<std::string, std::vector<std::string>> by_domain;
  for (const entry_options& entry : document.entries) {
    if (all_serve || in_service(entry.domain)) {
      by_domain[entry.domain].push_back(entry.name);
    }
  }
  for (const service_options& service : document.services) {
    const auto chosen = SpreadPick(service.name, by_domain, document.entries_per_service);
    serving_[service.name] = {chosen.begin(), chosen.end()};
  }
}

void directory::ChooseAgents(const service_options& service, const std::string& entry) {
  const std::size_t size = version_->value.subset_size;
  std::vector<std::string> names;
  for (const upstream_options& upstream : service.upstreams) {
    names.push_back(upstream.name);
  }
  auto& subset = subsets_[service.name];
  for (const std::string& name : RendezvousPick(entry, names, size)) {
    subset.push_back(upstreams_.at(name));
  }
  const std::set<std::string>& entries = serving_.at(service.name);
  if (size >= names.size() || !entries.contains(entry)) {
    return;
  }
  std::map<std::string, std::size_t> chosen_by;
  for (const std::string& other : entries) {
    for (const std::string& name : RendezvousPick(other, names, size)) {
      ++chosen_by[name];
    }
  }
  // Independent choices may leave an upstream to one entry or to none.
  const std::vector<std::string> all(entries.begin(), entries.end());
  for (const upstream_options& upstream : service.upstreams) {
    const bool is_chosen = std::find(subset.begin(), subset.end(), &upstream) != subset.end();
    if (chosen_by[upstream.name] < kEntriesPerUpstream && !is_chosen &&
        IsRendezvousPick(upstream.name, all, kEntriesPerUpstream, entry)) {
      subset.push_back(&upstream);
    }
  }
}

const std::set<std::string>& directory::EntriesOf(const std::string& service) const {
  static const std::set<std::string> kNone;
  const auto place = serving_.find(service);
  return place == serving_.end() ? kNone : place->second;
}

const service_options* directory::Service(const std::string& name) const {
  return FindIn(services_, name);
}

const service_options* directory::ServiceOf(const std::string& name,
                                            const std::string& model) const {
  return name.empty() ? FindIn(models_, model) : FindIn(services_, name);
}

const std::vector<const upstream_options*>& directory::Subset(const std::string& service) const {
  static const std::vector<const upstream_options*> kNone;
  const auto place = subsets_.find(service);
  return place == subsets_.end() ? kNone : place->second;
}

const upstream_options* directory::Upstream(const std::string& name) const {
  return FindIn(upstreams_, name);
}

std::optional<std::uint32_t> directory::AccountWeight(const std::string& name) const {
  const auto place = accounts_.find(name);
  return place == accounts_.end() ? std::nullopt : std::make_optional(place->second);
}

const operation_options* OperationOf(const service_options& service, std::string_view method,
                                     std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  const operation_options* best = nullptr;
  for (const operation_options& operation : service.operations) {
    const bool matches = operation.method == method && MatchesPath(operation.path, path);
    if (matches && (best == nullptr || operation.path.size() > best->path.size())) {
      best = &operation;
    }
  }
  return best;
}

bool HasNonIdempotent(const service_options& service) {
  return std::any_of(service.operations.begin(), service.operations.end(),
                     [](const operation_options& operation) { return !operation.idempotent; });
}

const upstream_options* UpstreamOf(const service_options& service, const std::string& name) {
  const auto place =
      std::find_if(service.upstreams.begin(), service.upstreams.end(),
                   [&name](const upstream_options& upstream) { return upstream.name == name; });
  return place == service.upstreams.end() ? nullptr : &*place;
}

}  // namespace berylbarrow
