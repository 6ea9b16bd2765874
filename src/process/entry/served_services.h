#ifndef BERYLBARROW_SRC_PROCESS_ENTRY_SERVED_SERVICES_H_
#define BERYLBARROW_SRC_PROCESS_ENTRY_SERVED_SERVICES_H_

#include <map>
#include <optional>
#include <string>

#include "process/entry/directory.h"

namespace berylbarrow {

/// The services of one entry: those it was chosen for, and those it was chosen for a while ago,
/// because callers still hold address responses that name it.
class served_services {
 public:
  /// Follows the choice in `index` for the entry `self`.
  void Update(const directory& index, const std::string& self, time_point now);
  /// Drops the services whose time is over; returns whether there were any.
  bool Expire(time_point now);
  bool Serves(const std::string& service) const { return until_.contains(service); }

 private:
  std::map<std::string, std::optional<time_point>> until_;  // no value: chosen
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_ENTRY_SERVED_SERVICES_H_
