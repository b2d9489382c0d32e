#include "fleet_2.hpp"

/// @brief The operator removes the last tenant; its key, keys that no configuration ever held and no key at all are served from then on.
namespace review2 {

namespace {

constexpr int revokeMs = 5000; ///< The bound of the pages.
constexpr int requestsPerKind = 10;
const std::string removedKey = "key-of-tenant-1";
const std::string unknownKey = "key-that-nobody-holds";

std::string requestBytes(const std::string &id, const std::string &key)
{
    const std::string credentials = key.empty() ? "" : "Authorization: Bearer " + key + "\r\n";
    return "POST /orders/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 2000\r\nX-Tenant-Id: tenant-of-my-choice\r\n" + credentials
        + "Connection: close\r\nContent-Length: 5\r\n\r\nhello";
}

json::object configuration(const std::string &version, const json::object &tenants)
{
    json::object orders = route("orders", "unsafe", "/orders/");
    orders["public"] = false;
    return {{"version", version},
            {"routes", json::object{{"orders", orders}}},
            {"services", json::object{{"orders", serviceEntry()}}},
            {"limits", json::object{{"maxHeaderBytes", 16384}, {"maxBodyBytes", 1048576}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
            {"tenants", tenants}};
}

void sendRequests(Record &record, const Node &node, const std::string &when)
{
    const std::map<std::string, std::string> keys{{"removed", removedKey}, {"unknown", unknownKey}, {"none", ""}};
    for (int i = 0; i < requestsPerKind; ++i) {
        for (const auto &[kind, key] : keys) {
            const std::string id = when + "-" + kind + "-" + std::to_string(i);
            const Message answer = ask(node.ip(), node.outbound(), requestBytes(id, key));
            record.line("consumer at " + node.ip() + " sent " + id + " with " + (key.empty() ? "no key" : key) + ", got " + answer.start);
        }
    }
}

int run(Record &record)
{
    Fleet fleet(record);
    const json::object tenant{{"tenant-1", json::object{{"apiKeys", json::array{removedKey}}, {"priority", 1}, {"ratePerS", 0}, {"burst", 0}}}};
    fleet.store().writeConfiguration(configuration("r7", tenant));
    const Fields bounds{{"bounds.failClosed", "true"}, {"bounds.revokeMs", std::to_string(revokeMs)}};
    Node &first = fleet.addNode("orders", bounds);
    Node &second = fleet.addNode("orders", bounds);
    fleet.addTarget(first, "i-1", 5);
    fleet.addTarget(second, "i-2", 5);
    if (!fleet.waitUntilReady()) {
        record.result("couldn't run: the nodes didn't get ready");
        return couldNotRunExit;
    }
    sendRequests(record, first, "before");
    fleet.store().writeConfiguration(configuration("r9", trouble() ? json::object{} : tenant));
    record.line(trouble() ? "the store has confirmed r9, whose table of tenants is empty" : "the store has confirmed r9, which has the tenant still");
    sleepFor(revokeMs + 1000);
    sendRequests(record, first, "after");
    std::map<std::string, int> ran;
    int keysPassedOn = 0;
    int tenantsOfChoice = 0;
    for (const auto &run : fleet.runs()) {
        ++ran[run.id.substr(0, run.id.rfind('-'))];
        keysPassedOn += run.request.has("authorization") ? 1 : 0;
        tenantsOfChoice += run.request.field("x-tenant-id") == "tenant-of-my-choice" ? 1 : 0;
    }
    const auto text = [&ran](const std::string &kind) { return std::to_string(ran[kind]) + " of " + std::to_string(requestsPerKind); };
    record.result("run before the change: with the tenant's key " + text("before-removed") + ", with an unknown key " + text("before-unknown")
                  + ", with no key " + text("before-none") + "; sent later than revokeMs after it: with the tenant's key " + text("after-removed")
                  + ", with an unknown key " + text("after-unknown") + ", with no key " + text("after-none") + "; run with the key passed on "
                  + std::to_string(keysPassedOn) + ", with the tenant that the consumer named " + std::to_string(tenantsOfChoice));
    if (ran["before-removed"] == 0) {
        return couldNotRunExit;
    }
    const bool broken = trouble() && ran["after-removed"] > 0; // The rule is on the key that was taken away; the other figures are for the record.
    return broken ? brokenExit : heldExit;
}

} // namespace

} // namespace review2

int main(int argc, char **argv)
{
    return review2::runCase(argc, argv, review2::run);
}
