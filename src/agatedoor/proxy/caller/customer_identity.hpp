#pragma once

#include "agatedoor/proxy/request_context.hpp"

/// @brief Whose request it is, and in which regions it may run.
namespace agatedoor {

/// @brief Finds the customer that the request's API key belongs to, and the request's priority.
/// @return Reason::None, or why the request is refused
Reason identifyCustomer(RequestContext &context);

/// @brief Tells the backend server whose request it is, whatever the caller sent, and takes the API key out. Without effect where the bundle
/// needs no keys.
void setCustomerHeaders(RequestContext &context);

/// @brief True when both the request's route and its customer allow @p region.
bool mayRunIn(const RequestContext &context, const RegionName &region);

} // namespace agatedoor
