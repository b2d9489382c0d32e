#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

/// @brief Strong types for identifiers and versions; the compiler rejects a mix-up of two kinds.
namespace agatedoor {

/// @brief Textual identifier; @p Tag distinguishes the kinds.
template <typename Tag>
struct TextId
{
    std::string value;

    friend auto operator<=>(const TextId &, const TextId &) = default;
};

/// @brief Version or other numeric identifier; @p Tag distinguishes the kinds.
template <typename Tag>
struct Counter
{
    std::uint64_t value = 0;

    friend auto operator<=>(const Counter &, const Counter &) = default;
};

/// @brief Identifies a node of the fleet; an agatedoord process keeps it over restarts.
using NodeId = TextId<struct NodeIdTag>;
/// @brief Identifies a backend server, unique within the fleet.
using BackendId = TextId<struct BackendIdTag>;
/// @brief Name of a service in the bundle.
using ServiceName = TextId<struct ServiceNameTag>;
/// @brief Name of an availability zone.
using ZoneName = TextId<struct ZoneNameTag>;
/// @brief Name of a region.
using RegionName = TextId<struct RegionNameTag>;
/// @brief Name of a customer in the bundle.
using CustomerName = TextId<struct CustomerNameTag>;
/// @brief SHA-256 of a customer's API key in lower-case hexadecimal. The key itself is not kept.
using KeyDigest = TextId<struct KeyDigestTag>;
/// @brief Identifies one caller's request on all its hops.
using RequestId = TextId<struct RequestIdTag>;
/// @brief SHA-256 of a bundle's text in lower-case hexadecimal.
using BundleDigest = TextId<struct BundleDigestTag>;
/// @brief Strong hash of what a request asks for and of whom, in hexadecimal; the same whenever the request is sent again.
using ContentDigest = TextId<struct ContentDigestTag>;
/// @brief Identifies one action of an operator, so that its result can be looked up later.
using OperationId = TextId<struct OperationIdTag>;

/// @brief Generation of a released configuration; 0 means none.
using Generation = Counter<struct GenerationTag>;
/// @brief Identifies one run of a node process; each restart has a greater value.
/// Unit: microseconds since the Unix epoch at start.
using Incarnation = Counter<struct IncarnationTag>;
/// @brief Number of the store's restores from a copy, as the store tells it; 0 when it doesn't. Revisions and lease ids of different eras can't be
/// compared, since a restored store gives them out again.
using StoreEra = Counter<struct StoreEraTag>;
/// @brief Identifies one unexpected end of a backend server process; random, 0 means none.
using BackendEndId = Counter<struct BackendEndIdTag>;
/// @brief Hash of a route, the same on all nodes; 0 when the route is unknown. Two routes may share a value.
using RouteKey = Counter<struct RouteKeyTag>;

} // namespace agatedoor

template <typename Tag>
struct std::hash<agatedoor::TextId<Tag>>
{
    std::size_t operator()(const agatedoor::TextId<Tag> &id) const noexcept { return std::hash<std::string>{}(id.value); }
};
