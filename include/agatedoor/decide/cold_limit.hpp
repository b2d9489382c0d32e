#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/base/time_of_day.hpp"
#include "agatedoor/decide/token_bucket.hpp"

/// @brief Keeps the requests to a cold backend server within the rate that it bears.
///
/// Answers the pattern of backend servers that start, or come back from an evacuation, under full load, and crash under it.
namespace agatedoor {

/// @brief Bounds of the rate kept.
struct ColdLimitOptions
{
    Duration burst = std::chrono::milliseconds(200); ///< Requests of this time may be sent at once, but at least one.
};

/// @brief Where the word comes from that a backend server is cold.
enum class ColdSource {
    Reading, ///< Its own answer a moment ago, which replaces what was known.
    Announcement, ///< It may be seconds old, so it only extends the time.
};

/// @brief What the owning node knows of one backend server process.
struct ColdLimit
{
    Deadline coldUntil; ///< It is warm from then on.
    TokenBucket bucket; ///< Requests that may be sent now.
};

/// @brief Records that the backend server stays cold for @p left; zero says that it is warm.
void noteCold(ColdLimit &limit, Duration left, ColdSource source, TimePoint now);

/// @brief How much longer a backend server stays cold that doesn't say so itself.
/// @param born when its process started; unknown when 0
/// @param coldTime for which one of its service stays cold after its start
Duration coldSinceStart(UnixTime born, Duration coldTime, UnixTime now);

/// @brief Takes one request. False when the backend server is cold and bears none now.
/// @param requestsPerSecond what a cold backend server bears; 0 sets no limit
bool takeColdRequest(ColdLimit &limit, double requestsPerSecond, TimePoint now, const ColdLimitOptions &options = {});

} // namespace agatedoor
