#include "support/process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace agatedoor::test {

namespace {

constexpr std::chrono::milliseconds pollInterval{5};
constexpr std::chrono::seconds commandPatience{60};
constexpr int outputMode = 0600;

std::string nextOutputFile()
{
    static std::atomic<int> number{0};
    return "/tmp/agatedoor-test-" + std::to_string(::getpid()) + "-" + std::to_string(number++) + ".log";
}

pid_t spawn(const std::vector<std::string> &arguments, const std::string &outputFile)
{
    const std::string program = std::string(AGATEDOOR_BIN_DIR) + "/" + arguments.front();
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (const auto &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, outputMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = -1;
    const int failed = posix_spawn(&pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error("can't start " + program);
    }
    return pid;
}

int exitCodeOf(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

} // namespace

Process::Process(const std::vector<std::string> &arguments)
    : m_outputFile(nextOutputFile())
{
    m_pid = spawn(arguments, m_outputFile);
}

Process::Process(Process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
    , m_outputFile(std::exchange(other.m_outputFile, std::string()))
    , m_exitCode(other.m_exitCode)
{
}

Process::~Process()
{
    if (m_pid > 0 && !m_exitCode) {
        ::kill(m_pid, SIGKILL);
        int status = 0;
        ::waitpid(m_pid, &status, 0);
    }
    if (!m_outputFile.empty()) {
        std::remove(m_outputFile.c_str());
    }
}

void Process::signal(int number) const
{
    if (m_exitCode) {
        return;
    }
    ::kill(m_pid, number);
    if (number == SIGSTOP) {
        siginfo_t info{};
        ::waitid(P_PID, static_cast<id_t>(m_pid), &info, WSTOPPED | WEXITED | WNOWAIT);
    }
}

std::optional<int> Process::waitForExit(std::chrono::milliseconds patience)
{
    eventually(
        [this] {
            int status = 0;
            if (!m_exitCode && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
                m_exitCode = exitCodeOf(status);
            }
            return m_exitCode.has_value();
        },
        patience);
    return m_exitCode;
}

std::int64_t Process::peakMemoryKb() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string word;
    std::int64_t size = 0;
    while (status >> word) {
        if (word == "VmHWM:") {
            status >> size;
        }
    }
    return size;
}

std::string Process::output() const
{
    std::ifstream stream(m_outputFile);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

CommandResult runCommand(const std::vector<std::string> &arguments)
{
    Process process(arguments);
    const auto exitCode = process.waitForExit(commandPatience);
    return {exitCode.value_or(-1), process.output()};
}

bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds patience)
{
    const auto latest = std::chrono::steady_clock::now() + patience;
    for (;;) {
        if (condition()) {
            return true;
        }
        if (std::chrono::steady_clock::now() >= latest) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace agatedoor::test
