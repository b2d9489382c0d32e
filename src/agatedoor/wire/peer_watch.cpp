#include "peer_watch.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace agatedoor {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t readSize = 4096; ///< Most bytes that one look moves to the read-ahead buffer.

/// What a look at a readable socket showed.
enum class Arrival {
    Closed,
    Stored, ///< Bytes were moved to the read-ahead buffer.
    Left, ///< Bytes are waiting in the socket.
};

Arrival arrivalOf(ssize_t size, Arrival bytes)
{
    const bool none = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (none) {
        return Arrival::Stored;
    }
    return size > 0 ? bytes : Arrival::Closed;
}

Arrival peek(tcp::socket &socket)
{
    char byte = 0;
    return arrivalOf(::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT), Arrival::Left);
}

Arrival readAhead(tcp::socket &socket, const ReadAhead &target)
{
    const std::size_t room = target.buffer == nullptr ? 0 : target.limit - std::min(target.limit, target.buffer->size());
    if (room == 0) {
        return peek(socket);
    }
    const auto space = target.buffer->prepare(std::min(room, readSize));
    const ssize_t size = ::recv(socket.native_handle(), space.data(), space.size(), MSG_DONTWAIT);
    target.buffer->commit(size > 0 ? static_cast<std::size_t>(size) : 0);
    return arrivalOf(size, Arrival::Stored);
}

} // namespace

/// One wait for the socket; outlives the watch while its handler is on the way.
struct PeerWatch::Watch
{
    boost::asio::cancellation_signal cancel;
    bool active = true;
};

PeerWatch::PeerWatch(tcp::socket &socket, std::function<void()> onClose, ReadAhead readAhead)
    : m_socket(socket)
    , m_onClose(std::move(onClose))
    , m_readAhead(readAhead)
{
}

PeerWatch::~PeerWatch()
{
    stop();
}

void PeerWatch::start()
{
    stop();
    m_watch = std::make_shared<Watch>();
    wait();
}

void PeerWatch::wait()
{
    auto handler = [this, watch = m_watch](const error_code &error) {
        if (!watch->active) {
            return;
        }
        const Arrival arrival = error ? Arrival::Left : readAhead(m_socket, m_readAhead);
        if (arrival == Arrival::Stored) {
            wait();
            return;
        }
        watch->active = false;
        if (arrival == Arrival::Closed) {
            m_onClose();
        }
    };
    m_socket.async_wait(tcp::socket::wait_read, boost::asio::bind_cancellation_slot(m_watch->cancel.slot(), std::move(handler)));
}

void PeerWatch::stop()
{
    if (!m_watch) {
        return;
    }
    m_watch->active = false;
    m_watch->cancel.emit(boost::asio::cancellation_type::terminal);
    m_watch.reset();
}

} // namespace agatedoor
