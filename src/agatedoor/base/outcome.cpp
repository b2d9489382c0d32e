#include "agatedoor/base/outcome.hpp"

#include "agatedoor/base/enum_names.hpp"

#include <array>
#include <utility>

namespace agatedoor {

namespace {

constexpr std::array outcomeNames{
    std::pair{RunOutcome::Answered, std::string_view{"answered"}},
    std::pair{RunOutcome::NotRun, std::string_view{"not-run"}},
    std::pair{RunOutcome::Unknown, std::string_view{"unknown"}},
    std::pair{RunOutcome::AnswerLost, std::string_view{"answer-lost"}},
};

constexpr std::array reasonNames{
    std::pair{Reason::None, std::string_view{"none"}},
    std::pair{Reason::MalformedRequest, std::string_view{"malformed-request"}},
    std::pair{Reason::HeaderTooLarge, std::string_view{"header-too-large"}},
    std::pair{Reason::BodyTooLarge, std::string_view{"body-too-large"}},
    std::pair{Reason::UnknownRoute, std::string_view{"unknown-route"}},
    std::pair{Reason::NoBundle, std::string_view{"no-bundle"}},
    std::pair{Reason::NoBackend, std::string_view{"no-backend"}},
    std::pair{Reason::Stopping, std::string_view{"stopping"}},
    std::pair{Reason::QueueFull, std::string_view{"queue-full"}},
    std::pair{Reason::DeadlineTooShort, std::string_view{"deadline-too-short"}},
    std::pair{Reason::DeadlinePassed, std::string_view{"deadline-passed"}},
    std::pair{Reason::BackendDraining, std::string_view{"backend-draining"}},
    std::pair{Reason::WrongIncarnation, std::string_view{"wrong-incarnation"}},
    std::pair{Reason::WrongTarget, std::string_view{"wrong-target"}},
    std::pair{Reason::ConnectFailed, std::string_view{"connect-failed"}},
    std::pair{Reason::OfferTimeout, std::string_view{"offer-timeout"}},
    std::pair{Reason::AnswerTimeout, std::string_view{"answer-timeout"}},
    std::pair{Reason::ConnectionLost, std::string_view{"connection-lost"}},
    std::pair{Reason::MismatchedAnswer, std::string_view{"mismatched-answer"}},
    std::pair{Reason::RetriesExhausted, std::string_view{"retries-exhausted"}},
    std::pair{Reason::TooManyHops, std::string_view{"too-many-hops"}},
    std::pair{Reason::MemoryLimit, std::string_view{"memory-limit"}},
    std::pair{Reason::CallerGone, std::string_view{"caller-gone"}},
    std::pair{Reason::BodyTimeout, std::string_view{"body-timeout"}},
    std::pair{Reason::ConnectionLimit, std::string_view{"connection-limit"}},
    std::pair{Reason::BackendShed, std::string_view{"backend-shed"}},
    std::pair{Reason::BackendSlow, std::string_view{"backend-slow"}},
    std::pair{Reason::NoFreeSlot, std::string_view{"no-free-slot"}},
    std::pair{Reason::BackendEnded, std::string_view{"backend-ended"}},
    std::pair{Reason::EndsBackends, std::string_view{"ends-backends"}},
    std::pair{Reason::RequestLimit, std::string_view{"request-limit"}},
    std::pair{Reason::UnknownKey, std::string_view{"unknown-key"}},
    std::pair{Reason::BundleOutdated, std::string_view{"bundle-outdated"}},
    std::pair{Reason::QuotaUnknown, std::string_view{"quota-unknown"}},
    std::pair{Reason::QuotaExceeded, std::string_view{"quota-exceeded"}},
    std::pair{Reason::ZoneEvacuated, std::string_view{"zone-evacuated"}},
    std::pair{Reason::BackendCold, std::string_view{"backend-cold"}},
};

} // namespace

std::string_view wireName(RunOutcome outcome)
{
    return enumName(outcomeNames, outcome);
}

std::string_view wireName(Reason reason)
{
    return enumName(reasonNames, reason);
}

std::optional<RunOutcome> runOutcomeFromWire(std::string_view word)
{
    return enumFromName<RunOutcome>(outcomeNames, word);
}

std::optional<Reason> reasonFromWire(std::string_view word)
{
    return enumFromName<Reason>(reasonNames, word);
}

} // namespace agatedoor
