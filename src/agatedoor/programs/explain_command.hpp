#pragma once

#include "arguments.hpp"

/// @brief `agatectl explain`: merges the log lines of several nodes about one request.
namespace agatedoor {

/// @brief Prints the log lines about the request, ordered by time.
/// @return the exit code; 1 when no line is about the request or a file can't be read
int runExplain(const Arguments &arguments);

} // namespace agatedoor
