#pragma once

#include <optional>
#include <string_view>

/// @brief Outcomes of requests and reasons for failures, with their names on the wire.
namespace agatedoor {

/// @brief Whether the request ran, as far as the answering node knows.
enum class RunOutcome {
    Answered, ///< The backend server ran the request, and this is its answer.
    NotRun, ///< The request did not run and will not run; it is safe to retry.
    Unknown, ///< The request may have run or may still run.
    AnswerLost, ///< The request ran, but its answer was lost or truncated.
};

/// @brief Reasons for which agatedoor answers instead of a backend server.
enum class Reason {
    None,
    MalformedRequest,
    HeaderTooLarge,
    BodyTooLarge,
    UnknownRoute,
    NoBundle,
    NoBackend,
    Stopping,
    QueueFull,
    DeadlineTooShort,
    DeadlinePassed,
    BackendDraining,
    WrongIncarnation,
    WrongTarget,
    ConnectFailed,
    OfferTimeout,
    AnswerTimeout,
    ConnectionLost,
    MismatchedAnswer,
    RetriesExhausted,
    TooManyHops,
    MemoryLimit,
    CallerGone,
    BodyTimeout,
    ConnectionLimit,
    BackendShed,
    BackendSlow, ///< The backend server's VM is slow at the moment.
    NoFreeSlot, ///< All slots of the backend server are in use, and the request may not wait for one.
    BackendEnded, ///< The backend server process ended while the request was in progress.
    EndsBackends, ///< Several backend servers ended while the same request was in progress, and none has answered it since.
    RequestLimit, ///< The backend server named a limit for its requests, which is used up at the moment.
    UnknownKey, ///< The request names no customer: its API key is missing or unknown.
    BundleOutdated, ///< It is too long ago that the store confirmed the bundle in force; the customer's key may have been taken away since.
    QuotaUnknown, ///< Whether the customer's quota has room can't be told, because no other node answers.
    QuotaExceeded, ///< The customer's quota is used up at the moment.
    ZoneEvacuated, ///< The operator evacuates the availability zone of the backend server.
    BackendCold, ///< The backend server is cold and bears no further request at the moment.
};

/// @brief Name of @p outcome in the Agatedoor-Outcome header.
std::string_view wireName(RunOutcome outcome);

/// @brief Name of @p reason in the Agatedoor-Reason header.
std::string_view wireName(Reason reason);

/// @brief Outcome with the wire name @p word, if there is one.
std::optional<RunOutcome> runOutcomeFromWire(std::string_view word);

/// @brief Reason with the wire name @p word, if there is one.
std::optional<Reason> reasonFromWire(std::string_view word);

} // namespace agatedoor
