#ifndef BERYLBARROW_VERSION_STORE_EVACUATION_VIEW_H_
#define BERYLBARROW_VERSION_STORE_EVACUATION_VIEW_H_

#include <map>
#include <set>
#include <string>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

struct evacuation_view_options {
  /// An evacuation that a restored store lacks holds for so long, until the operator has written it
  /// again.
  duration rewrite_time = std::chrono::seconds(10);
};

/// The failure domains that are evacuated, by what the store holds. After a restoration an
/// evacuation that the store has lost goes on, and one that it has back holds until the operator
/// ends it again: to send nothing to a sound domain for some seconds is the lesser harm.
class evacuation_view {
 public:
  explicit evacuation_view(const evacuation_view_options& options) : options_(options) {}

  /// The store holds these evacuations and no others.
  void Replace(const std::set<std::string>& domains, time_point now);
  void Put(const std::string& domain);
  void Remove(const std::string& domain);
  /// What is read next is older than what is known.
  void OnStoreRestored() { is_restored_ = true; }

  /// Whether some are held on to that the store has lost.
  bool HoldsLost() const { return !lost_.empty(); }
  /// Drops those that nobody has written again in time.
  std::set<std::string> Domains(time_point now);

 private:
  evacuation_view_options options_;
  std::set<std::string> stored_;
  std::map<std::string, time_point> lost_;  // held on to until that time
  bool is_restored_ = false;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_STORE_EVACUATION_VIEW_H_
