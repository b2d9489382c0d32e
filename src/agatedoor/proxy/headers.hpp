#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/priority.hpp"
#include "agatedoor/base/time.hpp"
#include "agatedoor/state/backend_stats.hpp"
#include "http_types.hpp"

#include <optional>
#include <string_view>

/// @brief HTTP header fields that agatedoor adds and reads.
namespace agatedoor::header {

inline constexpr std::string_view prefix = "Agatedoor-";
inline constexpr std::string_view requestId = "Agatedoor-Request-Id";
inline constexpr std::string_view outcome = "Agatedoor-Outcome";
inline constexpr std::string_view reason = "Agatedoor-Reason";
inline constexpr std::string_view bundle = "Agatedoor-Bundle"; ///< Generation of the configuration bundle that the request used.
inline constexpr std::string_view depth = "Agatedoor-Depth"; ///< Number of nested calls above this one.
inline constexpr std::string_view timeout = "Agatedoor-Timeout-Us"; ///< Time left until the deadline, microseconds.
inline constexpr std::string_view target = "Agatedoor-Target"; ///< Id of the chosen backend server; only between nodes.
inline constexpr std::string_view incarnation = "Agatedoor-Incarnation"; ///< Incarnation of the owning node that the sender expects; only between nodes.
inline constexpr std::string_view priority = "Agatedoor-Priority";
inline constexpr std::string_view route = "Agatedoor-Route"; ///< RouteKey of the request; only between nodes.
inline constexpr std::string_view repeat = "Agatedoor-Repeat"; ///< 1 when the request is a retry or hedge; nested calls inherit it.
inline constexpr std::string_view hold
    = "Agatedoor-Hold-Us"; ///< Longest time that the request may wait while its VM is slow, microseconds; only between nodes.
inline constexpr std::string_view last = "Agatedoor-Last"; ///< 1 when the sender has no other backend server to try; only between nodes.
inline constexpr std::string_view spareOnly = "Agatedoor-Spare-Only"; ///< 1 when the request only takes a slot that is free; only between nodes.
/// Requests in a thousand seconds that the backend server takes, as the sender remembers it; only between nodes.
inline constexpr std::string_view rememberedLimit = "Agatedoor-Remembered-Limit";
inline constexpr std::string_view bodySize = "Agatedoor-Body-Size"; ///< Size of the body that follows an accepted offer, bytes; only between nodes.
/// Time until the owning node that refused the request expects to have room for it, microseconds; only between nodes.
inline constexpr std::string_view returnIn = "Agatedoor-Retry-After-Us";
inline constexpr std::string_view end = "Agatedoor-Backend-End"; ///< BackendEndId with reason backend-ended; only between nodes.
inline constexpr std::string_view load = "Agatedoor-Load"; ///< Load report, see loadText(); only between nodes.

/// @brief Removes hop-by-hop fields and all Agatedoor- fields.
void strip(http::fields &fields);

/// @brief Integer value of the field @p name, if it is present and valid.
std::optional<std::int64_t> number(const http::fields &fields, std::string_view name);

/// @brief Time left in the field @p name, in units of @p unit, clamped to 0 to 1 hour; none when the field is absent.
std::optional<Duration> timeLeft(const http::fields &fields, std::string_view name, Duration unit);

/// @brief Time left in the Agatedoor-Timeout-Us field, clamped in the same way.
std::optional<Duration> timeLeft(const http::fields &fields);

/// @brief Timeout parameter of the Keep-Alive field, clamped to 0 to 1 hour: how long the sender keeps the idle connection open.
std::optional<Duration> keepAliveTimeout(const http::fields &fields);

/// @brief Value of the field @p name; empty when absent.
std::string_view text(const http::fields &fields, std::string_view name);

/// @brief Pace in the load field of a backend server's response, if stated: the present time for a unit of work in percent of
/// the usual time.
std::optional<std::int64_t> backendPace(std::string_view load);

/// @brief Time that a backend server says it stays cold, from its field @p name; none when the field is absent or no number.
std::optional<Duration> coldLeft(const http::fields &fields, std::string_view name);

/// @brief A rate as a decimal number, requests per second; none when @p text isn't a finite number of at least 0.
std::optional<double> requestRate(std::string_view text);

/// @brief Formats a load report as `IN_FLIGHT SLOTS SERVICE_US AT_OWNER_US PACE_PERCENT`.
std::string loadText(const LoadReport &report);

/// @brief Parses the format of loadText(); none when @p text is malformed.
std::optional<LoadReport> parseLoad(std::string_view text);

} // namespace agatedoor::header
