#ifndef BERYLBARROW_SRC_VERSION_ROUTING_CANONICAL_HOST_H_
#define BERYLBARROW_SRC_VERSION_ROUTING_CANONICAL_HOST_H_

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>

namespace berylbarrow {

/// Host names are compared without case and without a port.
inline std::string CanonicalHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return name;
}

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_VERSION_ROUTING_CANONICAL_HOST_H_
