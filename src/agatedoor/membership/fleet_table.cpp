#include "agatedoor/membership/fleet_table.hpp"

#include <algorithm>
#include <tuple>

namespace agatedoor {

namespace {

constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnvPrime = 0x100000001b3ULL;

/// Finalizer of SplitMix64.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// Order of statuses for the same record: the greater one wins a merge.
int severity(MemberStatus status)
{
    switch (status) {
    case MemberStatus::Alive:
        return 0;
    case MemberStatus::Suspect:
        return 1;
    case MemberStatus::Dead:
        return 2;
    case MemberStatus::Left:
        return 3;
    }
    return 0;
}

std::uint64_t hashOf(const MemberRecord &record)
{
    return mix(stableHash(record.node.value) ^ mix(record.incarnation.value) ^ mix(~record.version.value));
}

} // namespace

bool present(MemberStatus status)
{
    return status == MemberStatus::Alive || status == MemberStatus::Suspect;
}

bool supersedes(const MemberUpdate &update, const MemberEntry &entry)
{
    const auto rank = [](const MemberRecord &record, MemberStatus status) { return std::tuple(record.incarnation, record.version, severity(status)); };
    return rank(update.record, update.status) > rank(entry.record, entry.status);
}

MergeEffect mergeUpdate(FleetTable &table, const MemberUpdate &update)
{
    const auto found = table.members.find(update.record.node);
    if (found == table.members.end()) {
        table.members.emplace(update.record.node, MemberEntry{update.record, update.status});
        return MergeEffect::Added;
    }
    if (!supersedes(update, found->second)) {
        return MergeEffect::None;
    }
    found->second.record = update.record;
    found->second.status = update.status;
    return MergeEffect::Updated;
}

MergeEffect mergeMember(FleetTable &table, const MemberRecord &record)
{
    return mergeUpdate(table, {record, MemberStatus::Alive});
}

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = fnvOffset;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * fnvPrime;
    }
    return mix(hash);
}

std::size_t bucketOf(const NodeId &node)
{
    return stableHash(node.value) % digestBuckets;
}

TableDigest digestOf(const FleetTable &table)
{
    TableDigest digest{};
    for (const auto &[node, entry] : table.members) {
        if (present(entry.status)) {
            digest.at(bucketOf(node)) ^= hashOf(entry.record);
        }
    }
    return digest;
}

std::vector<NodeId> rendezvous(const std::vector<NodeId> &candidates, std::string_view purpose, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, NodeId>> ranked;
    ranked.reserve(candidates.size());
    for (const auto &node : candidates) {
        ranked.emplace_back(stableHash(std::string(purpose) + "/" + node.value), node);
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(count, ranked.size()));
    std::vector<NodeId> chosen;
    chosen.reserve(ranked.size());
    for (auto &[hash, node] : ranked) {
        chosen.push_back(std::move(node));
    }
    return chosen;
}

} // namespace agatedoor
