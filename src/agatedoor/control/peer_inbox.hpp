#pragma once

#include "agatedoor/base/time.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

/// @brief Work for the thread that runs the membership protocol, handed over by other threads.
namespace agatedoor {

/// @brief What there is to do.
struct PeerWork
{
    std::deque<std::string> messages; ///< Encoded messages of peers, in the order in which they came.
    bool recordChanged = false; ///< This node's record has changed.
    bool stop = false; ///< The thread is to end.
};

/// @brief Bounded queue of peers' messages, with wake-ups for news of this node.
class PeerInbox
{
public:
    /// @brief Adds a message. When the queue is full, the oldest one is dropped.
    void add(std::string message);

    /// @brief Wakes the thread because this node's record has changed.
    void noteRecordChanged();

    /// @brief Wakes the thread because there may be something to tell or to ask.
    void wake();

    /// @brief Ends the thread's wait for good.
    void stop();

    /// @brief Waits until there is work or @p limit has passed, and takes all of it.
    PeerWork wait(Duration limit);

    /// @brief Number of messages dropped so far.
    std::uint64_t dropped() const;

private:
    bool hasWork() const;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::string> m_messages;
    std::uint64_t m_dropped = 0;
    bool m_recordChanged = false;
    bool m_woken = false;
    bool m_stop = false;
};

} // namespace agatedoor
