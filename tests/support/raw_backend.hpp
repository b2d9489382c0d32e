#pragma once

#include "agatedoor/base/endpoint.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

/// @brief A backend server whose bytes a test writes itself.
namespace agatedoor::test {

/// @brief How a RawBackend ends a connection whose script has ended.
enum class ConnectionEnd {
    Close,
    Reset,
};

/// @brief Reads one request a connection and answers it with whatever its script returns, until the script ends or the other
/// end closes. Serves one connection at a time.
class RawBackend
{
public:
    /// @brief Size asked for the send buffer, of which the system doubles any. Small, so that what was sent tells what the other end took.
    static constexpr int sendBufferBytes = 64 * 1024;

    /// @brief Returns the bytes to send next, by the number of the part; empty ends the connection.
    using Script = std::function<std::string(std::size_t part)>;

    /// @brief The same, for a script that also sees the beginning of the request.
    using RequestScript = std::function<std::string(std::size_t part, const std::string &request)>;

    RawBackend(const Endpoint &listen, Script script, ConnectionEnd end = ConnectionEnd::Close);
    RawBackend(const Endpoint &listen, RequestScript script, ConnectionEnd end = ConnectionEnd::Close);
    ~RawBackend();
    RawBackend(const RawBackend &) = delete;
    RawBackend &operator=(const RawBackend &) = delete;

    /// @brief Connections that the other end closed before the script ended.
    int closedByOther() const { return m_closedByOther; }
    /// @brief Most bytes sent over one connection.
    std::int64_t mostSentBytes() const { return m_mostSentBytes; }

private:
    void run();
    void serve(int connection);

    RequestScript m_script;
    ConnectionEnd m_end;
    int m_listener;
    std::atomic<int> m_closedByOther{0};
    std::atomic<std::int64_t> m_mostSentBytes{0};
    std::atomic<bool> m_ended{false};
    std::thread m_thread;
};

/// @brief Most bytes that the socket buffers of a RawBackend's connection hold; what is in them was sent but not taken.
std::int64_t socketBufferBytes();

/// @brief The same while the other end has read little, so that the system hasn't raised its buffer.
std::int64_t initialSocketBufferBytes();

} // namespace agatedoor::test
