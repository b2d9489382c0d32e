#pragma once

#include "agatedoor/membership/local_backends.hpp"

#include <boost/json.hpp>

#include <string>

/// @brief Admission control statistics of the backend servers on this VM, for `/dump` and `/metrics`.
namespace agatedoor {

/// @brief Current state of one backend server as a JSON object.
boost::json::object dumpBackend(const LocalBackend &backend);

/// @brief Metrics of all backend servers in the Prometheus text format.
std::string gateMetrics(const LocalBackends &backends);

} // namespace agatedoor
