#pragma once

#include "request_context.hpp"

/// @brief Counts and limits the bytes that a request thread sends as load reports and to other regions.
namespace agatedoor {

/// @brief Size of @p report as a header field.
Bytes measuringBytes(const LoadReport &report);

/// @brief Charges @p report to the measuring budget. False when the budget is spent; the response then goes without it.
bool reserveLoadReport(Worker &worker, const LoadReport &report, TimePoint now);

/// @brief True while the cross-region budget allows choosing another region because it is faster.
bool mayLeaveRegion(RequestContext &context, TimePoint now);

/// @brief Charges the request and its response to the cross-region budget when @p entry is in another region.
void countLinkTraffic(RequestContext &context, const BackendEntry &entry, const AttemptResult &result, TimePoint now);

/// @brief Expected size of the request and its response, by the average response size of the service, or of the route where the bundle asks for it.
Bytes expectedLinkBytes(const RequestContext &context);

/// @brief Updates the average response sizes of the service and the route.
void recordAnswerSize(RequestContext &context, const AttemptResult &result);

} // namespace agatedoor
