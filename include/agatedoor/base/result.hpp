#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

/// @brief Result type of all modules: a value or a typed error.
namespace agatedoor {

/// @brief Holds a @p T on success or an @p E on failure; access to the one that is absent throws.
/// @example
///   Result<Endpoint, EndpointError> endpoint = parseEndpoint("10.0.0.1:8080");
template <typename T, typename E>
using Result = boost::outcome_v2::checked<T, E>;

/// @brief Value of a successful operation that returns nothing else.
struct Done
{
};

} // namespace agatedoor
