#include "berylbarrow/process/runtime/duty.h"

#include <pthread.h>

#include <cassert>
#include <utility>

namespace berylbarrow {

duty::duty(std::string name) : name_(std::move(name)) {}

duty::~duty() { Stop(); }

void duty::Start() {
  assert(!thread_.joinable());
  work_.emplace(context_.get_executor());
  thread_ = std::thread([this] {
    constexpr std::size_t kMaxThreadNameBytes = 15;
    pthread_setname_np(pthread_self(), name_.substr(0, kMaxThreadNameBytes).c_str());
    context_.run();
  });
}

void duty::Stop() {
  if (!thread_.joinable()) return;
  assert(thread_.get_id() != std::this_thread::get_id());
  work_.reset();
  context_.stop();
  thread_.join();
}

}  // namespace berylbarrow
