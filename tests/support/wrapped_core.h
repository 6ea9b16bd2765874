#ifndef BERYLBARROW_TESTS_SUPPORT_WRAPPED_CORE_H_
#define BERYLBARROW_TESTS_SUPPORT_WRAPPED_CORE_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "berylbarrow/process/core/core.h"

namespace berylbarrow {

/// Passes everything on to the core of the product, which may be changed in a subclass.
template <typename Core>
class wrapped_core : public Core {
 public:
  using input_type = typename Core::input_type;
  using output_type = typename Core::output_type;

  explicit wrapped_core(std::unique_ptr<Core> inner) : inner_(std::move(inner)) {}

  void Handle(const input_type& input, const moment& at,
              std::vector<output_type>& outputs) override {
    inner_->Handle(input, at, outputs);
  }
  void Advance(const moment& at, std::vector<output_type>& outputs) override {
    inner_->Advance(at, outputs);
  }
  time_point NextDeadline() const override { return inner_->NextDeadline(); }
  nlohmann::json State() const override { return inner_->State(); }

 private:
  std::unique_ptr<Core> inner_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_SUPPORT_WRAPPED_CORE_H_
