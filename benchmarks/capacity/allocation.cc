#include "allocation.h"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace {

// The program has one thread.
std::size_t live_bytes = 0;  // NOLINT(cppcoreguidelines-avoid-non-const-global-variables)

void* Allocate(std::size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  live_bytes += malloc_usable_size(memory);
  return memory;
}

void Free(void* memory) {
  if (memory != nullptr) {
    live_bytes -= malloc_usable_size(memory);
    std::free(memory);
  }
}

}  // namespace

void* operator new(std::size_t size) { return Allocate(size); }
void* operator new[](std::size_t size) { return Allocate(size); }
void operator delete(void* memory) noexcept { Free(memory); }
void operator delete[](void* memory) noexcept { Free(memory); }
void operator delete(void* memory, std::size_t /*size*/) noexcept { Free(memory); }
void operator delete[](void* memory, std::size_t /*size*/) noexcept { Free(memory); }

namespace berylbarrow::bench {

std::size_t LiveBytes() { return live_bytes; }

}  // namespace berylbarrow::bench
