#pragma once

#include "request_context.hpp"

/// @brief Counts and bounds what a request thread sends over links for measuring and to other regions.
namespace agatedoor {

/// @brief Bytes that @p report takes as a header field.
Bytes measuringBytes(const LoadReport &report);

/// @brief True when the measuring budget lets @p report ride on an answer; its bytes are counted then.
bool mayReport(Worker &worker, const LoadReport &report, TimePoint now);

/// @brief True while the budget allows to leave the region for a gain.
bool mayLeaveRegion(RequestContext &context, TimePoint now);

/// @brief Counts the request and its answer when @p entry is in another region.
void countLinkTraffic(RequestContext &context, const BackendEntry &entry, const AttemptResult &result, TimePoint now);

/// @brief Bytes that the request and its answer are expected to move between two nodes.
Bytes expectedLinkBytes(const RequestContext &context);

/// @brief Takes the size of an answer into what is expected of its service.
void learnAnswerSize(RequestContext &context, const AttemptResult &result);

} // namespace agatedoor
