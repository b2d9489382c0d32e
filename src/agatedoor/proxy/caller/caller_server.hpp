#pragma once

#include "agatedoor/proxy/worker.hpp"

/// @brief HTTP/1.1 server for callers.
namespace agatedoor {

/// @brief Serves requests on one connection until it closes.
asio::awaitable<void> serveCaller(Worker &worker, tcp::socket socket);

} // namespace agatedoor
