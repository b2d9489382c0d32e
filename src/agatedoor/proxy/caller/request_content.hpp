#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/proxy/edge_headers.hpp"
#include "agatedoor/proxy/http_types.hpp"
#include "agatedoor/state/answered_requests.hpp"

/// @brief Recognizes a request that is sent again, by what it asks for and of whom: its id is another each time.
namespace agatedoor {

/// @brief Hash of a request's method, target and header without the fields that differ each time it is sent. Callers, customers and their
/// credentials are told apart by the fields that name them. The first part of contentOf(), cheap also when the body is large.
std::string contentHeadOf(const StringRequest &request, const EdgeHeaders &edge);

/// @brief Digest of the whole request. It begins with @p head, which is contentHeadOf() the request.
ContentDigest contentOf(const StringRequest &request, const std::string &head);

/// @brief Fingerprint of a request's method, target, lasting header fields, and of the size and beginning of its body.
RequestFingerprint fingerprintOf(const StringRequest &request, const EdgeHeaders &edge);

} // namespace agatedoor
