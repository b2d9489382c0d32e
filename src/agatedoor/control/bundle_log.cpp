#include "bundle_log.hpp"

#include "agatedoor/wire/log.hpp"

namespace agatedoor {

namespace {

std::string errorName(const ApplyError &error)
{
    if (std::holds_alternative<StaleGeneration>(error)) {
        return "stale-generation";
    }
    if (std::holds_alternative<DigestMismatch>(error)) {
        return "digest-mismatch";
    }
    return std::string(wireName(std::get<ConfigError>(error).kind));
}

std::int64_t number(std::size_t count)
{
    return static_cast<std::int64_t>(count);
}

/// Left out of the line when the bundle doesn't list its customers.
LogField customersField(const Bundle &bundle)
{
    return needsKeys(bundle) ? LogField{"customers", number(customersOf(bundle).size())} : LogField{};
}

std::int64_t number(Generation generation)
{
    return static_cast<std::int64_t>(generation.value);
}

} // namespace

void logBundleResult(const HeadRecord &head, const BundleOrigin &origin, const Result<Generation, ApplyError> &applied, const BundleInForce &inForce)
{
    if (applied) {
        logLine(LogLevel::Info, "bundle-in-force",
                {{"generation", number(head.generation)},
                 {"digest", head.digest.value},
                 {"source", std::string(origin.peer.value.empty() ? "store" : "peer")},
                 {"peer", origin.peer.value},
                 {"bytes", number(origin.bytes)},
                 {"services", number(inForce.bundle.services.size())},
                 {"routes", number(inForce.bundle.routes.size())},
                 customersField(inForce.bundle),
                 {"behind_us", static_cast<std::int64_t>(inMicroseconds(origin.behind).count())}});
        return;
    }
    const bool stale = std::holds_alternative<StaleGeneration>(applied.error());
    logLine(stale ? LogLevel::Debug : LogLevel::Error, "bundle-refused",
            {{"generation", number(head.generation)}, {"digest", head.digest.value}, {"error", errorName(applied.error())}});
}

void logBundleRequest(Generation announced, const NodeId &peer, bool sameRegion)
{
    logLine(LogLevel::Info, "bundle-requested", {{"generation", number(announced)}, {"peer", peer.value}, {"same_region", sameRegion}});
}

void logBundleReply(Generation inForce, const NodeId &peer, std::size_t bytes, bool sent)
{
    logLine(LogLevel::Info, "bundle-reply",
            {{"generation", number(inForce)}, {"peer", peer.value}, {"bytes", number(bytes)}, {"outcome", std::string(sent ? "sent" : "over-budget")}});
}

} // namespace agatedoor
