#pragma once

#include "agatedoor/base/result.hpp"
#include "agatedoor/state/bundle.hpp"
#include "attempt.hpp"
#include "cancellation.hpp"
#include "worker.hpp"

#include <memory>

/// @brief Admission of the owning node to a backend server on this VM.
namespace agatedoor {

/// @brief A slot that is held; it is given back when the last copy is destroyed.
class SlotHold
{
public:
    /// @brief Takes over a slot that was entered.
    explicit SlotHold(const std::shared_ptr<Gate> &gate);

    const std::shared_ptr<Gate> &sharedGate() const { return m_gate; }
    const Gate &gate() const { return *m_gate; }

private:
    std::shared_ptr<Gate> m_gate;
    std::shared_ptr<Gate> m_slot;
};

/// @brief One request for a backend server on this VM.
struct OwnerRequest
{
    BackendId target;
    RequestId id;
    PriorityClass priority = PriorityClass::Normal;
    Deadline deadline;
    std::int64_t depth = 0;
    Deadline holdUntil; ///< Longest wait on a VM that is slow at this moment.
    bool last = false; ///< The sender has nowhere else to go.
    bool repeat = false; ///< A retry or hedge made this request.
    Cancellation *cancellation = nullptr; ///< Of the request, when it can be cancelled.
};

/// @brief A granted slot with the backend server's address.
struct Admitted
{
    SlotHold hold;
    Endpoint endpoint;
    ServiceName service;
};

/// @brief Asks for a slot and waits for it if need be; an error means that the request did not run.
asio::awaitable<std::optional<Result<Admitted, Reason>>> admit(Worker &worker, const OwnerRequest &request);

/// @brief Checks an admitted request once more when its body has come; a reason means that it did not run.
/// Its VM may have turned slow meanwhile.
asio::awaitable<Reason> admitBody(Worker &worker, const Admitted &admitted, OwnerRequest request);

/// @brief Sends an admitted request to its backend server. The deadline is checked last, just before the first byte.
///
/// When the deadline passes or the request is cancelled, the connection is closed. The slot stays held until the backend
/// server has closed its end too, for a bounded time.
asio::awaitable<AttemptResult> dispatch(Worker &worker, Admitted &admitted, const OwnerRequest &request, const StringRequest &message);

} // namespace agatedoor
