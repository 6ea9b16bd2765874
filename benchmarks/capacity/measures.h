#ifndef BERYLBARROW_BENCHMARKS_CAPACITY_MEASURES_H_
#define BERYLBARROW_BENCHMARKS_CAPACITY_MEASURES_H_

#include <string>
#include <vector>

#include "common/table.h"
#include "fleet.h"

namespace berylbarrow::bench {

/// Everything that the calculation needs, at the measured slopes.
struct slopes {
  // Bytes on the wire of one heartbeat, with IP and UDP headers.
  double heartbeat_bytes = 0;
  // CPU microseconds.
  double entry_beat_in = 0;   // per heartbeat received
  double entry_beat_out = 0;  // per peer and heartbeat sent
  double agent_beat_in = 0;
  double agent_beat_out = 0;
  double codec_beat = 0;  // encode and decode
  double entry_request = 0;
  double entry_token = 0;
  double agent_request = 0;
  double agent_token = 0;
  double codec_request = 0;  // dispatch, encode and decode
  double codec_token = 0;    // answer_part, encode and decode
  double parse = 0;          // of the whole document
  double apply_entry = 0;
  double apply_agent = 0;
  // Bytes.
  double document_bytes = 0;
  double core_memory_entry = 0;  // with the design-size document and no peers
  double core_memory_agent = 0;
  double peer_memory = 0;     // of an entry, per connected agent
  double request_memory = 0;  // of an entry, without the body
  double execution_memory = 0;
  double map_memory = 0;  // per rank and expert of a layer and layer: one slot
  double map_bytes = 0;   // of a proposal at 128 ranks
  double coordinator_memory = 0;
  double coordinator_round = 0;  // CPU microseconds of a whole map change
  double coordinator_messages = 0;
  double coordinator_wire = 0;  // bytes sent and received in a change
};

struct measure_options {
  std::string csv;  // folder; empty: none is written
  bool is_smoke = false;
};

void MeasureDocument(const measure_options& options, slopes& result);
void MeasureHeartbeats(const measure_options& options, slopes& result);
void MeasureRequests(const measure_options& options, slopes& result);
void MeasureMemory(const measure_options& options, slopes& result);
void MeasureMaps(const measure_options& options, slopes& result);
/// Works out each role at the design size.
void PrintBudget(const measure_options& options, const slopes& result);

void Publish(const table& rows, const measure_options& options, const std::string& name);

}  // namespace berylbarrow::bench

#endif  // BERYLBARROW_BENCHMARKS_CAPACITY_MEASURES_H_
