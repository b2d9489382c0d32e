#pragma once

#include <compare>
#include <cstdint>

/// @brief Strong types for quantities other than time.
namespace agatedoor {

/// @brief Integer quantity; @p Tag distinguishes the units.
template <typename Tag>
struct Quantity
{
    std::int64_t value = 0;

    friend auto operator<=>(const Quantity &, const Quantity &) = default;
    friend Quantity operator+(Quantity a, Quantity b) { return {a.value + b.value}; }
    friend Quantity operator-(Quantity a, Quantity b) { return {a.value - b.value}; }
};

/// @brief Size in bytes.
using Bytes = Quantity<struct BytesTag>;
/// @brief Rate in bytes per second.
using BytesPerSecond = Quantity<struct BytesPerSecondTag>;
/// @brief Number of requests that a backend server runs concurrently.
using Slots = Quantity<struct SlotsTag>;
/// @brief Number of open connections.
using Connections = Quantity<struct ConnectionsTag>;
/// @brief Rate in requests per second.
using RequestsPerSecond = Quantity<struct RequestsPerSecondTag>;
/// @brief Share in percent.
using Percent = Quantity<struct PercentTag>;

} // namespace agatedoor
