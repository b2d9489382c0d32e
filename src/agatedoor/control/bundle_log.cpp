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

} // namespace

void logBundleResult(const HeadRecord &head, const Result<Generation, ApplyError> &applied)
{
    const auto generation = static_cast<std::int64_t>(head.generation.value);
    if (applied) {
        logLine(LogLevel::Info, "bundle-in-force", {{"generation", generation}, {"digest", head.digest.value}});
        return;
    }
    const bool stale = std::holds_alternative<StaleGeneration>(applied.error());
    logLine(stale ? LogLevel::Debug : LogLevel::Error, "bundle-refused",
            {{"generation", generation}, {"digest", head.digest.value}, {"error", errorName(applied.error())}});
}

} // namespace agatedoor
