#pragma once

#include <optional>
#include <string_view>

/// @brief Priority classes of requests.
namespace agatedoor {

/// @brief Priority class of a route; greater values are served first.
enum class PriorityClass {
    Low = 0,
    Normal = 1,
    High = 2,
};

/// @brief Number of priority classes.
inline constexpr int priorityClassCount = 3;

/// @brief Name of @p priority in bundles and headers.
std::string_view wireName(PriorityClass priority);

/// @brief Priority class with the wire name @p word, if there is one.
std::optional<PriorityClass> priorityFromWire(std::string_view word);

} // namespace agatedoor
