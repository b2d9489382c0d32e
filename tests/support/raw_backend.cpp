#include "support/raw_backend.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>

namespace agatedoor::test {

namespace {

constexpr int pollMs = 20;

int listenAt(const Endpoint &endpoint)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    EXPECT_EQ(::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
    EXPECT_EQ(::listen(listener, 16), 0);
    return listener;
}

bool readable(int socket)
{
    pollfd entry{socket, POLLIN, 0};
    return ::poll(&entry, 1, pollMs) > 0;
}

} // namespace

RawBackend::RawBackend(const Endpoint &listen, Script script, ConnectionEnd end)
    : RawBackend(
        listen, [script = std::move(script)](std::size_t part, const std::string &) { return script(part); }, end)
{
}

RawBackend::RawBackend(const Endpoint &listen, RequestScript script, ConnectionEnd end)
    : m_script(std::move(script))
    , m_end(end)
    , m_listener(listenAt(listen))
    , m_thread([this] { run(); })
{
}

RawBackend::~RawBackend()
{
    m_ended = true;
    m_thread.join();
    ::close(m_listener);
}

void RawBackend::run()
{
    while (!m_ended) {
        if (!readable(m_listener)) {
            continue;
        }
        const int connection = ::accept(m_listener, nullptr, nullptr);
        const int sendBuffer = sendBufferBytes;
        const timeval patience{0, pollMs * 1000L};
        ::setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
        ::setsockopt(connection, SOL_SOCKET, SO_SNDBUF, &sendBuffer, sizeof(sendBuffer));
        serve(connection);
        if (m_end == ConnectionEnd::Reset) {
            const linger atOnce{1, 0};
            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
        }
        ::close(connection);
    }
}

void RawBackend::serve(int connection)
{
    std::array<char, 4096> request{};
    while (!m_ended && !readable(connection)) {}
    const ssize_t received = m_ended ? 0 : ::recv(connection, request.data(), request.size(), 0);
    if (received <= 0) {
        return;
    }
    const std::string begin(request.data(), static_cast<std::size_t>(received));
    std::size_t part = 0;
    std::int64_t total = 0;
    for (std::string bytes = m_script(part, begin); !m_ended && !bytes.empty(); bytes = m_script(++part, begin)) {
        std::size_t sent = 0;
        while (!m_ended && sent < bytes.size()) {
            const ssize_t size = ::send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            const bool waiting = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
            if (size < 0 && !waiting) {
                ++m_closedByOther;
                return;
            }
            sent += size > 0 ? static_cast<std::size_t>(size) : 0;
        }
        total += static_cast<std::int64_t>(sent);
        m_mostSentBytes = std::max(m_mostSentBytes.load(), total);
    }
}

namespace {

struct ReceiveBuffer
{
    std::int64_t initial = 0;
    std::int64_t most = 0;
};

ReceiveBuffer receiveBufferOfSystem()
{
    std::int64_t least = 0;
    ReceiveBuffer buffer;
    std::ifstream("/proc/sys/net/ipv4/tcp_rmem") >> least >> buffer.initial >> buffer.most;
    return buffer;
}

} // namespace

std::int64_t socketBufferBytes()
{
    return receiveBufferOfSystem().most + RawBackend::sendBufferBytes * 2L;
}

std::int64_t initialSocketBufferBytes()
{
    return receiveBufferOfSystem().initial * 2 + RawBackend::sendBufferBytes * 2L;
}

} // namespace agatedoor::test
