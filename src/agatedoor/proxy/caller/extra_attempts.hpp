#pragma once

#include "agatedoor/decide/extra_attempt.hpp"
#include "attempt_plan.hpp"
#include "parallel_attempts.hpp"

#include <string_view>

/// @brief Makes extra attempts against slow answers where the operator asks for them.
namespace agatedoor {

/// @brief The extra attempt of one request.
struct ExtraAttempt
{
    ExtraAttemptOptions options;
    std::optional<Deadline> dueAt; ///< None once it is made or withheld, and when the request gets none.
    TimePoint lateSince; ///< Start of the attempt that is late.
    Duration tail{0}; ///< High quantile of the route's response time, after which it is due.
    Duration waited{0}; ///< Time that the late attempt had taken when it was made.
    const RunningAttempt *running = nullptr; ///< None until it is made.
};

/// @brief Plans the extra attempt beside the request's attempt that has just started.
ExtraAttempt planExtraAttempt(const AttemptPlan &plan);

/// @brief Starts the extra attempt that is due, on another backend server, unless it is withheld.
void startExtraAttempt(AttemptPlan &plan, ParallelAttempts &attempts, ExtraAttempt &extra);

/// @brief Gives back the tokens of an extra attempt that was refused while the late one goes on.
void recordRefusedExtraAttempt(AttemptPlan &plan, const ExtraAttempt &extra, const AttemptResult &result);

/// @brief Records how the request's attempts ended, if there was an extra one.
/// @param winner the attempt that was answered; null when none was
void recordExtraAttemptEnd(const AttemptPlan &plan, const ExtraAttempt &extra, const RunningAttempt *winner);

} // namespace agatedoor
