#include "support/naive_parts.h"

#include <utility>
#include <variant>

#include "berylbarrow/process/agent/agent_core.h"
#include "berylbarrow/process/entry/entry_core.h"
#include "support/wrapped_core.h"

namespace berylbarrow {
namespace {

class every_dispatch_policy final : public key_policy {
 public:
  key_decision Decide(const dispatch& /*work*/, const execution_record* /*record*/,
                      closed_state /*closed*/, const grant_window& /*window*/) const override {
    return {.verdict = key_verdict::kRun};
  }
};

template <typename Policy, typename Limit>
fleet_parts WithAgents(const configuration_parser& parser) {
  fleet_parts parts = ProductParts(parser);
  parts.make_agent = [&parser](const process_identity& identity, const std::string& service,
                               std::uint64_t seed) {
    return std::make_unique<agent_core>(
        agent_core_options{.identity = identity, .service = service, .seed = seed}, parser,
        std::make_unique<Policy>(), std::make_unique<Limit>());
  };
  return parts;
}

template <typename Agent>
fleet_parts WrappingAgents(const configuration_parser& parser) {
  fleet_parts parts = ProductParts(parser);
  parts.make_agent = [make = parts.make_agent](const process_identity& identity,
                                               const std::string& service, std::uint64_t seed) {
    return std::make_unique<Agent>(make(identity, service, seed));
  };
  return parts;
}

template <typename Entry>
fleet_parts WrappingEntries(const configuration_parser& parser) {
  fleet_parts parts = ProductParts(parser);
  parts.make_entry = [make = parts.make_entry](const process_identity& identity,
                                               std::uint64_t seed) {
    return std::make_unique<Entry>(make(identity, seed));
  };
  return parts;
}

class never_leaving_agent final : public wrapped_core<agent_decisions> {
 public:
  using wrapped_core::wrapped_core;

  void Handle(const agent_input& input, const moment& at,
              std::vector<agent_output>& outputs) override {
    if (!std::holds_alternative<shutdown_requested>(input)) {
      wrapped_core::Handle(input, at, outputs);
    }
  }
};

class step_deaf_agent : public wrapped_core<agent_decisions> {
 public:
  using wrapped_core::wrapped_core;

  void Handle(const agent_input& input, const moment& at,
              std::vector<agent_output>& outputs) override {
    if (const auto* heard = std::get_if<heartbeat_received>(&input)) {
      heartbeat_received without = *heard;
      last_step_ = std::exchange(without.content.plan_step, 0);
      wrapped_core::Handle(without, at, outputs);
      return;
    }
    if (const auto* received = std::get_if<peer_received>(&input)) {
      peer_received without = *received;
      if (auto* work = std::get_if<dispatch>(&without.message)) {
        work->sender_plan_step = 0;
      }
      wrapped_core::Handle(without, at, outputs);
      return;
    }
    wrapped_core::Handle(input, at, outputs);
  }

 protected:
  std::uint32_t LastStep() const { return last_step_; }

 private:
  std::uint32_t last_step_ = 0;
};

class last_step_agent final : public step_deaf_agent {
 public:
  using step_deaf_agent::step_deaf_agent;

  void Advance(const moment& at, std::vector<agent_output>& outputs) override {
    step_deaf_agent::Advance(at, outputs);
    for (agent_output& output : outputs) {
      if (auto* sent = std::get_if<heartbeat_send>(&output)) {
        sent->content.plan_step = LastStep();
      }
    }
  }
};

class part_losing_entry final : public wrapped_core<entry_decisions> {
 public:
  using wrapped_core::wrapped_core;

  void Handle(const entry_input& input, const moment& at,
              std::vector<entry_output>& outputs) override {
    constexpr std::uint64_t kLost = 50;
    wrapped_core::Handle(input, at, outputs);
    std::erase_if(outputs, [this](const entry_output& output) {
      return std::holds_alternative<caller_part>(output) && ++parts_ % kLost == 0;
    });
  }

 private:
  std::uint64_t parts_ = 0;
};

class suspect_dropping_entry final : public wrapped_core<entry_decisions> {
 public:
  using wrapped_core::wrapped_core;

  void Handle(const entry_input& input, const moment& at,
              std::vector<entry_output>& outputs) override {
    entry_input changed = input;
    if (auto* beat = std::get_if<heartbeat_received>(&changed)) {
      beat->content.suspects.clear();
    } else if (auto* received = std::get_if<peer_received>(&changed)) {
      if (auto* part = std::get_if<answer_part>(&received->message)) {
        part->suspects.clear();
      } else if (auto* content = std::get_if<refusal>(&received->message)) {
        content->suspects.clear();
      }
    }
    wrapped_core::Handle(changed, at, outputs);
  }
};

}  // namespace

fleet_parts RunningEveryDispatch(const configuration_parser& parser) {
  return WithAgents<every_dispatch_policy, cold_start_limit>(parser);
}

fleet_parts WithFixedLimit(const configuration_parser& parser) {
  return WithAgents<grant_key_policy, fixed_limit>(parser);
}

fleet_parts IgnoringShutdown(const configuration_parser& parser) {
  return WrappingAgents<never_leaving_agent>(parser);
}

fleet_parts DeafToSteps(const configuration_parser& parser) {
  return WrappingAgents<step_deaf_agent>(parser);
}

fleet_parts FollowingTheLastStep(const configuration_parser& parser) {
  return WrappingAgents<last_step_agent>(parser);
}

fleet_parts ExitingAtOnce(const configuration_parser& parser) {
  fleet_parts parts = ProductParts(parser);
  parts.ends_at_once = true;
  return parts;
}

fleet_parts DroppingSuspects(const configuration_parser& parser) {
  return WrappingEntries<suspect_dropping_entry>(parser);
}

fleet_parts LosingParts(const configuration_parser& parser) {
  return WrappingEntries<part_losing_entry>(parser);
}

checked<configuration> drain_ignoring_parser::Parse(std::string_view text,
                                                    std::string_view file) const {
  checked<configuration> parsed = remembering_parser::Parse(text, file);
  if (parsed) {
    for (domain_options& domain : parsed.value().domains) {
      domain.state = service_state::kIn;
    }
    for (plan_step& step : parsed.value().move_plan) {
      step.empty.clear();
    }
  }
  return parsed;
}

checked<configuration> upstream_keeping_parser::Parse(std::string_view text,
                                                      std::string_view file) const {
  checked<configuration> parsed = remembering_parser::Parse(text, file);
  if (parsed) {
    for (service_options& service : parsed.value().services) {
      for (upstream_options& upstream : service.upstreams) {
        upstream.state = service_state::kIn;
      }
    }
  }
  return parsed;
}

checked<configuration> first_text_parser::Parse(std::string_view text,
                                                std::string_view file) const {
  if (first_.empty()) {
    first_ = text;
  }
  return remembering_parser::Parse(text == first_ ? text : "refused", file);
}

}  // namespace berylbarrow
