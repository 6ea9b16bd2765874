#include "process/entry/served_services.h"

namespace berylbarrow {
namespace {

// Other entries name this one until the change is in force there (target of G9).
constexpr duration kChangeEverywhere = std::chrono::seconds(7);

}  // namespace

void served_services::Update(const directory& index, const std::string& self, time_point now) {
  for (const service_options& service : index.Document().services) {
    if (index.EntriesOf(service.name).contains(self)) {
      until_[service.name] = std::nullopt;
    }
  }
  for (auto& [service, until] : until_) {
    if (!until && !index.EntriesOf(service).contains(self)) {
      until = now + index.Document().address_lifetime + kChangeEverywhere;
    }
  }
}

bool served_services::Expire(time_point now) {
  return std::erase_if(until_,
                       [now](const auto& item) { return item.second && *item.second <= now; }) > 0;
}

}  // namespace berylbarrow
