#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/membership/member.hpp"

#include <array>
#include <map>
#include <vector>

/// @brief A node's mutable table of all fleet members, owned by the fleet controller.
namespace agatedoor {

/// @brief One member with its status as this node sees it.
struct MemberEntry
{
    MemberRecord record;
    MemberStatus status = MemberStatus::Alive;
    Deadline statusDeadline{TimePoint::max()}; ///< When a suspect member is declared dead, or a dead or left member is removed from the table.
    Deadline heldUntil{TimePoint::min()}; ///< Until then the backend servers of a dead member may still be used as a last resort.
    Departures departures{}; ///< Departures of backend servers that earlier processes of the member acknowledged.
    bool restarted = false; ///< An earlier process of the member was known.
};

/// @brief All members by node.
struct FleetTable
{
    std::map<NodeId, MemberEntry> members;
};

/// @brief Record and status of a member, as sent from node to node.
struct MemberUpdate
{
    MemberRecord record;
    MemberStatus status = MemberStatus::Alive;
};

/// @brief Effect of a merge on the table.
enum class MergeEffect {
    None,
    Added,
    Updated,
};

/// @brief True for a member that counts as part of the fleet: alive or suspect.
bool present(MemberStatus status);

/// @brief True when @p update replaces @p entry: its record is newer, or its status is worse for the same record.
bool supersedes(const MemberUpdate &update, const MemberEntry &entry);

/// @brief Merges @p update into @p table if it supersedes the entry there. The caller sets the deadlines of the new status.
MergeEffect mergeUpdate(FleetTable &table, const MemberUpdate &update);

/// @brief Merges @p record as that of a live member.
MergeEffect mergeMember(FleetTable &table, const MemberRecord &record);

/// @brief Number of buckets in a digest of the table.
inline constexpr std::size_t digestBuckets = 64;

/// @brief One hash per bucket over the present members; equal tables have equal digests.
using TableDigest = std::array<std::uint64_t, digestBuckets>;

/// @brief Bucket of @p node; the same on every node.
std::size_t bucketOf(const NodeId &node);

/// @brief Hash of @p text that is the same on every node and in every build.
std::uint64_t stableHash(std::string_view text);

/// @brief Digest of the present members of @p table.
TableDigest digestOf(const FleetTable &table);

/// @brief Rendezvous hashing: the @p count members of @p candidates whose hash with @p purpose is lowest.
std::vector<NodeId> rendezvous(const std::vector<NodeId> &candidates, std::string_view purpose, std::size_t count);

} // namespace agatedoor
