#pragma once

#include "agatedoor/node/node.hpp"

#include <functional>
#include <string>

/// @brief Main function shared by the programs that run a node.
namespace agatedoor {

/// @brief Reads the command line and the settings, and runs a node.
/// @param name program name for help and logs
/// @param makeEdges makes the store client, the source of releases and the header names from the settings
/// @return the exit code
int runNodeProgram(int argc, char **argv, const std::string &name, const std::function<NodeInterfaces(const Settings &)> &makeEdges);

} // namespace agatedoor
