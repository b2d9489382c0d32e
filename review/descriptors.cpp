#include "fleet.hpp"

/// @brief Many consumers open connections to one node, more than it has descriptors, while others have requests in progress there.
using namespace review;

namespace {

constexpr int keptConnections = 8;
constexpr Millis work{600};
constexpr int processes = 5;
constexpr int connectionsEach = 860; ///< 4,300 in all.
constexpr Millis observed{40000};
constexpr Millis calm{15000}; ///< Without the disruption.
constexpr std::size_t allowed = 3; ///< Requests that may be lost so.

std::atomic<bool> ended{false};

/// Sends one request after the other on one connection; the ids of those that ended with their connection and without an answer.
void keepAsking(const Machine &machine, int number, Record &record, std::vector<std::string> &unanswered)
{
    const int fd = connectTo(machine.outbound, Millis(500));
    MessageReader reader(fd);
    for (int i = 0; !ended; ++i) {
        const std::string id = "kept-" + std::to_string(number) + "-" + std::to_string(i);
        if (!writeAll(fd, requestText("GET", "/leny/2f", "shop.example", {{"X-Request-Id", id}, {"X-Deadline-Ms", "1500"}}, ""))) {
            break;
        }
        Message answer;
        const ReadEnd end = reader.read(answer, Clock::now() + Millis(3000));
        if (end != ReadEnd::Complete) {
            record.line("%s: no answer, the connection %s", id.c_str(), end == ReadEnd::TimedOut ? "is silent" : "ended");
            unanswered.push_back(id);
            break;
        }
        if (answer.status() != 200) {
            record.line("%s: answered %d", id.c_str(), answer.status());
        }
    }
    close(fd);
}

/// A process of consumers that opens connections and holds them.
pid_t openConnections(const Machine &machine)
{
    const pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        for (int i = 0; i < connectionsEach; ++i) {
            connectTo(machine.outbound, Millis(500));
        }
        for (;;) {
            pause();
        }
    }
    return child;
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Fleet fleet(record);
    Runs runs;
    rlimit own{};
    getrlimit(RLIMIT_NOFILE, &own);
    if (own.rlim_max < Fleet::maxFds || own.rlim_cur < connectionsEach + 100) {
        record.line("too few descriptors here");
        finish(fleet, record, 2);
    }
    std::vector<std::unique_ptr<Target>> targets;
    fleet.store.writeConfiguration(configuration("r7", {{"/leny/", "safe", "ritarkiv"}}, {"ritarkiv", "bestallning"}));
    for (const std::string service : {"ritarkiv", "ritarkiv", "bestallning"}) {
        if (!fleet.add("sv-uppsala", "svealand", service)) {
            finish(fleet, record, 2);
        }
    }
    for (auto &machine : fleet.machines) {
        fleet.start(machine);
        targets.push_back(fleet.makeTarget(machine, runs));
        targets.back()->workMs = static_cast<int>(work.count());
        targets.back()->start();
    }
    if (!fleet.waitUntilReady(Millis(15000))) {
        finish(fleet, record, 2);
    }
    pauseFor(Millis(4000)); // The targets are known to all, and the machines in touch.
    Machine &machine = fleet.machines.back();
    std::vector<std::vector<std::string>> unanswered(keptConnections);
    std::vector<std::thread> consumers;
    for (int i = 0; i < keptConnections; ++i) {
        consumers.emplace_back([&, i] { keepAsking(machine, i, record, unanswered[static_cast<std::size_t>(i)]); });
    }
    pauseFor(Millis(2000));
    std::vector<pid_t> crowd;
    for (int i = 0; troubled() && i < processes; ++i) {
        crowd.push_back(openConnections(machine));
    }
    record.line("%zu consumer processes open %d connections each to machine %d", crowd.size(), connectionsEach, machine.number);
    const auto until = Clock::now() + (troubled() ? observed : calm);
    int status = 0;
    while (Clock::now() < until && waitpid(machine.process, &status, WNOHANG) == 0) {
        pauseFor(Millis(100));
    }
    const bool exited = Clock::now() < until;
    if (exited) {
        record.line("the node of machine %d ended by itself, signal %d", machine.number, WIFSIGNALED(status) ? WTERMSIG(status) : 0);
        record.line("its last words: %s", fleet.logLines(machine, "what()").c_str());
        machine.process = 0;
    }
    pauseFor(Millis(1000));
    ended = true;
    for (auto &consumer : consumers) {
        consumer.join();
    }
    for (const pid_t process : crowd) {
        ::kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
    std::size_t lost = 0;
    for (const auto &ids : unanswered) {
        for (const auto &id : ids) {
            const auto run = runs.of(id);
            lost += run ? 1U : 0U;
            record.line("%s was run by %s and not answered", id.c_str(), run ? run->target.c_str() : "nobody");
        }
    }
    record.line("%zu requests of kept connections were passed on to a target and ended without an answer", lost);
    finish(fleet, record, lost > allowed ? 1 : 0);
}
