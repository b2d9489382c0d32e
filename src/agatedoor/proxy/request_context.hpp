#pragma once

#include "agatedoor/release/bundle_controller.hpp"
#include "attempt.hpp"
#include "cancellation.hpp"
#include "worker.hpp"

#include <functional>

/// @brief One caller's request on its way through the filter chain.
namespace agatedoor {

/// @brief Reads the body into the context; Reason::None on success.
using BodyReader = std::function<asio::awaitable<Reason>()>;

/// @brief Filters read and fill this; exactly one request at a time uses it.
struct RequestContext
{
    explicit RequestContext(Worker &owner)
        : worker(owner)
    {
    }

    Worker &worker;
    StringRequest request;
    BodyReader readBody;
    bool bodyRead = false; ///< The connection holds no rest of this request.
    RequestId id;
    TimePoint arrivedAt;
    TimePoint readAt; ///< When the body was whole; the epoch before.
    Deadline deadline;
    std::int64_t depth = 0; ///< Calls above this one.
    std::shared_ptr<const BundleInForce> bundle;
    const Route *route = nullptr; ///< Part of bundle.
    const Service *service = nullptr; ///< Part of bundle.
    bool nearOnly = true; ///< The next attempt stays in this region while something in it is in order.
    Deadline holdUntil; ///< The next attempt may be held until then on a slow VM.
    bool last = false; ///< The next attempt is the last one.
    int attempts = 0;
    BackendId servedBy; ///< Backend server of the last attempt.
    AttemptResult result; ///< What the caller is told.
    Cancellation cancellation; ///< Requested when the caller is gone.
};

} // namespace agatedoor
