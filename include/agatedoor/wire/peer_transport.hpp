#pragma once

#include "agatedoor/base/endpoint.hpp"
#include "agatedoor/base/result.hpp"
#include "agatedoor/base/time.hpp"
#include "agatedoor/wire/http_service.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// @brief One-way messages of fleet state between nodes, over nng.
namespace agatedoor {

/// @brief Messages and bytes since the start.
struct PeerTraffic
{
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedMessages = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t connections = 0; ///< Outgoing ones, open or being opened.
    std::uint64_t droppedMessages = 0; ///< Not sent: no connection, no room, or no time.
};

/// @brief Sends and receives bounded messages; connections are few and opened when needed. A message may be lost or repeated.
class PeerTransport
{
public:
    /// @brief Takes one message in; called on a thread of the transport, must not block.
    using Handler = std::function<void(std::string)>;

    /// @brief Listens on @p endpoint.
    static Result<std::unique_ptr<PeerTransport>, ListenError> start(const Endpoint &endpoint, Handler handler);
    virtual ~PeerTransport() = default;

    /// @brief Hands a message over for sending; never blocks on the network. For one thread.
    virtual void send(const Endpoint &to, std::string bytes) = 0;
    /// @brief Closes the connection to an address; the next message opens another. For the sending thread.
    /// @return False when there was none.
    virtual bool disconnect(const Endpoint &to) = 0;
    /// @brief Waits until nothing is left to send, at most until @p deadline.
    virtual void flush(Deadline deadline) = 0;
    virtual PeerTraffic traffic() const = 0;
};

/// @brief Greatest message; a bundle with its head fits.
inline constexpr std::size_t maxPeerMessageBytes = 1'100'000;

/// @brief Greatest number of outgoing connections; the one used longest ago makes room.
inline constexpr std::size_t maxPeerConnections = 96;

} // namespace agatedoor
