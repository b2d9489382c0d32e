#include "exit_watchdog.hpp"

#include <atomic>
#include <cstdlib>
#include <string>
#include <thread>
#include <unistd.h>

namespace agatedoor {

namespace {

std::atomic<const char *> currentStep{"start"};

/// Writes directly to stderr, since the logger may already be destroyed.
void logStopOverdue()
{
    const std::string line = std::string(R"({"level":"error","event":"stop-overdue","step":")") + currentStep.load() + "\"}\n";
    [[maybe_unused]] const auto written = ::write(STDERR_FILENO, line.data(), line.size());
}

} // namespace

void startExitWatchdog(Deadline latest)
{
    std::thread([latest] {
        std::this_thread::sleep_until(latest.at);
        logStopOverdue();
        std::_Exit(overdueExitCode);
    }).detach();
}

void setExitStep(const char *step)
{
    currentStep.store(step);
}

} // namespace agatedoor
