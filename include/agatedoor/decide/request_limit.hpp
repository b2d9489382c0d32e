#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/decide/token_bucket.hpp"

#include <optional>

/// @brief Keeps the requests to a backend server within the rate that it names in its answers.
namespace agatedoor {

/// @brief Bounds of the rate kept.
struct RequestLimitOptions
{
    double minRate = 0.5; ///< Requests per second that are sent whatever is named, so that a limit that ends is noticed.
    double maxRate = 1e6; ///< Greater limits count as none.
    Duration burst = std::chrono::milliseconds(500); ///< Requests of this time may be sent at once, but at least one.
};

/// @brief The limit of one backend server process, as its owning node knows it.
struct RequestLimit
{
    double rate = 0; ///< Requests per second; 0 when there is no limit.
    TokenBucket bucket; ///< Requests that may be sent now.
    TimePoint namedAt; ///< When the limit was last named.
    bool heard = false; ///< An answer of the backend server itself has told whether there is a limit.
};

/// @brief What one answer said of the limit.
struct LimitNotice
{
    std::optional<double> rate; ///< Requests per second; none when the answer names no limit.
    TimePoint requestSentAt; ///< An answer without a limit ends only one that was named before its request was sent: answers may overtake each other.
};

/// @brief Applies what an answer said.
void applyNotice(RequestLimit &limit, const LimitNotice &notice, TimePoint now, const RequestLimitOptions &options = {});

/// @brief Applies the rate that another node remembers from earlier answers, unless an answer has told this node itself.
void adoptRate(RequestLimit &limit, double rate, TimePoint now, const RequestLimitOptions &options = {});

/// @brief Takes one request. False when none may be sent now.
bool takeRequest(RequestLimit &limit, TimePoint now, const RequestLimitOptions &options = {});

/// @brief Gives back a request that was taken and not sent.
void returnRequest(RequestLimit &limit, const RequestLimitOptions &options = {});

} // namespace agatedoor
