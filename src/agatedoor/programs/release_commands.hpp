#pragma once

#include "arguments.hpp"

/// @brief Subcommands that read or write releases in the store; each returns the exit code.
namespace agatedoor {

/// @brief Validates a bundle file and stores it under its digest.
int runSignOff(const Arguments &arguments);
/// @brief Puts a signed-off bundle in force under a new generation, and waits for the nodes with --wait.
int runRollOut(const Arguments &arguments);
/// @brief Prints the outcome of a roll-out; with --settle, keeps one that wasn't applied from being applied later.
int runOperation(const Arguments &arguments);
/// @brief Prints the record or the text of a signed-off bundle.
int runBundle(const Arguments &arguments);
/// @brief Removes bundles that only superseded generations used.
int runCleanUp(const Arguments &arguments);

} // namespace agatedoor
