#include "idle_probe.hpp"

#include "agatedoor/wire/log.hpp"

#include <netinet/tcp.h>

namespace agatedoor {

namespace {

namespace asio = boost::asio;

template <int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

constexpr int idleSeconds = 1; ///< Before the first probe.
constexpr int pauseSeconds = 1; ///< Between probes.
constexpr int lostProbes = 2; ///< So many without an answer end the connection.

} // namespace

void probeWhileIdle(asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    const auto set = [&](const auto &option) {
        if (!error) {
            socket.set_option(option, error);
        }
    };
    set(asio::socket_base::keep_alive(true));
    set(TcpOption<TCP_KEEPIDLE>(idleSeconds));
    set(TcpOption<TCP_KEEPINTVL>(pauseSeconds));
    set(TcpOption<TCP_KEEPCNT>(lostProbes));
    if (error) {
        logLine(LogLevel::Warn, "idle-probe-refused", {{"error", error.message()}});
    }
}

} // namespace agatedoor
