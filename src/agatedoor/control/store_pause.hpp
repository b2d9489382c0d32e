#pragma once

#include "agatedoor/base/random.hpp"
#include "agatedoor/base/time.hpp"
#include "agatedoor/state/newest_era.hpp"

#include <condition_variable>
#include <mutex>

/// @brief Pauses between a node's calls to the store.
namespace agatedoor {

/// @brief Pauses of one thread, which a stop ends.
class StorePause
{
public:
    explicit StorePause(const NewestEra &era);

    /// @brief Pauses for @p time, or until the store turns out to have been restored.
    /// @return false at a stop
    bool pauseUnlessRestored(Duration time);

    /// @brief Ends the pause in progress and all later ones at once.
    void stop();

private:
    bool pause(Duration time);

    const NewestEra &m_era;
    std::mutex m_mutex;
    std::condition_variable m_stopSignal;
    bool m_stop = false;
};

/// @brief Random delay after @p failed calls in a row, which it counts; its limit doubles with each.
Duration nextBackOff(int &failed, Random &random);

/// @brief Random delay of a node's first call, since many start at the same time.
Duration startDelay(Random &random);

} // namespace agatedoor
