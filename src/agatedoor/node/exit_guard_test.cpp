#include "exit_guard.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace agatedoor {

TEST(ExitGuardDeathTest, EndsAProcessThatHangsAndNamesTheStep)
{
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    const auto hang = [] {
        guardExit(deadlineAfter(Clock::now(), std::chrono::milliseconds(50)));
        enterExitStep("close-connections");
        std::this_thread::sleep_for(std::chrono::seconds(60));
    };
    EXPECT_EXIT(hang(), testing::ExitedWithCode(overdueExitCode), "stop-overdue.*close-connections");
}

} // namespace agatedoor
