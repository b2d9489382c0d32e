#pragma once

#include <boost/asio/ip/tcp.hpp>

/// @brief Finds out that a connection on which one waits for long has gone silent.
namespace agatedoor {

/// @brief Has the system probe @p socket while nothing comes over it; a silent one ends with an error within about three seconds.
void probeWhileIdle(boost::asio::ip::tcp::socket &socket);

} // namespace agatedoor
