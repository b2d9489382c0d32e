#include "agatedoor/decide/subset.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <numeric>

namespace agatedoor {

namespace {

/// A member and its hash weight for one node.
struct Ranked
{
    std::size_t index = 0;
    std::uint64_t weight = 0;
};

using RankedByLocality = std::array<std::vector<Ranked>, localityCount>;

/// Members of each locality, highest weight first.
RankedByLocality rank(std::span<const SubsetMember> members, std::string_view node)
{
    const std::uint64_t seed = XXH3_64bits(node.data(), node.size());
    RankedByLocality ranked;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const std::string_view backend = members[i].backend;
        const std::uint64_t weight = XXH3_64bits_withSeed(backend.data(), backend.size(), seed);
        ranked.at(static_cast<std::size_t>(members[i].locality)).push_back({i, weight});
    }
    for (auto &locality : ranked) {
        std::sort(locality.begin(), locality.end(), [](const Ranked &a, const Ranked &b) { return a.weight > b.weight; });
    }
    return ranked;
}

/// Number of members taken from each locality: one from the nearest, the reserved ones of each farther one, and then as many as
/// possible from the nearest on until @p size is reached.
std::array<std::size_t, localityCount> allocateByLocality(const RankedByLocality &ranked, std::size_t size, std::size_t perFartherLocality)
{
    std::array<std::size_t, localityCount> taken{};
    std::size_t left = size;
    taken[0] = std::min<std::size_t>({left, ranked[0].size(), 1});
    left -= taken[0];
    for (std::size_t i = 1; i < ranked.size(); ++i) {
        taken.at(i) = std::min({left, ranked.at(i).size(), perFartherLocality});
        left -= taken.at(i);
    }
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        const std::size_t more = std::min(left, ranked.at(i).size() - taken.at(i));
        taken.at(i) += more;
        left -= more;
    }
    return taken;
}

} // namespace

std::int64_t subsetSize(std::int64_t backends, std::int64_t nodes, const SubsetOptions &options)
{
    if (nodes <= 0) {
        return backends;
    }
    const std::int64_t usable = options.connections.value * options.usable.value / 100;
    return std::min(backends, std::max(options.minMembers, usable * backends / nodes));
}

std::vector<std::size_t> chooseSubset(std::span<const SubsetMember> members, std::string_view node, std::int64_t nodes, const SubsetOptions &options)
{
    const auto total = static_cast<std::int64_t>(members.size());
    const std::int64_t size = subsetSize(total, nodes, options);
    std::vector<std::size_t> indices;
    if (size >= total) {
        indices.resize(members.size());
        std::iota(indices.begin(), indices.end(), std::size_t{0});
        return indices;
    }
    const RankedByLocality ranked = rank(members, node);
    const auto taken = allocateByLocality(ranked, static_cast<std::size_t>(size), static_cast<std::size_t>(options.perFartherLocality));
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        for (std::size_t k = 0; k < taken.at(i); ++k) {
            indices.push_back(ranked.at(i)[k].index);
        }
    }
    std::sort(indices.begin(), indices.end());
    return indices;
}

} // namespace agatedoor
