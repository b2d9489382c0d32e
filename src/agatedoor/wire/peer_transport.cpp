#include "agatedoor/wire/peer_transport.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <vector>

namespace agatedoor {

namespace {

constexpr std::size_t maxPending = 16;
constexpr nng_duration sendTimeoutMs = 1000;
constexpr nng_duration reconnectLeastMs = 100;
constexpr nng_duration reconnectMostMs = 1000;
constexpr std::chrono::seconds idleLimit{60};
constexpr std::chrono::milliseconds flushPoll{5};

struct Counters
{
    std::atomic<std::uint64_t> sentMessages{0};
    std::atomic<std::uint64_t> sentBytes{0};
    std::atomic<std::uint64_t> receivedMessages{0};
    std::atomic<std::uint64_t> receivedBytes{0};
    std::atomic<std::uint64_t> connections{0};
    std::atomic<std::uint64_t> droppedMessages{0};
};

std::string urlOf(const Endpoint &endpoint)
{
    return "tcp://" + toText(endpoint);
}

/// Connection to one peer; one message is handed to the socket at a time.
class Link
{
public:
    Link(const Endpoint &to, Counters &counters)
        : m_counters(counters)
    {
        nng_push0_open(&m_socket);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, reconnectLeastMs);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, reconnectMostMs);
        nng_aio_alloc(&m_aio, &Link::sent, this);
        nng_aio_set_timeout(m_aio, sendTimeoutMs);
        nng_dial(m_socket, urlOf(to).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }
    ~Link()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closing = true;
        }
        nng_aio_stop(m_aio);
        nng_close(m_socket);
        nng_aio_free(m_aio);
        m_counters.droppedMessages += m_pending.size();
    }
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    void send(std::string bytes)
    {
        const std::lock_guard lock(m_mutex);
        if (m_pending.size() >= maxPending) {
            m_pending.pop_front();
            ++m_counters.droppedMessages;
        }
        m_pending.push_back(std::move(bytes));
        if (!m_sending) {
            sendNext();
        }
    }

    bool idle() const
    {
        const std::lock_guard lock(m_mutex);
        return !m_sending && m_pending.empty();
    }

    TimePoint usedAt;

private:
    static void sent(void *self) { static_cast<Link *>(self)->afterSend(); }

    void afterSend()
    {
        const std::lock_guard lock(m_mutex);
        m_sending = false;
        if (nng_aio_result(m_aio) != 0) {
            nng_msg_free(nng_aio_get_msg(m_aio));
            m_counters.droppedMessages += 1 + m_pending.size();
            m_pending.clear();
        } else {
            ++m_counters.sentMessages;
            m_counters.sentBytes += m_size;
        }
        if (!m_pending.empty() && !m_closing) {
            sendNext();
        }
    }

    /// Call with the mutex held.
    void sendNext()
    {
        nng_msg *message = nullptr;
        m_size = m_pending.front().size();
        if (nng_msg_alloc(&message, 0) != 0 || nng_msg_append(message, m_pending.front().data(), m_size) != 0) {
            ++m_counters.droppedMessages;
            nng_msg_free(message);
            m_pending.pop_front();
            return;
        }
        m_pending.pop_front();
        m_sending = true;
        nng_aio_set_msg(m_aio, message);
        nng_send_aio(m_socket, m_aio);
    }

    Counters &m_counters;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    nng_aio *m_aio = nullptr;
    mutable std::mutex m_mutex;
    std::deque<std::string> m_pending;
    std::size_t m_size = 0;
    bool m_sending = false;
    bool m_closing = false;
};

class NngTransport : public PeerTransport
{
public:
    explicit NngTransport(Handler handler)
        : m_handler(std::move(handler))
    {
        nng_pull0_open(&m_listener);
        nng_socket_set_size(m_listener, NNG_OPT_RECVMAXSZ, maxPeerMessageBytes);
        nng_aio_alloc(&m_aio, &NngTransport::received, this);
    }
    ~NngTransport() override
    {
        m_links.clear();
        nng_aio_stop(m_aio);
        nng_close(m_listener);
        nng_aio_free(m_aio);
    }
    NngTransport(const NngTransport &) = delete;
    NngTransport &operator=(const NngTransport &) = delete;

    bool listen(const Endpoint &endpoint)
    {
        if (nng_listen(m_listener, urlOf(endpoint).c_str(), nullptr, 0) != 0) {
            return false;
        }
        nng_recv_aio(m_listener, m_aio);
        return true;
    }

    void send(const Endpoint &to, std::string bytes) override
    {
        if (bytes.size() > maxPeerMessageBytes) {
            ++m_counters.droppedMessages;
            return;
        }
        const TimePoint now = Clock::now();
        closeUnused(now, to);
        auto &link = m_links[to];
        if (!link) {
            link = std::make_unique<Link>(to, m_counters);
        }
        link->usedAt = now;
        m_counters.connections = m_links.size();
        link->send(std::move(bytes));
    }

    bool disconnect(const Endpoint &to) override
    {
        const bool connected = m_links.erase(to) > 0;
        m_counters.connections = m_links.size();
        return connected;
    }

    void flush(Deadline deadline) override
    {
        std::unique_lock lock(m_flushing);
        const auto idle = [](const auto &link) { return link.second->idle(); };
        while (!std::all_of(m_links.begin(), m_links.end(), idle) && !expired(deadline, Clock::now())) {
            m_flushed.wait_for(lock, flushPoll);
        }
    }

    PeerTraffic traffic() const override
    {
        return {m_counters.sentMessages,  m_counters.sentBytes,   m_counters.receivedMessages,
                m_counters.receivedBytes, m_counters.connections, m_counters.droppedMessages};
    }

private:
    static void received(void *self) { static_cast<NngTransport *>(self)->afterReceive(); }

    void afterReceive()
    {
        const int result = nng_aio_result(m_aio);
        if (result == NNG_ECLOSED || result == NNG_ECANCELED) {
            return;
        }
        if (result == 0) {
            nng_msg *message = nng_aio_get_msg(m_aio);
            std::string bytes(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message));
            nng_msg_free(message);
            ++m_counters.receivedMessages;
            m_counters.receivedBytes += bytes.size();
            m_handler(std::move(bytes));
        }
        nng_recv_aio(m_listener, m_aio);
    }

    /// Closes what was idle for long, and the one used longest ago when there are too many.
    void closeUnused(TimePoint now, const Endpoint &wanted)
    {
        if (now >= m_nextSweep) {
            m_nextSweep = now + std::chrono::seconds(1);
            std::erase_if(m_links, [now](const auto &link) { return now - link.second->usedAt > idleLimit; });
        }
        if (m_links.size() >= maxPeerConnections && !m_links.contains(wanted)) {
            m_links.erase(std::min_element(m_links.begin(), m_links.end(), [](const auto &a, const auto &b) { return a.second->usedAt < b.second->usedAt; }));
        }
    }

    Handler m_handler;
    Counters m_counters;
    nng_socket m_listener = NNG_SOCKET_INITIALIZER;
    nng_aio *m_aio = nullptr;
    std::map<Endpoint, std::unique_ptr<Link>> m_links;
    TimePoint m_nextSweep;
    std::mutex m_flushing;
    std::condition_variable m_flushed;
};

} // namespace

Result<std::unique_ptr<PeerTransport>, ListenError> PeerTransport::start(const Endpoint &endpoint, Handler handler)
{
    auto transport = std::make_unique<NngTransport>(std::move(handler));
    if (!transport->listen(endpoint)) {
        return ListenError{endpoint};
    }
    return std::unique_ptr<PeerTransport>(std::move(transport));
}

} // namespace agatedoor
