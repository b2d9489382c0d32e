#pragma once

#include "agatedoor/release/release_source.hpp"
#include "agatedoor/state/bundle.hpp"
#include "agatedoor/state/snapshot.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <variant>

/// @brief Applies bundles and holds the one in force; its generation only increases.
namespace agatedoor {

/// @brief The bundle that configures request handling; generation 0 and an empty bundle until the first one is applied.
struct BundleInForce
{
    HeadRecord head;
    std::string text; ///< Text as signed off, kept to send it to peers.
    Bundle bundle;
};

/// @brief The offered generation isn't greater than the one in force.
struct StaleGeneration
{
    Generation offered;
    Generation inForce;
};

/// @brief The digest of the text differs from the one in the head record.
struct DigestMismatch
{
    BundleDigest expected;
    BundleDigest found;
};

using ApplyError = std::variant<StaleGeneration, DigestMismatch, ConfigError>;

/// @brief Validates bundles and publishes them as the snapshot in force; its only writer.
class BundleController
{
public:
    using Parser = std::function<Result<Bundle, ConfigError>(std::string_view text, std::string_view file)>;

    /// @param parser parses and validates the text of each bundle
    explicit BundleController(Parser parser = parseBundle)
        : m_parse(std::move(parser))
    {
    }

    /// @brief Puts a bundle in force if its digest matches, it parses, and its generation is greater than the one in force.
    /// The generation is compared under the lock that guards publishing, so concurrent calls can't lower it.
    /// Fails with StaleGeneration, DigestMismatch or the parser's ConfigError; the bundle in force then stays.
    Result<Generation, ApplyError> apply(const HeadRecord &head, std::string_view text);

    /// @brief Bundle in force.
    std::shared_ptr<const BundleInForce> current() const { return m_inForce.current(); }

private:
    Parser m_parse;
    std::mutex m_publishing;
    Snapshot<BundleInForce> m_inForce;
};

} // namespace agatedoor
