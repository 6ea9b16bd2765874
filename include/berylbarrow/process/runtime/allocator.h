#ifndef BERYLBARROW_PROCESS_RUNTIME_ALLOCATOR_H_
#define BERYLBARROW_PROCESS_RUNTIME_ALLOCATOR_H_

namespace berylbarrow {

/// Makes the C library return large blocks to the system as soon as they are freed. By default it
/// keeps them once a few have been freed, so that the process stays as large as its peak.
void ReturnLargeBlocks();

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_RUNTIME_ALLOCATOR_H_
