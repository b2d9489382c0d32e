#pragma once

#include "agatedoor/base/endpoint.hpp"
#include "release_report.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// @brief Parsed command line of agatectl.
namespace agatedoor {

/// @brief Options of all subcommands; each subcommand reads its own.
struct Arguments
{
    std::vector<std::string> stores; ///< Endpoints, IP:PORT.
    std::vector<std::string> admins; ///< Admin endpoints of nodes, IP:PORT.
    std::string operatorName = "operator";
    std::string requestId; ///< Request to explain.
    std::vector<std::string> logs; ///< Log files of nodes.
    std::string operation; ///< Operation id; a random one is used when it is empty.
    std::string bundleFile;
    std::string digest;
    std::string zone; ///< Availability zone to evacuate.
    bool end = false; ///< End the evacuation.
    std::optional<std::uint64_t> expectedGeneration; ///< 0 expects that nothing was rolled out.
    std::uint64_t keptGenerations = 50;
    std::int64_t timeoutMs = 5000; ///< Time limit of the store calls.
    std::int64_t waitMs = 13000; ///< Time limit for asking nodes.
    bool wait = false; ///< Wait until the nodes have the bundle in force.
    bool settle = false; ///< Keep an operation that wasn't applied from being applied later.
    bool text = false; ///< Print the text of the bundle.
    bool json = false;
};

/// @brief Parses endpoints that the command line has already validated.
std::vector<Endpoint> endpointsOf(const std::vector<std::string> &texts);

/// @brief Output options of the command line.
ReportOptions reportOptions(const Arguments &arguments);

} // namespace agatedoor
