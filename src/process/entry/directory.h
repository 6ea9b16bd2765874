#ifndef BERYLBARROW_SRC_PROCESS_ENTRY_DIRECTORY_H_
#define BERYLBARROW_SRC_PROCESS_ENTRY_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "berylbarrow/version/configuration/configuration_store.h"

namespace berylbarrow {

using domain_filter = std::function<bool(const std::string& domain)>;

/// Index over the document in force. Pointers are valid as long as the directory.
class directory {
 public:
  directory() = default;
  /// `entry` is the name of this entry; it decides the subset of agents of each service.
  /// `in_service` tells whether a failure domain is in service.
  directory(std::shared_ptr<const configuration_version> version, const std::string& entry,
            const domain_filter& in_service);

  bool IsKnown() const { return version_ != nullptr; }
  const configuration& Document() const { return version_->value; }
  const service_options* Service(const std::string& name) const;
  /// The service of a request: by name, or by model if the name is empty.
  const service_options* ServiceOf(const std::string& name, const std::string& model) const;
  /// The entries that serve the service.
  const std::set<std::string>& EntriesOf(const std::string& service) const;
  /// The agents of the service that this entry talks to if it serves the service.
  const std::vector<const upstream_options*>& Subset(const std::string& service) const;
  const upstream_options* Upstream(const std::string& name) const;
  bool IsEntry(const std::string& name) const { return entries_.contains(name); }
  std::optional<std::uint32_t> AccountWeight(const std::string& name) const;

 private:
  void ChooseEntries(const domain_filter& in_service);
  void ChooseAgents(const service_options& service, const std::string& entry);

  std::shared_ptr<const configuration_version> version_;
  std::map<std::string, const service_options*> services_;
  std::map<std::string, const service_options*> models_;
  std::map<std::string, const upstream_options*> upstreams_;
  std::map<std::string, const entry_options*> entries_;
  std::map<std::string, std::uint32_t> accounts_;
  std::map<std::string, std::set<std::string>> serving_;  // entries by service
  std::map<std::string, std::vector<const upstream_options*>> subsets_;
};

/// The operation that a call belongs to: same method, longest path prefix that ends at a segment.
/// Null if there is none.
const operation_options* OperationOf(const service_options& service, std::string_view method,
                                     std::string_view target);

bool HasNonIdempotent(const service_options& service);

const upstream_options* UpstreamOf(const service_options& service, const std::string& name);

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_ENTRY_DIRECTORY_H_
