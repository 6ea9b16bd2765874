#ifndef BERYLBARROW_TOOLS_LOAD_CALLER_H_
#define BERYLBARROW_TOOLS_LOAD_CALLER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "load/link.h"
#include "load/options.h"
#include "load/results.h"

namespace berylbarrow::tools {

/// One caller as the caller contract describes it: keeps addresses and grants for as long as they
/// are valid, and sends an unanswered call again through another entry, with the same key and a
/// higher attempt.
class caller {
 public:
  caller(boost::asio::io_context& context, const load_options& options, std::uint32_t index);

  /// Makes one call. `due` is the time from which its latency counts.
  void Call(call_kind kind, load_clock::time_point due, std::function<void(finished_call)> done);

 private:
  struct known_service {
    std::vector<std::string> addresses;  // in order of preference
    std::string grant;
    load_clock::time_point valid_until;
  };

  void PrepareDraft();
  void PreparePlain();
  void FindAddress();
  void Ask();
  void OnAddress(const link_answer& answer);
  void Send(const std::string& address);
  void OnAnswer(const link_answer& answer);
  void Resend();
  void StartAnew();
  void Finish(call_outcome outcome);
  const std::string& Service() const;
  load_clock::duration Remaining() const { return give_up_ - load_clock::now(); }

  boost::asio::io_context& context_;
  const load_options& options_;
  std::string name_;  // unique over all callers and runs
  std::string account_;
  std::mt19937_64 random_;
  link link_;
  link ask_link_;
  boost::asio::steady_timer ask_timer_;
  std::map<std::string, known_service> services_;
  std::size_t next_entry_;
  std::uint64_t calls_ = 0;

  // The present call.
  call_kind kind_ = call_kind::kDraft;
  load_clock::time_point due_;
  load_clock::time_point give_up_;
  std::function<void(finished_call)> done_;
  link_request request_;
  std::string expected_;
  std::string key_;
  std::string failed_address_;  // not used again for this call while there is another
  std::string sent_to_;
  std::uint32_t attempts_ = 0;
  std::uint32_t refusals_ = 0;  // of the call as not run
  finished_call result_;
};

}  // namespace berylbarrow::tools

#endif  // BERYLBARROW_TOOLS_LOAD_CALLER_H_
