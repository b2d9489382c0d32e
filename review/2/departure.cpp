#include "../fleet.hpp"

/// @brief A target leaves and gets its confirmation, all nodes are killed right after it, and an announcement that the target had sent
/// before comes late.
using namespace review;

namespace {

constexpr Millis away{600}; ///< From the kill to the next start.
constexpr Millis late{4000}; ///< How late the announcement comes.
constexpr Millis drain{2000}; ///< The users' drainMs.
constexpr Millis touch{3000}; ///< The users' touchMs.
constexpr int requests = 40;

std::string lookUp(const std::string &id)
{
    return requestText("GET", "/leny/2f", "shop.example", {{"X-Request-Id", id}, {"X-Deadline-Ms", "1500"}, {"Connection", "close"}}, "");
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Fleet fleet(record);
    Runs runs;
    std::vector<std::unique_ptr<Target>> targets;
    fleet.store.writeConfiguration(configuration("r7", {{"/leny/", "safe", "ritarkiv"}, {"/puka/", "safe", "bestallning"}}, {"ritarkiv", "bestallning"}));
    for (const std::string service : {"ritarkiv", "ritarkiv", "bestallning", "bestallning"}) {
        if (!fleet.add(fleet.machines.size() % 2 == 0 ? "sv-uppsala" : "sv-vasteras", "svealand", service)) {
            finish(fleet, record, 2);
        }
    }
    for (auto &machine : fleet.machines) {
        fleet.start(machine);
        targets.push_back(fleet.makeTarget(machine, runs));
        targets.back()->start();
    }
    if (!fleet.waitUntilReady(Millis(15000))) {
        finish(fleet, record, 2);
    }
    pauseFor(Millis(4000));
    for (int i = 0; i < requests; ++i) {
        exchangeOnce(fleet.machines[2].outbound, lookUp("before-" + std::to_string(i)), Millis(2000));
    }
    std::map<std::string, int> before;
    for (const auto &run : runs.all()) {
        ++before[run.target];
    }
    record.line("before: i-1 ran %d, i-2 ran %d requests", before["i-1"], before["i-2"]);

    Target &leaving = *targets[0];
    leaving.stopAnnouncing();
    const std::string delayed = leaving.announcement();
    record.line("i-1 sends an announcement that comes %lld ms late", static_cast<long long>(late.count()));
    const auto sentAt = Clock::now();
    std::thread network([&] {
        std::this_thread::sleep_until(sentAt + late);
        const Exchange taken = leaving.send(delayed);
        record.line("the late announcement arrives at machine 1: answer %d", taken.status);
    });
    pauseFor(Millis(100));
    const Exchange left = leaving.withdraw();
    const auto confirmedAt = Clock::now();
    record.line("i-1 sends DELETE: answer %d; it serves on for some seconds", left.status);
    if (troubled()) {
        for (auto &machine : fleet.machines) {
            fleet.kill(machine);
        }
        record.line("all nodes are killed");
        pauseFor(away);
        for (auto &machine : fleet.machines) {
            fleet.start(machine);
        }
        record.line("all nodes are started again");
    }
    const auto startedAt = Clock::now();
    network.join();
    std::this_thread::sleep_until(startedAt + touch + Millis(1500));
    if (left.status != 200 || !fleet.waitUntilReady(Millis(5000))) {
        finish(fleet, record, 2);
    }
    int wrong = 0;
    int served = 0;
    for (int i = 0; i < requests; ++i) {
        const std::string id = "after-" + std::to_string(i);
        const Exchange exchange = exchangeOnce(fleet.machines[2].outbound, lookUp(id), Millis(2000));
        served += exchange.status == 200 ? 1 : 0;
        const auto run = runs.of(id);
        const bool gone = run && run->target == "i-1" && run->at > confirmedAt + drain;
        wrong += gone ? 1 : 0;
        record.line("%s sent to machine 3: answer %d, run by %s%s", id.c_str(), exchange.status, run ? run->target.c_str() : "nobody",
                    gone ? ", which had left" : "");
    }
    record.line("%d of %d requests reached i-1 later than drainMs after its DELETE was confirmed; %d were served", wrong, requests, served);
    finish(fleet, record, wrong > 0 ? 1 : served == 0 ? 2 : 0);
}
