#pragma once

#include "agatedoor/base/result.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

/// @brief Network endpoints: IP address and port.
namespace agatedoor {

/// @brief IP address and port of a TCP listener.
struct Endpoint
{
    std::string address; ///< IPv4 or IPv6 address in numeric form, without brackets.
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// @brief Errors of parseEndpoint().
enum class EndpointError {
    MissingPort,
    BadAddress,
    BadPort,
};

/// @brief Parses `IPv4:PORT` or `[IPv6]:PORT`; host names are rejected.
/// @param text for example `127.0.0.1:8080`
Result<Endpoint, EndpointError> parseEndpoint(std::string_view text);

/// @brief Formats @p endpoint so that parseEndpoint() can read it.
std::string toText(const Endpoint &endpoint);

} // namespace agatedoor
