#include "../fleet.hpp"

/// @brief A third of the machines is lost at once, those that watch the store, and the operator changes the configuration.
using namespace review;

namespace {

constexpr int perZone = 9;
constexpr int watchersInAll = 12; ///< Six in each of the two regions.
constexpr Millis config{3000}; ///< The users' configMs.
constexpr Millis skew{5000}; ///< The users' maxSkewMs, which stretches configMs while the store is impaired.
constexpr Millis changeAfter{300};

/// Sends requests to all machines but @p except at once; the number that the old configuration's service ran.
int countOld(Fleet &fleet, const std::set<int> &except, const std::string &name, Runs &runs, Record &record, int &sent)
{
    std::vector<std::thread> consumers;
    std::mutex mutex;
    int old = 0;
    sent = 0;
    for (const auto &machine : fleet.machines) {
        if (except.contains(machine.number)) {
            continue;
        }
        ++sent;
        consumers.emplace_back([&] {
            const std::string id = name + "-" + std::to_string(machine.number);
            const std::string text
                = requestText("GET", "/leny/2f", "shop.example", {{"X-Request-Id", id}, {"X-Deadline-Ms", "1000"}, {"Connection", "close"}}, "");
            const Exchange exchange = exchangeOnce(machine.outbound, text, Millis(1500));
            const std::lock_guard lock(mutex);
            const bool byOld = exchange.answer.body.starts_with("ritarkiv");
            old += byOld ? 1 : 0;
            record.line("%s: answer %d, '%s'%s", id.c_str(), exchange.status, exchange.answer.body.c_str(), byOld ? " (as the older configuration says)" : "");
        });
    }
    for (auto &consumer : consumers) {
        consumer.join();
    }
    record.line("%s: %d of %d requests were run by the older configuration's service; runs so far %zu", name.c_str(), old, sent, runs.all().size());
    return old;
}

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Fleet fleet(record);
    Runs runs;
    std::vector<std::unique_ptr<Target>> targets;
    const std::vector<std::string> services{"ritarkiv", "bestallning"};
    fleet.store.writeConfiguration(configuration("r7", {{"/leny/", "safe", "ritarkiv"}, {"/puka/", "safe", "bestallning"}}, services));
    for (const std::string zone : {"sv-uppsala", "sv-vasteras", "nl-umea", "nl-lulea"}) {
        for (int i = 0; i < perZone; ++i) {
            if (!fleet.add(zone, zone.starts_with("sv") ? "svealand" : "norrland", services[static_cast<std::size_t>(i % 2)])) {
                finish(fleet, record, 2);
            }
        }
    }
    for (auto &machine : fleet.machines) {
        fleet.start(machine);
        targets.push_back(fleet.makeTarget(machine, runs));
        targets.back()->start();
    }
    if (!fleet.waitUntilReady(Millis(25000))) {
        finish(fleet, record, 2);
    }
    const auto settleUntil = Clock::now() + Millis(30000);
    std::set<int> watchers;
    Clock::time_point since = Clock::now();
    while (Clock::now() < settleUntil && (watchers.size() != watchersInAll || Clock::now() < since + Millis(5000))) {
        pauseFor(Millis(200));
        const std::set<int> now = fleet.store.watchers();
        since = now == watchers ? since : Clock::now();
        watchers = now;
    }
    std::string names;
    for (const int machine : watchers) {
        names += " " + std::to_string(machine);
    }
    record.line("%zu of %zu machines wait for changes at the store:%s", watchers.size(), fleet.machines.size(), names.c_str());
    int sent = 0;
    if (watchers.size() != watchersInAll || countOld(fleet, {}, "before", runs, record, sent) != sent) {
        finish(fleet, record, 2);
    }
    // The machines go at once: processes, and the targets beside them. With LOSS=away the store turns them away instead.
    const char *loss = std::getenv("LOSS");
    const bool away = loss != nullptr && std::string(loss) == "away";
    const auto began = Clock::now();
    const int callsBefore = fleet.store.configurationCalls(watchers);
    if (troubled() && away) {
        fleet.store.turnAway(watchers);
        record.line("the store answers 503 to these %zu machines, and serves the %zu others and the operator", watchers.size(),
                    fleet.machines.size() - watchers.size());
    } else if (troubled()) {
        for (const int machine : watchers) {
            ::kill(fleet.machines[static_cast<std::size_t>(machine - 1)].process, SIGKILL);
            targets[static_cast<std::size_t>(machine - 1)]->end();
        }
        record.line("these %zu machines are lost; the %zu others and the store are untouched", watchers.size(), fleet.machines.size() - watchers.size());
    }
    std::this_thread::sleep_until(began + changeAfter);
    fleet.store.writeConfiguration(configuration("r8", {{"/leny/", "safe", "bestallning"}, {"/puka/", "safe", "bestallning"}}, services));
    const auto confirmed = Clock::now();
    record.line("the operator moves /leny/ to another service in r8; the store has confirmed it");
    int broken = 0;
    int tested = 0;
    for (Millis after = config + Millis(200); after <= config + skew + Millis(200); after += Millis(500)) {
        std::this_thread::sleep_until(confirmed + after);
        const int old = countOld(fleet, watchers, std::to_string(after.count()) + "-ms-after-confirmation", runs, record, sent);
        broken += old;
        tested += sent;
        // What the store does to some machines makes the core unstable, which stretches the bound by maxSkewMs.
        broken = away && after <= config + skew ? 0 : broken;
    }
    record.line("the machines left made %d calls for the configuration meanwhile", fleet.store.configurationCalls(watchers) - callsBefore);
    record.line("of %d requests sent later than configMs after the confirmation, %d were run by the old service", tested, broken);
    finish(fleet, record, broken > 0 ? 1 : 0);
}
