#pragma once

#include "stand_ins_3.hpp"

/// @brief A small deployment of the platform's node: a store, machines with a node and a target each.
namespace review {

/// @brief A configuration with one safe route, one unsafe route and one upload route to the service `work`.
inline std::string plainConfiguration(const std::string &version, const std::string &tenants = "", int timeoutMs = 2000)
{
    const auto route = [&](const std::string &prefix, const std::string &kind) {
        return R"({"hostname":"a.example","prefix":"/)" + prefix + R"(/","kind":")" + kind + R"(","timeoutMs":)" + std::to_string(timeoutMs)
            + R"(,"aimMs":600,"priority":1,"service":"work","maxAttempts":2})";
    };
    return R"({"version":")" + version + R"(","routes":{"look":)" + route("look", "safe") + R"(,"order":)" + route("order", "unsafe") + R"(,"upload":)"
        + route("upload", "upload") + R"(,"large":)" + route("large", "download")
        + R"(},"services":{"work":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false},"front":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}},)"
        + R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000})"
        + (tenants.empty() ? "" : R"(,"tenants":)" + tenants) + "}";
}

/// @brief A request's text; @p more are whole field lines.
inline std::string requestText(const std::string &method, const std::string &path, const std::string &id, const std::string &body = "",
                               const std::string &more = "", int deadlineMs = 2000)
{
    return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + more
        + (body.empty() && method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

/// @brief The answer of a sound target: it echoes the id and puts its stamp.
inline std::string stampedAnswer(const Message &request, const std::string &body, const std::string &more = "", int status = 200)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Request-Id: " + request.field("X-Request-Id") + "\r\nX-Server-Stamp: stamp-"
        + request.field("X-Request-Id") + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @brief Sends one request on a new connection and reads its answer; nothing without an answer.
inline std::optional<Message> ask(const Address &address, const std::string &request, Millis patience = Millis(4000))
{
    auto connection = Connection::to(address);
    if (!connection.open() || !connection.send(request)) {
        return std::nullopt;
    }
    return connection.readMessage(true, Clock::now() + patience);
}

/// @brief Waits until a request by way of @p node is served.
inline bool waitUntilServed(const Node &node, const std::string &request, Millis patience = Millis(20'000))
{
    return eventually(
        [&] {
            const auto reply = ask(node.machine().callers(), request);
            return reply && reply->status() == 200;
        },
        patience);
}

} // namespace review
