#include "../fleet_3.hpp"

/// @brief A later configuration adds a route whose consumers send their bodies in chunks.
using namespace review;

namespace {

std::string route(const std::string &prefix, const std::string &kind)
{
    return R"({"hostname":"a.example","prefix":"/)" + prefix + R"(/","kind":")" + kind
        + R"(","timeoutMs":2000,"aimMs":600,"priority":1,"service":"work","maxAttempts":2})";
}

/// The limits are those of the example that `fleetbench wire` shows.
std::string configuration(const std::string &version, bool withUpload)
{
    return R"({"version":")" + version + R"(","routes":{"look":)" + route("look", "safe") + R"(,"order":)" + route("order", "unsafe")
        + (withUpload ? R"(,"upload":)" + route("upload", "upload") : "")
        + R"(},"services":{"work":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}},)"
        + R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

std::string inChunks(const std::string &body)
{
    constexpr std::size_t chunkSize = 16'384;
    std::ostringstream text;
    for (std::size_t at = 0; at < body.size(); at += chunkSize) {
        const std::string chunk = body.substr(at, chunkSize);
        text << std::hex << chunk.size() << "\r\n" << chunk << "\r\n";
    }
    text << "0\r\n\r\n";
    return text.str();
}

} // namespace

int main(int argc, char **argv)
{
    Run run(argc, argv);
    Store store(run.store());
    store.write("op/config", configuration("r7", false));
    const auto handler = [](Connection &connection, const Message &head) {
        Message request = head;
        connection.readBody(request, false, Clock::now() + std::chrono::seconds(5));
        return connection.send(stampedAnswer(request, std::to_string(request.body.size()) + " bytes"));
    };
    Node front(run.machine(1, "front"), run.store(), run.folder);
    Node owner(run.machine(2, "work"), run.store(), run.folder);
    Target target(run.machine(2, "work"), "i-2", 12, handler);
    if (!waitUntilServed(front, requestText("GET", "/look/0", "warm-up"))) {
        run.record.line("the deployment didn't come up");
        return CouldNotRun;
    }
    store.write("op/config", configuration("r9", true));
    run.record.line("r9, which adds the route /upload/, is confirmed");
    std::this_thread::sleep_for(std::chrono::seconds(4)); // More than configMs and touchMs.

    const std::string body(60'000, 'b'); // The usual size of an upload on the sheets.
    int firstServed = 0;
    int addedServed = 0;
    int comeBacks = 0;
    constexpr int count = 40;
    for (int i = 0; i < count; ++i) {
        const std::string id = std::to_string(i);
        const auto look = ask(front.machine().callers(), requestText("GET", "/look/" + id, "look-" + id));
        firstServed += look && look->status() == 200 ? 1 : 0;
        const Node &node = i % 2 == 0 ? front : owner;
        for (int attempt = 0; attempt < 3; ++attempt) { // The consumer comes back twice, after the time that it is told.
            const std::string attemptId = "upload-" + id + "-" + std::to_string(attempt);
            const std::string upload = run.trouble ? "POST /upload/" + id + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + attemptId
                    + "\r\nX-Deadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunks(body)
                                                   : requestText("POST", "/upload/" + id, attemptId, body);
            const auto reply = ask(node.machine().callers(), upload);
            const int status = reply ? reply->status() : 0;
            run.record.line("sent " + attemptId + (run.trouble ? " in chunks" : " with a length") + " to " + node.machine().name + ": answered "
                            + std::to_string(status) + (status == 200 ? ", the target read " + reply->body : "")
                            + (reply && status != 200 ? ", " + reply->field("Agatedoor-Reason") + ", Retry-After " + reply->field("Retry-After") : ""));
            if (status == 200) {
                ++addedServed;
                break;
            }
            ++comeBacks;
            if (!reply || reply->field("Retry-After").empty()) {
                break;
            }
            std::this_thread::sleep_for(std::chrono::duration<double>(std::stod(reply->field("Retry-After"))));
        }
    }
    run.record.line("on the first routes served " + std::to_string(firstServed) + " of " + std::to_string(count) + ", on the added route "
                    + std::to_string(addedServed) + " of " + std::to_string(count) + "; attempts refused: " + std::to_string(comeBacks));
    if (firstServed < 20) {
        return CouldNotRun;
    }
    return 4 * addedServed < firstServed ? Broken : Held;
}
