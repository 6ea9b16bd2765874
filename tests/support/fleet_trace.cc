#include "support/fleet_trace.h"

#include <sstream>

namespace berylbarrow {
namespace {

/// Writes the events that are of use in a trace; the last overload takes all others.
class describer {
 public:
  std::string Text() const { return text_.str(); }

  void operator()(const peer_opened& item) {
    text_ << "opened " << item.connection << " to " << item.greeting.sender.name << " revision "
          << item.greeting.in_force;
  }
  void operator()(const peer_closed& item) { text_ << "closed " << item.connection; }
  void operator()(const peer_received& item) { Message("received", item.connection, item.message); }
  void operator()(const peer_send& item) { Message("send", item.connection, item.message); }
  void operator()(const document_received& item) {
    text_ << "document " << item.number << (item.text.empty() ? " without text" : "");
  }
  void operator()(const shutdown_requested& /*item*/) { text_ << "shutdown requested"; }
  void operator()(const instances_received& item) {
    text_ << "instances, leaving:";
    for (const instance_record& record : item.instances) {
      text_ << (record.leaving ? " " + record.name : "");
    }
  }
  void operator()(const caller_request& item) {
    text_ << "request " << item.caller << " key " << item.idempotency_key << " attempt "
          << item.attempt << " body " << item.request.body << " for " << Ms(item.deadline);
  }
  void operator()(const caller_closed& item) { text_ << "caller closed " << item.caller; }
  void operator()(const upstream_end& item) {
    text_ << "upstream end " << item.execution << " outcome " << static_cast<int>(item.outcome);
  }
  void operator()(const caller_reply& item) {
    text_ << "reply " << item.caller << " status " << item.status << ' ' << item.body;
  }
  void operator()(const caller_head& item) { text_ << "head " << item.caller; }
  void operator()(const caller_part& item) {
    text_ << "part " << item.caller << ' ' << item.bytes.size() << " bytes";
  }
  void operator()(const caller_end& item) {
    text_ << "end " << item.caller << (item.complete ? " complete" : " incomplete");
  }
  void operator()(const callers_stop_accepting& /*item*/) { text_ << "stop accepting"; }
  void operator()(const process_finished& /*item*/) { text_ << "finished"; }
  void operator()(const peer_connect& item) { text_ << "connect to " << item.name; }
  void operator()(const peer_disconnect& item) { text_ << "disconnect from " << item.name; }
  void operator()(const configuration_watch& item) {
    text_ << "watch mode " << static_cast<int>(item.mode) << " after " << item.in_force;
  }
  void operator()(const upstream_start& item) {
    text_ << "upstream start " << item.execution << " of " << Id(item.id) << " offset "
          << item.resume_offset << " body " << item.request.body;
  }
  void operator()(const upstream_cancel& item) { text_ << "upstream cancel " << item.execution; }
  void operator()(const hello& /*item*/) {}
  void operator()(const dispatch& item) {
    text_ << "dispatch " << Id(item.id) << " key " << item.idempotency_key << " offset "
          << item.answer_offset << " remaining " << Ms(item.remaining);
  }
  void operator()(const cancel& item) { text_ << "cancel " << Id(item.id); }
  void operator()(const answer_head& item) { text_ << "answer head " << Id(item.id); }
  void operator()(const answer_part& item) {
    text_ << "answer part " << Id(item.id) << " offset " << item.offset << " bytes "
          << item.bytes.size() << " end " << static_cast<int>(item.end);
  }
  void operator()(const acknowledgement& item) {
    text_ << "acknowledgement " << Id(item.id) << " offset " << item.offset
          << (item.finished ? " finished" : "");
  }
  void operator()(const refusal& item) {
    text_ << "refusal " << Id(item.id) << " reason " << static_cast<int>(item.reason)
          << (item.certainty == run_certainty::kNotRun ? " not run" : " unknown");
  }
  void operator()(const configuration_request& item) {
    text_ << "configuration request after " << item.in_force;
  }
  void operator()(const configuration_reply& item) {
    text_ << "configuration reply " << item.number << (item.text.empty() ? " without text" : "");
  }
  template <typename Other>
  void operator()(const Other& /*item*/) {}

 private:
  static std::int64_t Ms(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
  }
  static std::string Id(const request_id& id) {
    std::ostringstream text;
    text << std::hex << (id.sender & 0xffff) << '-' << std::dec << id.sequence;
    return text.str();
  }
  void Message(const char* what, connection_id connection, const peer_message& message) {
    text_ << what << " on " << connection << ' ';
    std::visit([this](const auto& item) { (*this)(item); }, message);
  }

  std::ostringstream text_;
};

}  // namespace

std::string Describe(const fleet_input& input) {
  describer text;
  std::visit([&text](const auto& item) { text(item); }, input);
  return text.Text();
}

std::string Describe(const fleet_output& output) {
  describer text;
  std::visit([&text](const auto& item) { text(item); }, output);
  return text.Text();
}

}  // namespace berylbarrow
