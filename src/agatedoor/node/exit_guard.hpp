#pragma once

#include "agatedoor/base/time.hpp"

/// @brief Ends a process whose orderly end takes too long.
namespace agatedoor {

/// @brief Exit code of a process that was ended so.
inline constexpr int overdueExitCode = 9;

/// @brief From now on the process ends at @p latest at the latest, with a line that names the step it was in.
/// To be called once, when all requests are answered: nothing is lost but the rest of the clean-up.
void guardExit(Deadline latest);

/// @brief Names the step of the clean-up that follows; @p step must live as long as the process.
void enterExitStep(const char *step);

/// @brief Names, when it is destroyed, the destruction of what was made just before it.
struct ExitStep
{
    const char *name;

    ~ExitStep() { enterExitStep(name); }
};

} // namespace agatedoor
