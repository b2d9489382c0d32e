#pragma once

#include "agatedoor/proxy/worker.hpp"

/// @brief Server side of the protocol between nodes: accepts requests for backend servers of this VM from other nodes.
namespace agatedoor {

/// @brief Serves requests on one connection of another node until it closes.
asio::awaitable<void> servePeer(Worker &worker, tcp::socket socket);

} // namespace agatedoor
