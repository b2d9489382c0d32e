#pragma once

#include "agatedoor/control/node_state.hpp"
#include "http_types.hpp"

/// @brief Reads responses of backend servers and other nodes, whatever bytes come.
namespace agatedoor {

/// @brief Limits on what is taken as one response.
struct ResponseLimits
{
    std::uint64_t maxBodyBytes = 16ULL * 1024 * 1024;
    std::int64_t unreservedBytes = 64LL * 1024; ///< Up to this size a body takes no share of the node's memory for large ones.
    int maxInformational = 32; ///< Informational responses (1xx) before the final one.
    int maxForeign = 4; ///< Responses to other requests before the one that is waited for.
};

inline constexpr ResponseLimits responseLimits{};

/// @brief Parser of one response with its limits set.
using ResponseParser = http::response_parser<http::string_body>;

/// @brief Counts the responses before the final one; a sender that passes a limit sends bytes that are no answer.
struct PrecedingResponses
{
    int informational = 0;
    int foreign = 0;
};

/// @brief Counts one more; false when there are too many.
bool countInformational(PrecedingResponses &preceding, const ResponseLimits &limits = responseLimits);
/// @copydoc countInformational
bool countForeign(PrecedingResponses &preceding, const ResponseLimits &limits = responseLimits);

/// @brief True when @p response is an informational one (1xx).
bool isInformational(const StringResponse &response);

/// @brief Reads one response whole. A large body takes a share of the memory that the node has for large ones.
/// @param error http::error::body_limit also when that memory is used up
asio::awaitable<void> readResponse(beast::tcp_stream &stream, beast::flat_buffer &buffer, ResponseParser &parser, NodeState &node, error_code &error);

} // namespace agatedoor
