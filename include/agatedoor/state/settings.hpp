#pragma once

#include "agatedoor/base/endpoint.hpp"
#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/result.hpp"
#include "agatedoor/base/time.hpp"
#include "agatedoor/base/units.hpp"
#include "agatedoor/state/config_error.hpp"

#include <optional>
#include <string_view>
#include <vector>

/// @brief Settings of one node process, read from TOML.
namespace agatedoor {

/// @brief Minimum severity of log lines that are written.
enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

/// @brief So many that a third of the nodes may be turned away by the store and a region still almost surely learns of a change at once.
inline constexpr std::size_t defaultWatchersPerRegion = 6;

/// @brief Validated settings of agatedoord.
struct Settings
{
    NodeId node;
    ZoneName zone;
    RegionName region;
    Endpoint callers; ///< Listens for callers' HTTP requests.
    Endpoint peers; ///< Advertised address to which other nodes forward requests.
    Endpoint peersListen; ///< Listens for forwarded requests; differs from peers when a proxy or address translation is in between.
    Endpoint gossip; ///< Listens for fleet state that other nodes exchange.
    Endpoint backends; ///< Listens for the announcement of the backend server on this VM.
    Endpoint admin; ///< Listens for admin requests: dump, metrics and readiness.
    std::vector<Endpoint> stores; ///< Endpoints of the platform's key-value store, tried in order.
    std::vector<Endpoint> seeds; ///< Gossip addresses of nodes through which to join the fleet when the store doesn't answer; may be empty.
    std::optional<ServiceName> service; ///< Service of the backend server on this VM, sent as the caller's name to the services that it calls.
    std::optional<Endpoint> backendAddress; ///< The only address that a backend server may announce to this node; any when absent.
    Duration stopLimit = std::chrono::seconds(30); ///< Maximum time from the stop signal to the end of the process.
    Duration announceLapse{0}; ///< Time without an announcement after which a backend server is removed; 0 never removes it.
    double retryShare = 1; ///< Retries and hedges allowed per first attempt at a service; a bundle may allow fewer.
    double retryBurst = 1e6; ///< Burst size: retries beyond that share that the whole fleet may make at once.
    Percent extraAttempts{0}; ///< Attempts against slow answers, in percent of first attempts, where the bundle names no share; 0 makes none.
    std::size_t watchersPerRegion = defaultWatchersPerRegion; ///< Nodes per region that watch the store for a new bundle.
    /// A request with an API key is refused once the store's last confirmation of the bundle is this old, since the key may have been taken away.
    /// 0 sets no limit.
    Duration revokeLimit{0};
    /// Callers refused for load are asked to come back when there will be room, at most this long after, plus up to a quarter at random. 0 leaves it to chance.
    Duration returnLimit{0};
    bool firstStart = false; ///< The whole fleet starts for the first time, so no earlier process has acknowledged anything.
    int threads = 2; ///< Request threads.
    LogLevel logLevel = LogLevel::Info;
};

/// @brief Name of @p level in settings and logs.
std::string_view wireName(LogLevel level);

/// @brief Parses and validates the text of a settings file.
/// @return the settings, or the first error found
Result<Settings, ConfigError> parseSettings(std::string_view text, std::string_view file);

/// @brief Reads, parses and validates a settings file.
Result<Settings, ConfigError> readSettings(const std::string &file);

/// @brief Reads the whole text of @p file.
Result<std::string, ConfigError> readTextFile(const std::string &file);

} // namespace agatedoor
