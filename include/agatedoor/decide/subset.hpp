#pragma once

#include "agatedoor/base/units.hpp"
#include "agatedoor/decide/candidate.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

/// @brief Subsetting: chooses which of a service's backend servers a node connects to, so that the number of connections of each
/// backend server stays bounded as the fleet grows.
namespace agatedoor {

/// @brief One backend server of a service.
struct SubsetMember
{
    std::string_view backend; ///< Unique name, the input of the hash.
    Locality locality = Locality::SameZone;
};

/// @brief Parameters of a subset.
struct SubsetOptions
{
    Connections connections{220}; ///< Smallest number of connections that any backend server of the service announced as its limit.
    Percent usable{60}; ///< Share of these connections that is planned for on average; the rest allows for uneven distribution.
    std::int64_t minMembers = 3; ///< Smallest subset; leaves two to choose from when one is lost.
    std::int64_t perFartherLocality = 1; ///< Members reserved in each farther locality, for overload or the loss of a zone.
};

/// @brief Number of backend servers that each node uses when @p nodes nodes share @p backends of them.
std::int64_t subsetSize(std::int64_t backends, std::int64_t nodes, const SubsetOptions &options);

/// @brief Indices of the members that @p node uses, in ascending order.
///
/// Uses rendezvous hashing (highest random weight): nodes need no coordination, and a member that is added or removed changes at
/// most one place in each locality. Apart from the reserved members, nearer localities are filled first.
std::vector<std::size_t> chooseSubset(std::span<const SubsetMember> members, std::string_view node, std::int64_t nodes, const SubsetOptions &options);

} // namespace agatedoor
