#include "../stand_ins_3/fleet.hpp"

/// @brief A consumer names X-Caller-Service and X-Tenant-Id in its Connection field; what the target then gets.
using namespace review;

namespace {

/// What the target saw of one request that it ran.
struct Seen
{
    std::string service;
    std::string tenant;
};

} // namespace

int main(int argc, char **argv)
{
    Run run(argc, argv);
    Store store(run.store());
    store.write("op/config", plainConfiguration("r7", R"({"tenant-one":{"apiKeys":["key-of-one"],"priority":1,"ratePerS":0,"burst":0,"allowedRegions":[]}})"));

    std::mutex mutex;
    std::map<std::string, Seen> seen;
    const auto handler = [&](Connection &connection, const Message &head) {
        Message request = head;
        connection.readBody(request, false, Clock::now() + std::chrono::seconds(5));
        {
            const std::lock_guard lock(mutex);
            seen[request.field("X-Request-Id")] = {request.field("X-Caller-Service"), request.field("X-Tenant-Id")};
        }
        return connection.send(stampedAnswer(request, "whole"));
    };
    Node front(run.machine(1, "front"), run.store(), run.folder);
    Node owner(run.machine(2, "work"), run.store(), run.folder);
    Target target(run.machine(2, "work"), "i-2", 12, handler);

    const std::string key = "Authorization: Bearer key-of-one\r\n";
    if (!waitUntilServed(front, requestText("GET", "/look/0", "warm-up", "", key))) {
        run.record.line("the deployment didn't come up");
        return CouldNotRun;
    }
    const std::string named = run.trouble ? "Connection: keep-alive, X-Caller-Service, X-Tenant-Id\r\n" : "Connection: keep-alive\r\n";
    int wrong = 0;
    int answered = 0;
    for (int i = 0; i < 40; ++i) {
        const bool order = i % 2 == 1;
        const std::string id = "id-" + std::to_string(i);
        const auto reply = ask(front.machine().callers(),
                               order ? requestText("POST", "/order/" + id, id, "planks", key + named) : requestText("GET", "/look/" + id, id, "", key + named));
        answered += reply && reply->status() == 200 ? 1 : 0;
        const std::lock_guard lock(mutex);
        const auto found = seen.find(id);
        if (found == seen.end()) {
            run.record.line(id + ": not run, answered " + std::to_string(reply ? reply->status() : 0));
            continue;
        }
        const bool right = found->second.service == "front" && found->second.tenant == "tenant-one";
        wrong += right ? 0 : 1;
        run.record.line(id + (order ? " (unsafe)" : " (safe)") + ": began beside front with the key of tenant-one; the target ran it with X-Caller-Service \""
                        + found->second.service + "\" and X-Tenant-Id \"" + found->second.tenant + "\"");
    }
    run.record.line("sent 40, answered 200: " + std::to_string(answered) + ", run with a wrong or no caller service or tenant: " + std::to_string(wrong));
    if (answered < 30) {
        return CouldNotRun;
    }
    return wrong > 0 ? Broken : Held;
}
