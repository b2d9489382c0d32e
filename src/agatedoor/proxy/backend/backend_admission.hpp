#pragma once

#include "agatedoor/base/result.hpp"
#include "agatedoor/proxy/attempt.hpp"
#include "agatedoor/proxy/cancellation.hpp"
#include "agatedoor/proxy/worker.hpp"
#include "agatedoor/state/bundle.hpp"

#include <memory>

/// @brief Admits requests to backend servers on this VM, and dispatches them. Runs on the node that owns the backend server.
namespace agatedoor {

/// @brief Shared handle to an occupied slot; the slot is released when the last copy is destroyed.
class SlotHandle
{
public:
    /// @brief Takes ownership of a slot that @p gate has granted.
    explicit SlotHandle(const std::shared_ptr<Gate> &gate);

    const std::shared_ptr<Gate> &sharedGate() const { return m_gate; }
    const Gate &gate() const { return *m_gate; }

private:
    std::shared_ptr<Gate> m_gate;
    std::shared_ptr<Gate> m_slot;
};

/// @brief Request parameters for an attempt on one backend server.
struct BackendRequest
{
    BackendId target;
    RequestId id;
    PriorityClass priority = PriorityClass::Normal;
    CustomerName customer; ///< Empty when the request names none.
    RouteKey route;
    Deadline deadline;
    std::int64_t depth = 0;
    Deadline holdUntil; ///< Until when the request may wait while its VM is slow.
    bool last = false; ///< The sender has no other backend server to try, so the request starts on a slow VM too once holdUntil has passed.
    bool repeat = false; ///< The request is a retry or hedge.
    bool spareOnly = false; ///< The request only takes a slot that is free and a VM that isn't slow.
    double rememberedLimit = 0; ///< Requests per second that the backend server takes, as the sender remembers it; 0 when it knows of no limit.
    Cancellation *cancellation = nullptr; ///< Cancellation of the request; null when it cannot be cancelled.
};

/// @brief Admission of a request: its slot, and the backend server's address and service.
struct Admitted
{
    SlotHandle slot;
    Endpoint endpoint;
    ServiceName service;
};

/// @brief Why a request was not admitted.
struct Refusal
{
    Reason reason = Reason::None;
    std::optional<Deadline> returnAt = {}; ///< After a refusal for load, when there is expected to be room.
};

/// @brief Requests a slot and waits for it if necessary. An error means that the request did not run. The optional always
/// holds a value; the caller resets it to release the slot.
asio::awaitable<std::optional<Result<Admitted, Refusal>>> admit(Worker &worker, const BackendRequest &request);

/// @brief Checks the VM's pace again when the body of an admitted request has arrived, since the VM may have become slow
/// meanwhile. Any reason but Reason::None means that the request did not run.
asio::awaitable<Reason> admitBody(Worker &worker, const Admitted &admitted, BackendRequest request);

/// @brief Sends an admitted request to its backend server and reads the response. Checks the deadline immediately before
/// the first byte is sent.
///
/// When the deadline passes or the request is cancelled, the connection is closed. The slot stays occupied until the
/// backend server has closed its end too, for a bounded time.
asio::awaitable<AttemptResult> dispatch(Worker &worker, Admitted &admitted, const BackendRequest &request, const StringRequest &message);

} // namespace agatedoor
