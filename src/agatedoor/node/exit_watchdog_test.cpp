#include "exit_watchdog.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace agatedoor {

TEST(ExitWatchdogDeathTest, EndsHangingProcessAndLogsTheShutdownStep)
{
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    const auto hang = [] {
        startExitWatchdog(deadlineAfter(Clock::now(), std::chrono::milliseconds(50)));
        setExitStep("close-connections");
        std::this_thread::sleep_for(std::chrono::seconds(60));
    };
    EXPECT_EXIT(hang(), testing::ExitedWithCode(overdueExitCode), "stop-overdue.*close-connections");
}

} // namespace agatedoor
