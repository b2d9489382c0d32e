#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

/// @brief Processes that tests start, signal and end by pid.
namespace agatedoor::test {

/// @brief A started process; it is killed when destroyed.
class Process
{
public:
    /// @brief Starts the program @p arguments[0] of the build's bin folder with output to a file.
    explicit Process(const std::vector<std::string> &arguments);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&) = delete;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// @brief Sends a signal, for instance SIGTERM or SIGKILL. After SIGSTOP it returns once all threads have stopped.
    void signal(int number) const;
    /// @brief Exit code once the process ended; none when it runs on after @p patience. A killed process gives 128 + signal.
    std::optional<int> waitForExit(std::chrono::milliseconds patience);
    /// @brief All output so far, standard error included.
    std::string output() const;
    pid_t pid() const { return m_pid; }
    /// @brief Largest resident memory so far, in KiB; 0 once the process has ended.
    std::int64_t peakMemoryKb() const;

private:
    pid_t m_pid = -1;
    std::string m_outputFile;
    std::optional<int> m_exitCode;
};

/// @brief Result of a program that ran to its end.
struct CommandResult
{
    int exitCode = -1;
    std::string output;
};

/// @brief Runs a program of the build's bin folder to its end.
CommandResult runCommand(const std::vector<std::string> &arguments);

/// @brief Asks @p condition until it holds; false when it doesn't within @p patience.
bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds patience = std::chrono::seconds(20));

} // namespace agatedoor::test
