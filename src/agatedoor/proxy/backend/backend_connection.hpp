#pragma once

#include "backend_admission.hpp"

/// @brief Connections of one request thread to backend servers on this VM, within each server's connection limit.
namespace agatedoor {

/// @brief Connection to a backend server, or the reason why there is none.
struct BackendConnection
{
    std::unique_ptr<Connection> connection;
    Reason reason = Reason::None;
};

/// @brief Takes an idle connection from the pool on which the request @p id wasn't refused before, or opens one before @p deadline.
asio::awaitable<BackendConnection> connectBackend(Worker &worker, const Admitted &admitted, const RequestId &id, Deadline deadline);

/// @brief Notes that the backend server refused the request @p id on @p connection, in case it repeats the refusal later.
/// @param answersNameTheirRequest responses carry the request's id, so that the refusal of another request is recognised; otherwise
///        the connection isn't reused at all
void recordRefusalOn(Connection &connection, const RequestId &id, bool answersNameTheirRequest);

/// @brief Returns a connection to the pool after @p response, or closes it. It is kept when the backend server keeps it
/// alive, its announced connection limit allows one more idle connection, and the connection is still usable.
void keepBackendConnection(Worker &worker, const Admitted &admitted, std::unique_ptr<Connection> connection, const StringResponse &response, TimePoint now);

} // namespace agatedoor
