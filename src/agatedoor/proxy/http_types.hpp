#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

/// @brief Aliases for Boost.Asio and Boost.Beast.
namespace agatedoor {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/// @brief Most bytes that a connection holds unparsed. Larger than any header that is accepted, so that only bytes without a line
/// end or an end of the header fill it.
inline constexpr std::size_t maxUnparsedBytes = 64UL * 1024;

/// @brief Request or response with its body in memory.
using StringRequest = http::request<http::string_body>;
using StringResponse = http::response<http::string_body>;
/// @brief Request that refers to a body stored elsewhere, so that attempts need not copy it.
using SpanRequest = http::request<http::span_body<char const>>;

/// @brief Completion token for co_await that stores the error in @p error instead of throwing.
inline auto into(error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

} // namespace agatedoor
