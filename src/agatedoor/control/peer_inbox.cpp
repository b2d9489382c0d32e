#include "peer_inbox.hpp"

#include <utility>

namespace agatedoor {

namespace {

constexpr std::size_t maxMessages = 4096;

} // namespace

void PeerInbox::add(std::string message)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_messages.size() >= maxMessages) {
            m_messages.pop_front();
            ++m_dropped;
        }
        m_messages.push_back(std::move(message));
    }
    m_changed.notify_all();
}

void PeerInbox::noteRecordChanged()
{
    {
        const std::lock_guard lock(m_mutex);
        m_recordChanged = true;
    }
    m_changed.notify_all();
}

void PeerInbox::wake()
{
    {
        const std::lock_guard lock(m_mutex);
        m_woken = true;
    }
    m_changed.notify_all();
}

void PeerInbox::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stop = true;
    }
    m_changed.notify_all();
}

PeerWork PeerInbox::wait(Duration limit)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, limit, [this] { return hasWork(); });
    m_woken = false;
    PeerWork work;
    work.messages = std::exchange(m_messages, {});
    work.recordChanged = std::exchange(m_recordChanged, false);
    work.stop = m_stop;
    return work;
}

std::uint64_t PeerInbox::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

/// To be called with the mutex held.
bool PeerInbox::hasWork() const
{
    return m_stop || m_woken || m_recordChanged || !m_messages.empty();
}

} // namespace agatedoor
