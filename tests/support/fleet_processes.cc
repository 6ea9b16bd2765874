#include "support/fleet_processes.h"

#include <nlohmann/json.hpp>
#include <type_traits>

#include "berylbarrow/process/agent/agent_core.h"
#include "berylbarrow/process/entry/entry_core.h"

namespace berylbarrow {
namespace {

// A deadline that stays due is served at this interval, as a busy loop would starve the run.
constexpr duration kLeastWait = std::chrono::microseconds(200);

std::vector<std::string> Seeds() {
  return {FleetPlaces()[0].address, FleetPlaces()[1].address, FleetPlaces()[3].address};
}

template <typename Core>
void HandleIn(Core& core, const fleet_input& input, const moment& at,
              std::vector<typename Core::output_type>& outputs) {
  std::visit(
      [&](const auto& event) {
        if constexpr (std::is_constructible_v<typename Core::input_type, decltype(event)>) {
          core.Handle(event, at, outputs);
        }
      },
      input);
}

}  // namespace

fleet_parts ProductParts(const configuration_parser& parser) {
  return {
      .parser = &parser,
      .make_entry =
          [&parser](const process_identity& identity, std::uint64_t seed) {
            return MakeEntryCore({.identity = identity, .seeds = Seeds(), .seed = seed}, parser);
          },
      .make_agent =
          [&parser](const process_identity& identity, const std::string& service,
                    std::uint64_t seed) {
            return MakeAgentCore(
                {.identity = identity, .service = service, .seeds = Seeds(), .seed = seed}, parser);
          }};
}

fleet_processes::fleet_processes(fleet_context& context, const fleet_parts& parts)
    : context_(context), parts_(parts) {
  for (const fleet_place& place : FleetPlaces()) {
    processes_[place.name].place = place;
  }
}

void fleet_processes::Start(const std::string& name) {
  fleet_process& target = processes_.at(name);
  const fleet_place place = target.place;
  const std::uint64_t life = target.life + 1;
  const std::uint64_t watch_number = target.watch_number;
  target = fleet_process{};
  target.place = place;
  target.life = life;
  target.watch_number = watch_number;
  target.is_up = true;
  target.identity = {.name = name,
                     .role = place.service.empty() ? process_role::kEntry : process_role::kAgent,
                     .domain = place.domain,
                     .incarnation = context_.Number(),
                     .generation = ++generation_};
  const std::uint64_t seed = context_.Number();
  if (target.IsEntry()) {
    target.entry = parts_.make_entry(target.identity, seed);
  } else {
    target.agent = parts_.make_agent(target.identity, place.service, seed);
  }
  Advance(target);
}

void fleet_processes::Stop(const std::string& name) {
  fleet_process& target = processes_.at(name);
  ++target.life;
  target.is_up = false;
  target.is_paused = false;
  target.backlog.clear();
}

void fleet_processes::Pause(const std::string& name) {
  fleet_process& target = processes_.at(name);
  target.is_paused = target.is_up;
}

void fleet_processes::Resume(const std::string& name) {
  fleet_process& target = processes_.at(name);
  if (!target.is_paused) {
    return;
  }
  target.is_paused = false;
  target.armed = time_point::max();
  if (context_.Chance(0.5)) {
    Advance(target);
  }
  const std::uint64_t life = target.life;
  std::vector<fleet_input> backlog = std::exchange(target.backlog, {});
  for (const fleet_input& input : backlog) {
    if (target.life != life) {
      return;
    }
    Handle(target, input);
  }
  if (target.life == life) {
    Advance(target);
  }
}

void fleet_processes::Give(const std::string& name, std::uint64_t life, fleet_input input) {
  fleet_process& target = processes_.at(name);
  if (!target.is_up || target.life != life) {
    return;
  }
  if (target.is_paused) {
    target.backlog.push_back(std::move(input));
    return;
  }
  Handle(target, input);
}

fleet_process* fleet_processes::FindByAddress(const std::string& address) {
  for (auto& [name, item] : processes_) {
    if (item.place.address == address) {
      return &item;
    }
  }
  return nullptr;
}

fleet_process* fleet_processes::FindByCallerAddress(const std::string& address) {
  for (auto& [name, item] : processes_) {
    if (!address.empty() && item.place.caller_address == address) {
      return &item;
    }
  }
  return nullptr;
}

void fleet_processes::Handle(fleet_process& target, const fleet_input& input) {
  on_input_(target, input);
  if (std::holds_alternative<shutdown_requested>(input) && parts_.ends_at_once) {
    on_output_(target, process_finished{});
    return;
  }
  if (target.entry) {
    std::vector<entry_output> outputs;
    HandleIn(*target.entry, input, context_.At(), outputs);
    Take(target, outputs);
  } else {
    std::vector<agent_output> outputs;
    HandleIn(*target.agent, input, context_.At(), outputs);
    Take(target, outputs);
  }
}

void fleet_processes::Advance(fleet_process& target) {
  if (target.entry) {
    std::vector<entry_output> outputs;
    target.entry->Advance(context_.At(), outputs);
    Take(target, outputs);
  } else {
    std::vector<agent_output> outputs;
    target.agent->Advance(context_.At(), outputs);
    Take(target, outputs);
  }
}

template <typename Output>
void fleet_processes::Take(fleet_process& target, const std::vector<Output>& outputs) {
  const std::uint64_t life = target.life;
  for (const Output& output : outputs) {
    if (target.life == life) {
      std::visit([&](const auto& item) { on_output_(target, fleet_output(item)); }, output);
    }
  }
  if (target.life == life) {
    Arm(target);
  }
}

void fleet_processes::Arm(fleet_process& target) {
  const time_point wanted =
      target.entry ? target.entry->NextDeadline() : target.agent->NextDeadline();
  const time_point due = std::max(wanted, context_.Now() + kLeastWait);
  if (due >= target.armed || wanted == time_point::max()) {
    return;
  }
  target.armed = due;
  context_.After(due - context_.Now(), [this, &target, due, life = target.life] {
    if (target.life != life || target.armed != due) {
      return;
    }
    target.armed = time_point::max();
    if (!target.is_paused) {
      Advance(target);
    }
  });
}

}  // namespace berylbarrow
