#include "berylbarrow/process/entry/run_entry.h"

#include <exception>
#include <iostream>
#include <utility>

#include "berylbarrow/connection/http/caller_server.h"
#include "berylbarrow/process/runtime/allocator.h"
#include "process/runtime/process_wiring.h"

namespace berylbarrow {

int RunEntry(const process_settings& settings, std::unique_ptr<entry_decisions> core,
             const runtime_clock& clock, const process_identity& identity) {
  ReturnLargeBlocks();
  try {
    process_wiring<entry_decisions> wiring(settings, std::move(core), clock, identity);
    duty callers("callers");
    caller_server server(callers.Context(),
                         {.listen_address = settings.callers_address,
                          .max_connections = settings.limits.max_connections,
                          .max_request_bytes = settings.limits.max_request_bytes,
                          .memory_mb = static_cast<double>(settings.limits.memory_mb),
                          .tls_certificate_file = settings.tls_certificate,
                          .tls_private_key_file = settings.tls_private_key},
                         wiring.MakeSink<entry_input>("callers"));
    ring<entry_output> to_callers(callers.Context(), wiring.RingCapacity(),
                                  [&](entry_output&& output) { server.Deliver(output); });
    wiring.Run(callers, to_callers,
               {.is_flushed = [&server] { return server.UnfinishedConnections() == 0; },
                .unwritten_bytes = [&server] { return server.UnwrittenBytes(); },
                .counters = [&server] { return CountersText(server.Counters()); },
                .addresses = {{"callers", settings.callers_address}}});
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "berylbarrow entry " << settings.name << ": " << error.what() << "\n";
    return 1;
  }
}

}  // namespace berylbarrow
