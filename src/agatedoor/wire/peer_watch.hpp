#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <memory>

/// @brief Notices that the other end closes its connection while nothing is being read from it.
namespace agatedoor {

/// @brief Where a watch puts bytes that arrive, so that it can notice a close behind them.
struct ReadAhead
{
    boost::beast::flat_buffer *buffer = nullptr; ///< Null leaves the bytes in the socket.
    std::size_t limit = 0; ///< Most bytes in the buffer.
};

/// @brief Watches one socket between start and stop; used on the socket's thread only.
/// Bytes that arrive go to the read-ahead buffer. Without one, or when it is full, they stay in the socket and end the watch,
/// since a close behind them can't be seen.
class PeerWatch
{
public:
    /// @param onClose called at most once for each start
    PeerWatch(boost::asio::ip::tcp::socket &socket, std::function<void()> onClose, ReadAhead readAhead = {});
    ~PeerWatch();
    PeerWatch(const PeerWatch &) = delete;
    PeerWatch &operator=(const PeerWatch &) = delete;

    void start();
    void stop();

private:
    struct Watch;

    void wait();

    boost::asio::ip::tcp::socket &m_socket;
    std::function<void()> m_onClose;
    ReadAhead m_readAhead;
    std::shared_ptr<Watch> m_watch;
};

} // namespace agatedoor
