#pragma once

#include "agatedoor/base/endpoint.hpp"
#include "agatedoor/base/result.hpp"
#include "agatedoor/base/time.hpp"
#include "agatedoor/wire/http_message.hpp"

#include <functional>
#include <stop_token>
#include <string_view>

/// @brief Blocking HTTP client for control traffic. Each call uses a fresh connection.
namespace agatedoor {

/// @brief How far a failed call came.
enum class HttpErrorKind {
    ConnectFailed, ///< Nothing was sent.
    AnswerLost, ///< The request was sent, in part or whole, and no whole answer came.
};

/// @brief A failed call.
struct HttpError
{
    HttpErrorKind kind = HttpErrorKind::ConnectFailed;
};

/// @brief Sends @p request and waits for the whole answer until @p deadline.
/// @param stop ends the call early, as if its answer were lost
Result<HttpReply, HttpError> httpCall(const Endpoint &endpoint, const HttpRequest &request, Deadline deadline, const std::stop_token &stop = {});

/// @brief Takes the next part of a streamed answer; returns false to end the call.
using StreamReader = std::function<bool(std::string_view part)>;

/// @brief Sends @p request and hands over the answer's body part by part until the reader ends, the stream ends or
/// @p deadline passes; the deadline isn't an error here.
/// @return the answer's status
Result<int, HttpError> httpStream(const Endpoint &endpoint, const HttpRequest &request, Deadline deadline, const StreamReader &reader,
                                  const std::stop_token &stop = {});

} // namespace agatedoor
