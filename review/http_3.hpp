#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

/// @brief Small blocking HTTP/1.1 on plain sockets, for the stand-ins of the third review.
namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// @brief IPv4 address and port.
struct Address
{
    std::string ip;
    int port = 0;
};

inline std::string toText(const Address &address)
{
    return address.ip + ":" + std::to_string(address.port);
}

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// @brief One request or response: its first line, its fields and its body.
struct Message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool whole = false; ///< Its end was seen.

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (lower(key) == lower(name)) {
                return value;
            }
        }
        return "";
    }
    bool has(const std::string &name) const
    {
        return std::any_of(fields.begin(), fields.end(), [&](const auto &entry) { return lower(entry.first) == lower(name); });
    }
    /// @brief Second word of the first line as a number; 0 when it is none.
    int status() const { return start.size() > 12 ? std::atoi(start.substr(9, 3).c_str()) : 0; }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
};

/// @brief A connected socket with read-ahead; closed when destroyed.
class Connection
{
public:
    Connection() = default;
    explicit Connection(int socket)
        : m_socket(socket)
    {
        const int on = 1;
        ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Connection(Connection &&other) noexcept
        : m_socket(std::exchange(other.m_socket, -1))
        , m_unread(std::move(other.m_unread))
    {
    }
    Connection &operator=(Connection &&other) noexcept
    {
        close();
        m_socket = std::exchange(other.m_socket, -1);
        m_unread = std::move(other.m_unread);
        return *this;
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection() { close(); }

    static Connection to(const Address &address, const std::string &fromIp = "")
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (!fromIp.empty()) {
            const sockaddr_in from = toSockaddr({fromIp, 0});
            ::bind(socket, reinterpret_cast<const sockaddr *>(&from), sizeof from);
        }
        const sockaddr_in target = toSockaddr(address);
        if (::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
            ::close(socket);
            return {};
        }
        return Connection(socket);
    }

    bool open() const { return m_socket >= 0; }
    int socket() const { return m_socket; }
    const std::string &unread() const { return m_unread; }

    void close()
    {
        if (m_socket >= 0) {
            ::close(m_socket);
        }
        m_socket = -1;
    }
    /// @brief Closes with a reset.
    void reset()
    {
        const linger now{1, 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }

    bool send(const std::string &bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t size = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    /// @brief Reads more; false at the end, at an error or at @p until.
    bool fill(Clock::time_point until)
    {
        for (;;) {
            const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
            pollfd wait{m_socket, POLLIN, 0};
            const int ready = m_socket < 0 ? -1 : ::poll(&wait, 1, static_cast<int>(std::clamp<std::int64_t>(left, 0, 600'000)));
            if (ready < 0 && errno == EINTR) {
                continue;
            }
            if (ready <= 0) {
                m_timedOut = ready == 0;
                return false;
            }
            char chunk[16384];
            const ssize_t size = ::recv(m_socket, chunk, sizeof chunk, 0);
            if (size <= 0) {
                m_timedOut = false;
                return false;
            }
            m_unread.append(chunk, static_cast<std::size_t>(size));
            return true;
        }
    }
    /// @brief Whether the last read ended by its time and not by the other end.
    bool timedOut() const { return m_timedOut; }

    std::optional<std::string> readUntil(const std::string &mark, Clock::time_point until)
    {
        std::size_t at = m_unread.find(mark);
        while (at == std::string::npos) {
            if (!fill(until)) {
                return std::nullopt;
            }
            at = m_unread.find(mark);
        }
        std::string text = m_unread.substr(0, at);
        m_unread.erase(0, at + mark.size());
        return text;
    }

    std::optional<std::string> readBytes(std::size_t count, Clock::time_point until)
    {
        while (m_unread.size() < count) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        std::string text = m_unread.substr(0, count);
        m_unread.erase(0, count);
        return text;
    }

    /// @brief Reads one head; nothing when none came whole.
    std::optional<Message> readHead(Clock::time_point until)
    {
        const auto head = readUntil("\r\n\r\n", until);
        if (!head) {
            return std::nullopt;
        }
        Message message;
        std::size_t from = 0;
        for (bool first = true; from <= head->size(); first = false) {
            const std::size_t end = std::min(head->find("\r\n", from), head->size());
            const std::string line = head->substr(from, end - from);
            from = end + 2;
            if (first) {
                message.start = line;
                continue;
            }
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                const std::size_t value = line.find_first_not_of(" \t", colon + 1);
                message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
            }
        }
        return message;
    }

    /// @brief Reads the body after @p message's head. @param isResponse without a length it lasts until the end of the connection
    void readBody(Message &message, bool isResponse, Clock::time_point until)
    {
        const std::string coding = lower(message.field("Transfer-Encoding"));
        if (coding == "chunked") {
            for (;;) {
                const auto size = readUntil("\r\n", until);
                if (!size) {
                    return;
                }
                const std::size_t count = std::stoul(*size, nullptr, 16);
                const auto chunk = readBytes(count, until);
                const auto end = readUntil("\r\n", until);
                if (!chunk || !end) {
                    return;
                }
                message.body += *chunk;
                if (count == 0) {
                    message.whole = true;
                    return;
                }
            }
        }
        if (message.has("Content-Length")) {
            const std::size_t count = std::stoul(message.field("Content-Length"));
            while (m_unread.size() < count) {
                if (!fill(until)) {
                    message.body = std::exchange(m_unread, {});
                    return;
                }
            }
            message.body = *readBytes(count, until);
            message.whole = true;
            return;
        }
        if (!isResponse) {
            message.whole = true;
            return;
        }
        while (fill(until)) {}
        message.body = std::exchange(m_unread, {});
        message.whole = !m_timedOut;
    }

    std::optional<Message> readMessage(bool isResponse, Clock::time_point until)
    {
        auto message = readHead(until);
        if (message) {
            readBody(*message, isResponse, until);
        }
        return message;
    }

private:
    int m_socket = -1;
    std::string m_unread;
    bool m_timedOut = false;
};

/// @brief Listening socket; -1 when the address isn't free.
inline int listenAt(const Address &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in own = toSockaddr(address);
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0 || ::listen(socket, 512) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

} // namespace review
