#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/membership/member.hpp"

#include <array>
#include <map>
#include <vector>

/// @brief A node's mutable table of all members, kept by the fleet controller.
namespace agatedoor {

/// @brief One member with what this node thinks of it.
struct MemberEntry
{
    MemberRecord record;
    MemberStatus status = MemberStatus::Alive;
    Deadline statusDeadline{TimePoint::max()}; ///< When a suspect becomes dead, or a dead or left member is forgotten.
    Deadline heldUntil{TimePoint::min()}; ///< Until then a dead member stays routable as a last resort.
    Departures departures{}; ///< What earlier processes of the member acknowledged.
};

/// @brief All members by node.
struct FleetTable
{
    std::map<NodeId, MemberEntry> members;
};

/// @brief What one node tells another about a member.
struct MemberUpdate
{
    MemberRecord record;
    MemberStatus status = MemberStatus::Alive;
};

/// @brief What a merge changed.
enum class MergeEffect {
    None,
    Added,
    Updated,
};

/// @brief True for a member that is still there as far as is known.
bool present(MemberStatus status);

/// @brief True when @p update replaces what @p entry says: a newer record does, and a worse status of the same record.
bool supersedes(const MemberUpdate &update, const MemberEntry &entry);

/// @brief Merges an update into the table; what doesn't supersede changes nothing. The caller sets the deadlines of the status.
MergeEffect mergeUpdate(FleetTable &table, const MemberUpdate &update);

/// @brief Merges a record of a member that is alive.
MergeEffect mergeMember(FleetTable &table, const MemberRecord &record);

/// @brief Number of buckets in a digest of the table.
inline constexpr std::size_t digestBuckets = 64;

/// @brief One hash a bucket over the members that are present, equal for equal tables.
using TableDigest = std::array<std::uint64_t, digestBuckets>;

/// @brief Bucket of @p node; the same on every node.
std::size_t bucketOf(const NodeId &node);

/// @brief Hash of @p text that is the same on every node and in every build.
std::uint64_t stableHash(std::string_view text);

/// @brief Digest of @p table.
TableDigest digestOf(const FleetTable &table);

/// @brief Rendezvous choice: the @p count members with the least hash under @p purpose among @p candidates.
std::vector<NodeId> rendezvous(const std::vector<NodeId> &candidates, std::string_view purpose, std::size_t count);

} // namespace agatedoor
