#pragma once

#include "arguments.hpp"

/// @brief Subcommands that query nodes; each returns the exit code.
namespace agatedoor {

/// @brief Prints the head record, and how many of the named nodes have which generation in force.
int runStatus(const Arguments &arguments);
/// @brief Waits until the named nodes have @p generation or a greater one in force or the time limit has passed, and prints the result.
int waitUntilInForce(const Arguments &arguments, Generation generation);
/// @brief Asks the fleet to send nothing more to the backend servers of an availability zone, or ends that.
int runEvacuate(const Arguments &arguments);
/// @brief Prints the state of the named nodes as JSON; stops at the first one that doesn't answer.
int runDump(const Arguments &arguments);

} // namespace agatedoor
