#include "exit_guard.hpp"

#include <atomic>
#include <cstdlib>
#include <string>
#include <thread>
#include <unistd.h>

namespace agatedoor {

namespace {

std::atomic<const char *> currentStep{"start"};

/// Writes without the logger, which may be gone by then.
void writeOverdue()
{
    const std::string line = std::string(R"({"level":"error","event":"stop-overdue","step":")") + currentStep.load() + "\"}\n";
    [[maybe_unused]] const auto written = ::write(STDERR_FILENO, line.data(), line.size());
}

} // namespace

void guardExit(Deadline latest)
{
    std::thread([latest] {
        std::this_thread::sleep_until(latest.at);
        writeOverdue();
        std::_Exit(overdueExitCode);
    }).detach();
}

void enterExitStep(const char *step)
{
    currentStep.store(step);
}

} // namespace agatedoor
