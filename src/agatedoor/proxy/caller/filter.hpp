#pragma once

#include "agatedoor/proxy/request_context.hpp"

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

/// @brief First part of the chain, in the order in which the filters run: identifies the request and finds its route.
std::span<const Filter> routingFilters();

/// @brief Second part of the chain: takes the body and has the request served.
std::span<const Filter> servingFilters();

/// @brief Runs the filters until one returns FilterVerdict::Answer; the verdict of the last one that ran.
asio::awaitable<FilterVerdict> runFilters(std::span<const Filter> filters, RequestContext &context);

} // namespace agatedoor
