#include "berylbarrow/process/agent/run_agent.h"

#include <cstddef>
#include <exception>
#include <iostream>
#include <utility>

#include "berylbarrow/connection/http/engine_client.h"
#include "berylbarrow/connection/http/upstream_client.h"
#include "process/runtime/process_wiring.h"

namespace berylbarrow {

int RunAgent(const process_settings& settings, std::unique_ptr<agent_decisions> core,
             const runtime_clock& clock, const process_identity& identity) {
  try {
    process_wiring<agent_decisions> wiring(settings, std::move(core), clock, identity);
    duty upstream("upstream");
    const auto sink = wiring.MakeSink<agent_input>("upstream");
    upstream_client client(upstream.Context(), {settings.upstream_address}, clock, sink);
    engine_client engine(upstream.Context(), {settings.upstream_address}, clock, sink);
    ring<agent_output> to_upstream(upstream.Context(), wiring.RingCapacity(),
                                   [&](agent_output&& output) {
                                     client.Deliver(output);
                                     engine.Deliver(output);
                                   });
    wiring.Run(upstream, to_upstream,
               {.is_flushed = [] { return true; },
                .unwritten_bytes = [] { return std::size_t{0}; },
                .counters =
                    [&client, &engine] {
                      return CountersText(client.Counters()) + CountersText(engine.Counters());
                    },
                .addresses = {{"upstream", settings.upstream_address}}});
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "berylbarrow agent " << settings.name << ": " << error.what() << "\n";
    return 1;
  }
}

}  // namespace berylbarrow
