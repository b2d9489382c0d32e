#pragma once

#include "request_context.hpp"

#include <span>
#include <string_view>

/// @brief Chain of filters that process a caller's request.
namespace agatedoor {

/// @brief Decision of a filter.
enum class FilterVerdict {
    Continue, ///< Run the next filter.
    Answer, ///< Stop; the context's result is the response.
};

/// @brief One filter of the chain.
struct Filter
{
    std::string_view name;
    asio::awaitable<FilterVerdict> (*run)(RequestContext &);
};

/// @brief All filters in the order in which they run.
std::span<const Filter> requestFilters();

/// @brief Runs the filters until one returns FilterVerdict::Answer.
asio::awaitable<void> runFilters(std::span<const Filter> filters, RequestContext &context);

} // namespace agatedoor
