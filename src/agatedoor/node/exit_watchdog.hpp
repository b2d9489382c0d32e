#pragma once

#include "agatedoor/base/time.hpp"

/// @brief Watchdog that ends the process when its shutdown takes too long.
namespace agatedoor {

/// @brief Exit code of a process that the watchdog ended.
inline constexpr int overdueExitCode = 9;

/// @brief Ends the process at @p latest if it still runs then, with a log line that names the current shutdown step.
/// To be called once, after all requests are answered, so that only the rest of the clean-up is skipped.
void startExitWatchdog(Deadline latest);

/// @brief Sets the name of the shutdown step that begins now; @p step must live as long as the process.
void setExitStep(const char *step);

/// @brief Sets the shutdown step when it is destroyed. Declared right after an object, it names the destruction of that object,
/// since local variables are destroyed in reverse order.
struct ExitStepMarker
{
    const char *name;

    ~ExitStepMarker() { setExitStep(name); }
};

} // namespace agatedoor
