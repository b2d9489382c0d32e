#pragma once

#include "agatedoor/base/boot_time.hpp"
#include "agatedoor/release/bundle_controller.hpp"
#include "attempt.hpp"
#include "cancellation.hpp"
#include "worker.hpp"

#include <functional>
#include <optional>

/// @brief State of one caller's request in the filter chain.
namespace agatedoor {

/// @brief Reads the request body into the context; Reason::None on success.
using BodyReader = std::function<asio::awaitable<Reason>()>;

/// @brief State that the filters of one request read and write.
struct RequestContext
{
    explicit RequestContext(Worker &owner)
        : worker(owner)
    {
    }

    Worker &worker;
    StringRequest request;
    BodyReader readBody;
    bool bodyRead = false; ///< The whole request was read from the connection.
    RequestId id;
    TimePoint arrivedAt;
    TimePoint bodyReadAt; ///< When the body was complete; the epoch until then.
    Deadline deadline;
    std::int64_t depth = 0; ///< Depth of nested calls, including this one.
    std::shared_ptr<const BundleInForce> bundle; ///< Configuration that the whole request uses.
    BootTime bundleTakenAt;
    std::optional<BootTime> bundleConfirmedAt; ///< Until when, by then, the store had confirmed the bundle; none without its word.
    const Route *route = nullptr; ///< Part of bundle.
    const Service *service = nullptr; ///< Part of bundle.
    const Customer *customer = nullptr; ///< Part of bundle; null when the request names none.
    PriorityClass priority = PriorityClass::Normal; ///< Of the customer, or else of the route.
    bool nearOnly = true; ///< The next attempt stays in this region as long as it has a usable backend server.
    Deadline holdUntil; ///< The owning node may hold the next attempt until then while the VM is slow.
    bool last = false; ///< The next attempt is the last one, so it starts on a slow VM too once holdUntil has passed.
    int attempts = 0;
    BackendId servedBy; ///< Backend server of the last attempt.
    std::optional<HeldToken> quotaToken; ///< Token of its customer's quota that the request holds.
    std::optional<Deadline> retryAt; ///< When the caller of a refused request may come back, if that is known.
    std::optional<Deadline> roomAt; ///< Earliest time at which an owning node that refused the request for load expects to have room.
    AttemptResult result; ///< Result that the caller receives.
    std::string contentHead; ///< See contentHeadOf(); empty until it is needed.
    ContentDigest content; ///< Set when the same request may have been in progress beside an unexpected end of a backend server.
    std::optional<HeldTrial> trial; ///< The request would be refused, but is sent as a trial.
    Cancellation cancellation; ///< Requested when the caller closes its connection.
};

} // namespace agatedoor
