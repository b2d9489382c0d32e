#pragma once

#include "agatedoor/release/release.hpp"
#include "agatedoor/state/bundle.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// @brief Describes where the store keeps the bundle in force and how to decode it.
namespace agatedoor {

/// @brief A storage format for releases: the key to watch and the functions that decode it.
struct ReleaseSource
{
    std::string key; ///< Key that changes with every release.
    std::string prefix; ///< Prefix of that key and of the evacuations', to read and watch both with one call.
    std::string evacuations; ///< Prefix of the keys that name evacuated availability zones; empty when there are none.
    /// Decodes the head from the value of that key; none if it can't be decoded.
    std::function<std::optional<HeadRecord>(std::string_view value)> head;
    /// Reads the text of the bundle that the head names; @p value is the value of the key.
    std::function<Result<std::string, ReleaseError>(const Store &, const HeadRecord &, const std::string &value, Deadline)> text;
    /// Parses and validates the text of a bundle.
    std::function<Result<Bundle, ConfigError>(std::string_view text, std::string_view file)> parse;
};

/// @brief Source of the TOML bundles that agatectl signs off and rolls out.
ReleaseSource signedReleases();

} // namespace agatedoor
