#pragma once

#include "agatedoor/base/endpoint.hpp"
#include "agatedoor/base/result.hpp"
#include "agatedoor/wire/http_message.hpp"

#include <functional>
#include <memory>

/// @brief Small HTTP server for control interfaces, on one thread of its own.
namespace agatedoor {

/// @brief Sends the answer to one request, once or as a stream. May be kept and used from any thread.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;
    /// @brief Sends a whole answer.
    virtual void reply(HttpReply reply) = 0;
    /// @brief Sends a part of a streamed JSON answer; the first one opens the stream.
    virtual void part(std::string part) = 0;
    /// @brief Closes the connection; ends a stream.
    virtual void close() = 0;
    /// @brief True when the other end is gone.
    virtual bool closed() const = 0;
};

using HttpHandler = std::function<void(const HttpRequest &, std::shared_ptr<HttpResponder>)>;

/// @brief The address can't be listened on.
struct ListenError
{
    Endpoint endpoint;
};

/// @brief A running server; it stops when destroyed.
class HttpService
{
public:
    /// @brief Listens on @p endpoint; @p handler is called on the server's thread.
    static Result<std::unique_ptr<HttpService>, ListenError> start(const Endpoint &endpoint, HttpHandler handler);
    virtual ~HttpService() = default;
};

} // namespace agatedoor
