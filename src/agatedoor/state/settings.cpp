#include "agatedoor/state/settings.hpp"

#include "toml_table.hpp"

#include <array>
#include <fstream>
#include <sstream>

namespace agatedoor {

namespace {

constexpr std::int64_t maxThreads = 64;
constexpr std::int64_t maxStopLimitS = 3600;
constexpr std::int64_t maxAnnounceLapseMs = 600'000;
constexpr std::int64_t maxRevokeLimitMs = 3'600'000;
constexpr std::int64_t maxReturnLimitMs = 60'000;
constexpr std::int64_t maxPercent = 100;
constexpr double maxRetryBurst = 1e6;
constexpr std::int64_t maxWatchersPerRegion = 1'000'000;
constexpr std::array logLevels{LogLevel::Debug, LogLevel::Info, LogLevel::Warn, LogLevel::Error};
constexpr const char *endpointAllowed = "an IP address with a port, for example 10.0.0.1:8080";

Endpoint readEndpoint(TomlTable &reader, std::string_view key)
{
    const std::string text = reader.text(key);
    auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        reader.reject(key, ConfigErrorKind::BadValue, text, endpointAllowed);
        return {};
    }
    return endpoint.value();
}

/// Reads the endpoint at @p key, or returns @p fallback when the key is absent.
Endpoint readEndpointOr(TomlTable &reader, std::string_view key, const Endpoint &fallback)
{
    const std::string text = reader.textOr(key, toText(fallback));
    auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        reader.reject(key, ConfigErrorKind::BadValue, text, endpointAllowed);
        return {};
    }
    return endpoint.value();
}

std::vector<Endpoint> readEndpointList(TomlTable &reader, std::string_view key)
{
    std::vector<Endpoint> endpoints;
    for (const auto &text : reader.texts(key)) {
        auto endpoint = parseEndpoint(text);
        if (!endpoint) {
            reader.reject(key, ConfigErrorKind::BadValue, text, endpointAllowed);
            return {};
        }
        endpoints.push_back(endpoint.value());
    }
    return endpoints;
}

std::vector<Endpoint> readEndpoints(TomlTable &reader, std::string_view key)
{
    std::vector<Endpoint> endpoints = readEndpointList(reader, key);
    if (endpoints.empty() && !reader.error()) {
        reader.reject(key, ConfigErrorKind::BadValue, "no endpoint", "at least one endpoint");
    }
    return endpoints;
}

LogLevel readLogLevel(TomlTable &reader)
{
    const std::string word = reader.textOr("log_level", "info");
    for (const auto level : logLevels) {
        if (wireName(level) == word) {
            return level;
        }
    }
    reader.reject("log_level", ConfigErrorKind::BadValue, word, "one of debug, info, warn, error");
    return LogLevel::Info;
}

} // namespace

std::string_view wireName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warn:
        return "warn";
    case LogLevel::Error:
        return "error";
    }
    return "unnamed";
}

Result<Settings, ConfigError> parseSettings(std::string_view text, std::string_view file)
{
    BOOST_OUTCOME_TRY(const toml::table root, parseToml(text, file));
    TomlTable reader(root, std::string(file), "");
    Settings settings;
    settings.node = {reader.text("node")};
    settings.zone = {reader.text("zone")};
    settings.region = {reader.text("region")};
    settings.callers = readEndpoint(reader, "callers");
    settings.peers = readEndpoint(reader, "peers");
    settings.peersListen = readEndpointOr(reader, "peers_listen", settings.peers);
    settings.gossip = readEndpoint(reader, "gossip");
    settings.backends = readEndpoint(reader, "backends");
    settings.admin = readEndpoint(reader, "admin");
    settings.stores = readEndpoints(reader, "stores");
    if (reader.has("seeds")) {
        settings.seeds = readEndpointList(reader, "seeds");
    }
    if (reader.has("service")) {
        settings.service = ServiceName{reader.text("service")};
    }
    if (reader.has("backend_address")) {
        settings.backendAddress = readEndpoint(reader, "backend_address");
    }
    settings.stopLimit = std::chrono::seconds(reader.integerOr("stop_limit_s", 30, 1, maxStopLimitS));
    settings.announceLapse = std::chrono::milliseconds(reader.integerOr("announce_lapse_ms", 0, 0, maxAnnounceLapseMs));
    settings.retryShare = reader.numberOr("retry_share", settings.retryShare, 0, 1);
    settings.retryBurst = reader.numberOr("retry_burst", settings.retryBurst, 0, maxRetryBurst);
    settings.extraAttempts = {reader.integerOr("extra_attempts_percent", 0, 0, maxPercent)};
    settings.watchersPerRegion = static_cast<std::size_t>(reader.integerOr("watchers_per_region", defaultWatchersPerRegion, 1, maxWatchersPerRegion));
    settings.revokeLimit = std::chrono::milliseconds(reader.integerOr("revoke_limit_ms", 0, 0, maxRevokeLimitMs));
    settings.returnLimit = std::chrono::milliseconds(reader.integerOr("return_limit_ms", 0, 0, maxReturnLimitMs));
    settings.firstStart = reader.has("first_start") && reader.boolean("first_start");
    settings.threads = static_cast<int>(reader.integerOr("threads", 2, 1, maxThreads));
    settings.logLevel = readLogLevel(reader);
    reader.rejectUnknownKeys();
    if (reader.error()) {
        return *reader.error();
    }
    return settings;
}

Result<std::string, ConfigError> readTextFile(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        return ConfigError{ConfigErrorKind::Unreadable, file, 0, "", "a file that can't be opened", "a readable file"};
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

Result<Settings, ConfigError> readSettings(const std::string &file)
{
    BOOST_OUTCOME_TRY(const std::string text, readTextFile(file));
    return parseSettings(text, file);
}

} // namespace agatedoor
