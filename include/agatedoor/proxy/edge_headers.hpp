#pragma once

#include "agatedoor/base/time.hpp"

#include <string>

/// @brief Names of the HTTP header fields that agatedoor exchanges with callers and backend servers.
namespace agatedoor {

/// @brief Configurable header field names. A field with an empty name is neither read nor sent. The defaults are agatedoor's own fields.
struct EdgeHeaders
{
    std::string requestId = "Agatedoor-Request-Id"; ///< Identifies the request; backend servers echo it when echoesRequestId is set.
    bool echoesRequestId = false; ///< Backend servers echo the request id; a response with another id, or none, belongs to another request.
    std::string timeLeft = "Agatedoor-Timeout-Us"; ///< Time left until the deadline, a whole number of timeUnit.
    Duration timeUnit = std::chrono::microseconds(1);
    std::string callerService; ///< Tells the backend server the service of the VM that the request came from.
    std::string expectedBackend; ///< Id of the backend server that the request is meant for; any other backend server refuses it with status 421.
    std::string notRun; ///< Present in a response when the backend server did not run the request. When empty, status 503 with Agatedoor-Outcome tells it.
    std::string requestLimit = "Backend-Request-Limit"; ///< Requests per second that a backend server takes, a decimal number, in its responses.
    std::string leaving = "Backend-Leaving"; ///< 1 in the responses of a backend server that leaves.
    std::string customer = "Customer-Name"; ///< Tells the backend server whose request it is; set only where the bundle has customers.
    std::string coldLeft = "Backend-Cold-Ms"; ///< How much longer a backend server stays cold, in milliseconds, in its responses.
    std::string load; ///< Load in a backend server's response, comma-separated: running requests, waiting requests, slots, pace in percent.
};

} // namespace agatedoor
