#include "berylbarrow/version/configuration/configuration_store.h"

#include <xxhash.h>

#include <utility>

namespace berylbarrow {

offer_result configuration_store::Offer(revision number, const std::string& text) {
  if (number < Revision()) {
    return offer_result::kOlder;
  }
  if (current_ && number == current_->number) {
    return text == current_->text ? offer_result::kKnown : offer_result::kConflict;
  }
  auto parsed = parser_.Parse(text, "published document");
  if (!parsed) {
    last_findings_ = std::move(parsed).error();
    last_refused_ = number;
    return offer_result::kInvalid;
  }
  current_ = std::make_shared<const configuration_version>(
      configuration_version{.number = number,
                            .digest = XXH64(text.data(), text.size(), 0),
                            .text = text,
                            .value = std::move(parsed).value()});
  return offer_result::kAccepted;
}

}  // namespace berylbarrow
