#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// @brief Blocking HTTP/1.1 over loopback, one thread for each connection.
namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

/// @brief A request or a response.
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }

    /// Second word of the start line: the path of a request, the status of a response.
    std::string second() const
    {
        const auto from = startLine.find(' ') + 1;
        return startLine.substr(from, startLine.find(' ', from) - from);
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    int status() const { return std::atoi(second().c_str()); }
};

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// @brief Listening socket, or -1.
inline int listenAt(const Address &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in target = toSockaddr(address);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/// @brief Connected socket, or -1.
inline int connectTo(const Address &address, Millis timeout)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in target = toSockaddr(address);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        pollfd waiting{fd, POLLOUT, 0};
        int error = errno == EINPROGRESS ? 0 : errno;
        socklen_t size = sizeof(error);
        if (error != 0 || poll(&waiting, 1, static_cast<int>(timeout.count())) != 1 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool writeAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

/// @brief How a read ended.
enum class ReadEnd {
    Complete,
    Closed,
    Reset,
    TimedOut,
};

/// @brief Reads messages from one connection.
class MessageReader
{
public:
    explicit MessageReader(int fd)
        : m_fd(fd)
    {
    }

    ReadEnd read(Message &message, Clock::time_point until)
    {
        message = {};
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            const ReadEnd more = fill(until);
            if (more != ReadEnd::Complete) {
                return more;
            }
        }
        parseHead(message, m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            return readChunks(message, until);
        }
        const std::size_t length = static_cast<std::size_t>(std::atoll(message.field("Content-Length").c_str()));
        return take(message.body, length, until);
    }

private:
    static void parseHead(Message &message, const std::string &head)
    {
        std::size_t at = head.find("\r\n");
        message.startLine = head.substr(0, at);
        while (at != std::string::npos) {
            const std::size_t from = at + 2;
            at = head.find("\r\n", from);
            const std::string line = head.substr(from, at == std::string::npos ? at : at - from);
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
    }

    ReadEnd fill(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
        pollfd waiting{m_fd, POLLIN, 0};
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) != 1) {
            return ReadEnd::TimedOut;
        }
        char bytes[16384];
        const ssize_t size = recv(m_fd, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            return size == 0 ? ReadEnd::Closed : ReadEnd::Reset;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(size));
        return ReadEnd::Complete;
    }

    ReadEnd take(std::string &target, std::size_t length, Clock::time_point until)
    {
        while (m_buffer.size() < length) {
            const ReadEnd more = fill(until);
            if (more != ReadEnd::Complete) {
                return more;
            }
        }
        target += m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return ReadEnd::Complete;
    }

    ReadEnd readChunks(Message &message, Clock::time_point until)
    {
        for (;;) {
            std::size_t line = 0;
            while ((line = m_buffer.find("\r\n")) == std::string::npos) {
                const ReadEnd more = fill(until);
                if (more != ReadEnd::Complete) {
                    return more;
                }
            }
            const std::size_t size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            m_buffer.erase(0, line + 2);
            std::string chunk;
            const ReadEnd end = take(chunk, size + 2, until);
            if (end != ReadEnd::Complete || size == 0) {
                return end;
            }
            message.body += chunk.substr(0, size);
        }
    }

    int m_fd;
    std::string m_buffer;
};

/// @brief Text of a response with a length.
inline std::string responseText(int status, const std::vector<std::pair<std::string, std::string>> &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Status") + "\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @brief Text of a request with a length where it has a body.
inline std::string requestText(const std::string &method, const std::string &path, const std::string &host,
                               const std::vector<std::pair<std::string, std::string>> &fields, const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// @brief One exchange over a new connection; status 0 when there was no complete answer.
struct Exchange
{
    int status = 0;
    Message answer;
    ReadEnd end = ReadEnd::Closed;
};

inline Exchange exchangeOnce(const Address &to, const std::string &text, Millis timeout)
{
    Exchange exchange;
    const auto until = Clock::now() + timeout;
    const int fd = connectTo(to, timeout);
    if (fd < 0) {
        exchange.end = ReadEnd::Reset;
        return exchange;
    }
    if (writeAll(fd, text)) {
        MessageReader reader(fd);
        exchange.end = reader.read(exchange.answer, until);
        exchange.status = exchange.end == ReadEnd::Complete ? exchange.answer.status() : 0;
    }
    close(fd);
    return exchange;
}

/// @brief Server with one thread for each connection. It can end as a process does that crashes, and listen again.
class HttpServer
{
public:
    /// Answers one request; none closes the connection.
    using Handler = std::function<std::optional<std::string>(const Message &)>;

    HttpServer(Address address, Handler handler)
        : m_address(std::move(address))
        , m_handler(std::move(handler))
    {
    }
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    bool start()
    {
        const int fd = listenAt(m_address);
        if (fd < 0) {
            return false;
        }
        m_listener = fd;
        std::thread([this, fd] { acceptAll(fd); }).detach();
        return true;
    }

    /// Closes the listening socket and all connections at once.
    void endAbruptly()
    {
        const int listener = m_listener.exchange(-1);
        if (listener >= 0) {
            shutdown(listener, SHUT_RDWR);
            close(listener);
        }
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_open) {
            shutdown(fd, SHUT_RDWR);
        }
    }

private:
    void acceptAll(int listener)
    {
        while (m_listener == listener) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        MessageReader reader(fd);
        Message request;
        while (reader.read(request, Clock::now() + std::chrono::seconds(30)) == ReadEnd::Complete) {
            const auto answer = m_handler(request);
            if (!answer || !writeAll(fd, *answer) || strcasecmp(request.field("Connection").c_str(), "close") == 0) {
                break;
            }
        }
        {
            const std::lock_guard lock(m_mutex);
            m_open.erase(fd);
        }
        close(fd);
    }

    Address m_address;
    Handler m_handler;
    std::atomic<int> m_listener{-1};
    std::mutex m_mutex;
    std::set<int> m_open;
};

} // namespace review
