#pragma once

#include "agatedoor/release/release.hpp"

#include <vector>

/// @brief Removal of old generation records and unused bundles from the store.
namespace agatedoor {

/// @brief Generations and bundles that a clean-up removed.
struct CleanUpReply
{
    std::vector<Generation> generations;
    std::vector<BundleDigest> bundles;
};

/// @brief Minimum number of latest generations that a clean-up keeps; a smaller request is raised to it.
inline constexpr std::uint64_t minKeptGenerations = 1;

/// @brief Removes the records of all but the last @p kept generations, and the bundles that only the removed ones used.
///
/// A bundle is kept if it was never rolled out, if a kept generation uses it, or if it was signed off (again) after the
/// oldest kept generation was written. Operation records are kept, because they are the only evidence of whether an
/// operation was committed. Everything is removed in one transaction, which fails if the head has changed since it was
/// read. Each call removes a bounded number of generations, the oldest first.
Result<CleanUpReply, ReleaseError> cleanUp(const Store &store, std::uint64_t kept, Deadline deadline);

} // namespace agatedoor
