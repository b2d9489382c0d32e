#pragma once

#include "agatedoor/base/time.hpp"

#include <optional>

/// @brief Decides whether a request may be served that needs an API key, or that names one.
///
/// Answers the pattern of a key that was taken away while a node hears nothing: a node serves a key only as long as the store's word that its
/// bundle is the newest is recent, and afterwards refuses, which is always true to say since nothing has run.
namespace agatedoor {

/// @brief What a node knows of a request's key when the request arrives.
struct KeyContext
{
    bool keyNeeded = true; ///< The request's route isn't open.
    bool customerKnown = false; ///< The key belongs to a customer of the bundle in force.
    std::optional<Duration> bundleAge; ///< Since the store last confirmed that bundle; none when it never has.
};

/// @brief Limits on the age of the bundle in force.
struct KeyCheckOptions
{
    Duration revokeLimit{0}; ///< A known key is served up to this age; 0 sets no limit.
    /// Up to this age an unknown key is refused for good. Later the node may have missed the bundle that added it.
    Duration unknownKeyLimit = std::chrono::seconds(2);
};

/// @brief Result of the check.
enum class KeyVerdict {
    Serve,
    RefuseUnknown, ///< The caller must come with another key.
    RefuseOutdated, ///< The node can't tell; the caller may come again.
};

/// @brief Decides on one request, by the bundle's age when it arrived. That counts for all later steps: a key that is taken away after the request was
/// sent doesn't bind it.
KeyVerdict checkKey(const KeyContext &view, const KeyCheckOptions &options);

} // namespace agatedoor
