#include "store_pause.hpp"

#include "agatedoor/base/random_time.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

/// Between looks at the newest era in a longer pause. Nodes look at different times, which spreads their calls after a restore.
constexpr Duration eraLookInterval = std::chrono::milliseconds(500);
constexpr std::chrono::milliseconds startJitter{50};
constexpr std::chrono::milliseconds minBackOff{200};
constexpr int maxBackOffDoublings = 5;

} // namespace

StorePause::StorePause(const NewestEra &era)
    : m_era(era)
{
}

bool StorePause::pauseUnlessRestored(Duration time)
{
    const StoreEra era = m_era.value();
    const Deadline end = deadlineAfter(Clock::now(), time);
    do {
        if (!pause(std::min(remaining(end, Clock::now()), eraLookInterval))) {
            return false;
        }
    } while (!expired(end, Clock::now()) && m_era.value() == era);
    return true;
}

void StorePause::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stop = true;
    }
    m_stopSignal.notify_all();
}

bool StorePause::pause(Duration time)
{
    std::unique_lock lock(m_mutex);
    return !m_stopSignal.wait_for(lock, time, [this] { return m_stop; });
}

Duration nextBackOff(int &failed, Random &random)
{
    const Duration limit = minBackOff * (1 << std::min(failed++, maxBackOffDoublings));
    return minBackOff / 2 + uniformTime(random, limit);
}

Duration startDelay(Random &random)
{
    return uniformTime(random, startJitter);
}

} // namespace agatedoor
