#include "berylbarrow/process/agent/run_agent.h"

#include <exception>
#include <iostream>
#include <utility>

#include "berylbarrow/connection/http/upstream_client.h"
#include "process/runtime/process_wiring.h"

namespace berylbarrow {

int RunAgent(const process_settings& settings, std::unique_ptr<agent_decisions> core,
             const runtime_clock& clock, const process_identity& identity) {
  try {
    process_wiring<agent_decisions> wiring(settings, std::move(core), clock, identity);
    duty upstream("upstream");
    upstream_client client(upstream.Context(), {settings.upstream_address}, clock,
                           wiring.MakeSink<agent_input>("upstream"));
    ring<agent_output> to_upstream(upstream.Context(), wiring.RingCapacity(),
                                   [&](agent_output&& output) { client.Deliver(output); });
    wiring.Run(upstream, to_upstream,
               {.is_flushed = [] { return true; },
                .counters = [&client] { return CountersText(client.Counters()); },
                .addresses = {{"upstream", settings.upstream_address}}});
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "berylbarrow agent " << settings.name << ": " << error.what() << "\n";
    return 1;
  }
}

}  // namespace berylbarrow
