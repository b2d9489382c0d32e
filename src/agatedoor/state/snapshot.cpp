#include "agatedoor/state/snapshot.hpp"

#include <urcu-bp.h>

// ThreadSanitizer doesn't see the ordering that the RCU library establishes with memory barriers. These annotations
// state that a reader's critical section happens before the end of synchronize().
#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void *address);
extern "C" void __tsan_release(void *address);
#endif

namespace agatedoor::rcu {

namespace {

#if defined(__SANITIZE_THREAD__)
int readerOrder = 0;
void annotateReaderEnd()
{
    __tsan_release(&readerOrder);
}
void annotateReadersEnded()
{
    __tsan_acquire(&readerOrder);
}
#else
void annotateReaderEnd() {}
void annotateReadersEnded() {}
#endif

} // namespace

void readLock()
{
    urcu_bp_read_lock();
}

void readUnlock()
{
    annotateReaderEnd();
    urcu_bp_read_unlock();
}

void synchronize()
{
    urcu_bp_synchronize_rcu();
    annotateReadersEnded();
}

} // namespace agatedoor::rcu
