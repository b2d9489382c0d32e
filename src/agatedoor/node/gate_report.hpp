#pragma once

#include "agatedoor/membership/local_backends.hpp"

#include <boost/json.hpp>

#include <string>

/// @brief Admission stats of the backend servers on this VM, for the dump and the metrics.
namespace agatedoor {

/// @brief Present state of one backend server.
boost::json::object dumpBackend(const LocalBackend &backend);

/// @brief Figures of all of them in the Prometheus text format.
std::string gateMetrics(const LocalBackends &backends);

} // namespace agatedoor
