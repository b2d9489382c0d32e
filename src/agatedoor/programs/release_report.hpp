#pragma once

#include "agatedoor/base/endpoint.hpp"
#include "agatedoor/release/clean_up.hpp"
#include "agatedoor/release/release.hpp"

#include <map>
#include <string>
#include <vector>

/// @brief Prints the results of agatectl's subcommands; each function returns the exit code.
namespace agatedoor {

/// @brief Output options.
struct ReportOptions
{
    bool json = false;
    std::string stores; ///< `--store` options, appended to the follow-up commands that are printed.
};

/// @brief Generations in force at the queried nodes.
struct FleetStatus
{
    std::map<Generation, int> nodesByGeneration; ///< Number of nodes that have each generation in force.
    std::vector<Endpoint> unresponsive; ///< Admin endpoints without a valid answer.
};

/// @brief True when every queried node answered and has @p generation or a greater one in force.
bool inForceEverywhere(const FleetStatus &status, Generation generation);

int report(const SignOffReply &reply, const ReportOptions &options);
int report(const HeadRecord &head, const ReportOptions &options);
int report(const ReleaseError &error, const ReportOptions &options);
int report(const SignedBundle &bundle, const ReportOptions &options);
int report(const CleanUpReply &reply, const ReportOptions &options);
/// @brief Prints a line for each generation, one for each unresponsive node, and a summary.
int report(const FleetStatus &status, Generation expected, const ReportOptions &options);
int report(const StoreError &error, const ReportOptions &options);
/// @brief Reports that the store holds the begin or end of an evacuation.
int reportEvacuation(const ZoneName &zone, bool evacuated, const ReportOptions &options);
int reportNothingRolledOut(const ReportOptions &options);

} // namespace agatedoor
