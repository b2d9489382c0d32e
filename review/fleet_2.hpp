#pragma once

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

/// @brief A small deployment for the cases 6 to 10: the deployed node program as processes, and stand-ins for the platform's store, the
/// targets and the consumers in the process of the case. Everything listens on loopback addresses that the case draws.
namespace review2 {

namespace json = boost::json;

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int heldExit = 0;
constexpr int brokenExit = 1;
constexpr int couldNotRunExit = 2;

inline void sleepFor(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

/// @brief False when the case runs without its disruption.
inline bool trouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// @brief Lines with the time since the start of the case, in record.txt and on the terminal.
class Record
{
public:
    explicit Record(const std::string &file)
        : m_file(file)
        , m_start(Clock::now())
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        const auto at = std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count();
        m_file << at << " ms  " << text << std::endl;
    }

    void result(const std::string &text)
    {
        line(text);
        std::cout << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start;
};

/// @brief A socket that closes itself.
class Socket
{
public:
    explicit Socket(int fd = -1)
        : m_fd(fd)
    {
    }
    ~Socket() { close(); }
    Socket(Socket &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    Socket &operator=(Socket &&other) noexcept
    {
        close();
        m_fd = std::exchange(other.m_fd, -1);
        return *this;
    }

    int fd() const { return m_fd; }
    bool open() const { return m_fd >= 0; }
    void close()
    {
        if (m_fd >= 0) {
            ::close(std::exchange(m_fd, -1));
        }
    }
    bool send(const std::string &bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t size = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }
    /// Appends what arrives to @p buffer; false at the end, at an error or after @p until.
    bool receive(std::string &buffer, Clock::time_point until) const
    {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        pollfd ready{m_fd, POLLIN, 0};
        if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char chunk[16384];
        const ssize_t size = ::recv(m_fd, chunk, sizeof chunk, 0);
        if (size <= 0) {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(size));
        return true;
    }

private:
    int m_fd;
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline Socket connectTo(const std::string &ip, int port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(socket.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        return Socket();
    }
    const int on = 1;
    ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

/// @brief An HTTP message whose body has a length.
struct Message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields; ///< Names in lower case.
    std::string body;

    bool has(const std::string &name) const
    {
        return std::any_of(fields.begin(), fields.end(), [&name](const auto &field) { return field.first == name; });
    }
    std::string field(const std::string &name) const
    {
        const auto found = std::find_if(fields.begin(), fields.end(), [&name](const auto &field) { return field.first == name; });
        return found == fields.end() ? std::string() : found->second;
    }
    std::string word(int index) const
    {
        std::istringstream words(start);
        std::string word;
        for (int i = 0; i <= index; ++i) {
            words >> word;
        }
        return word;
    }
    std::string method() const { return word(0); }
    std::string path() const { return word(1); }
    int status() const { return std::atoi(word(1).c_str()); }
};

/// @brief Reads one message; bytes behind it stay in @p buffer. False when none comes whole.
inline bool readMessage(const Socket &socket, std::string &buffer, Message &message, Clock::time_point until)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!socket.receive(buffer, until)) {
            return false;
        }
    }
    message = {};
    std::istringstream lines(buffer.substr(0, end + 2));
    std::string line;
    while (std::getline(lines, line)) {
        line.erase(line.find_last_not_of('\r') + 1);
        const auto colon = line.find(':');
        if (message.start.empty()) {
            message.start = line;
        } else if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(name, value == std::string::npos ? "" : line.substr(value));
        }
    }
    buffer.erase(0, end + 4);
    const std::size_t length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
    while (buffer.size() < length) {
        if (!socket.receive(buffer, until)) {
            message.body = std::exchange(buffer, "");
            return false;
        }
    }
    message.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

/// @brief Accepts connections and serves each on a thread of its own.
class Server
{
public:
    Server(const std::string &ip, int port, std::function<void(Socket)> serve)
        : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        , m_serve(std::move(serve))
    {
        const int on = 1;
        ::setsockopt(m_listener.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = addressOf(ip, port);
        const bool bound = ::bind(m_listener.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        if (!bound || ::listen(m_listener.fd(), 512) != 0) {
            throw std::runtime_error("can't listen on " + ip + ":" + std::to_string(port));
        }
        m_thread = std::thread([this] { accept(); });
    }
    ~Server() { stop(); }

    void stop()
    {
        m_stop = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
        m_listener.close();
        for (bool ended = false; !ended; sleepFor(5)) { // The threads use what the owner of this server owns.
            const std::lock_guard lock(m_mutex);
            for (const int fd : m_open) {
                ::shutdown(fd, SHUT_RDWR);
            }
            ended = m_open.empty();
        }
    }
    bool stopped() const { return m_stop; }

private:
    void accept()
    {
        while (!m_stop) {
            pollfd ready{m_listener.fd(), POLLIN, 0};
            if (::poll(&ready, 1, 20) <= 0) {
                continue;
            }
            const int fd = ::accept4(m_listener.fd(), nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_open.push_back(fd);
            }
            std::thread([this, fd] {
                m_serve(Socket(::dup(fd)));
                const std::lock_guard lock(m_mutex);
                ::close(fd);
                std::erase(m_open, fd);
            }).detach();
        }
    }

    Socket m_listener;
    std::function<void(Socket)> m_serve;
    std::atomic<bool> m_stop{false};
    std::mutex m_mutex;
    std::vector<int> m_open;
    std::thread m_thread;
};

inline std::string responseText(int status, const std::vector<std::pair<std::string, std::string>> &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string base64(const std::string &bytes)
{
    constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63U];
        }
    }
    return text;
}

enum class StoreMode {
    Up,
    Busy, ///< Answers 503.
    Silent, ///< Takes calls and doesn't answer; does nothing either.
};

/// @brief Stand-in for the platform's store, as PROTOCOL.md has it: keys, history, watches, leases that don't end by themselves.
class Store
{
public:
    explicit Store(const std::string &ip)
        : m_server(ip, 8309, [this](Socket socket) { serve(std::move(socket)); })
    {
    }
    ~Store()
    {
        setMode(StoreMode::Busy);
        m_server.stop();
    }

    void writeConfiguration(const json::object &configuration)
    {
        const std::lock_guard lock(m_mutex);
        ++m_revision;
        put("op/config", base64(json::serialize(configuration)), 0);
        m_changed.notify_all();
    }
    void setMode(StoreMode mode)
    {
        const std::lock_guard lock(m_mutex);
        m_mode = mode;
        m_changed.notify_all();
    }

private:
    struct Item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
        bool removed = false;
        std::string key;
    };

    static json::object published(const Item &item)
    {
        if (item.removed) {
            return {{"key", item.key}, {"revision", item.revision}, {"deleted", true}};
        }
        return {{"key", item.key}, {"value", item.value}, {"revision", item.revision}, {"createdAt", 1}, {"lease", item.lease}};
    }

    void put(const std::string &key, const std::string &value, std::int64_t lease)
    {
        m_items[key] = {value, m_revision, lease, false, key};
        m_history.push_back(m_items[key]);
    }

    static std::map<std::string, std::string> queryOf(const std::string &path)
    {
        std::map<std::string, std::string> query;
        const auto mark = path.find('?');
        std::istringstream parts(mark == std::string::npos ? "" : path.substr(mark + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            const auto equals = part.find('=');
            query[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
        }
        return query;
    }

    void serve(Socket socket)
    {
        std::string buffer;
        Message request;
        while (readMessage(socket, buffer, request, Clock::now() + std::chrono::seconds(60))) {
            std::unique_lock lock(m_mutex);
            if (m_mode == StoreMode::Silent) {
                m_changed.wait(lock, [this] { return m_mode != StoreMode::Silent; });
                return;
            }
            if (m_mode == StoreMode::Busy) {
                lock.unlock();
                socket.send(responseText(503, {}, "{}"));
                continue;
            }
            const std::string answer = answerTo(request, lock);
            lock.unlock();
            if (answer.empty() || !socket.send(answer)) {
                return;
            }
        }
    }

    static std::string reply(int status, const json::object &body)
    {
        return responseText(status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}}, json::serialize(body));
    }

    std::string answerTo(const Message &request, std::unique_lock<std::mutex> &lock)
    {
        const std::string path = request.path().substr(0, request.path().find('?'));
        auto query = queryOf(request.path());
        if (path == "/kv-range") {
            json::array items;
            for (const auto &[key, item] : m_items) {
                if (key.starts_with(query["prefix"])) {
                    items.push_back(published(item));
                }
            }
            return reply(200, {{"items", std::move(items)}, {"hasMore", false}, {"atRevision", m_revision}});
        }
        if (path == "/kv-watch") {
            return watch(query["prefix"], std::atoll(query["after"].c_str()), std::atoi(query["waitMs"].c_str()), lock);
        }
        if (path == "/kv-lease") {
            return reply(200, {{"lease", ++m_lastLease}, {"ttlMs", 15000}});
        }
        if (path == "/kv-txn") {
            return transact(json::parse(request.body).as_object());
        }
        return reply(path.starts_with("/kv-keep/") || path.starts_with("/kv-lease-end/") ? 200 : 404, {});
    }

    std::string watch(const std::string &prefix, std::int64_t after, int waitMs, std::unique_lock<std::mutex> &lock)
    {
        const auto events = [&] {
            json::array found;
            for (const auto &item : m_history) {
                if (item.revision > after && item.key.starts_with(prefix)) {
                    found.push_back(published(item));
                }
            }
            return found;
        };
        m_changed.wait_for(lock, milliseconds(waitMs), [&] { return m_mode != StoreMode::Up || !events().empty(); });
        return m_mode == StoreMode::Up ? reply(200, {{"events", events()}, {"atRevision", m_revision}}) : std::string();
    }

    std::string transact(const json::object &body)
    {
        for (const auto &row : body.at("expect").as_array()) {
            const auto found = m_items.find(std::string(row.at("key").as_string()));
            if ((found == m_items.end() ? 0 : found->second.revision) != row.at("revision").to_number<std::int64_t>()) {
                return reply(412, {{"items", json::array{}}});
            }
        }
        ++m_revision;
        for (const auto &row : body.at("puts").as_array()) {
            put(std::string(row.at("key").as_string()), std::string(row.at("value").as_string()), row.at("lease").to_number<std::int64_t>());
        }
        for (const auto &key : body.at("remove").as_array()) {
            if (m_items.erase(std::string(key.as_string())) > 0) {
                m_history.push_back({"", m_revision, 0, true, std::string(key.as_string())});
            }
        }
        m_changed.notify_all();
        return reply(200, {{"revision", m_revision}});
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    StoreMode m_mode = StoreMode::Up;
    std::map<std::string, Item> m_items;
    std::vector<Item> m_history;
    std::int64_t m_revision = 3;
    std::int64_t m_lastLease = 10;
    Server m_server;
};

/// @brief What a settings file holds, by the names of DEPLOY.md.
using Fields = std::map<std::string, std::string>;

/// @brief Fills in a template as DEPLOY.md has it: placeholders with a value, and sections that are rendered once or not at all.
inline std::string rendered(std::string text, const Fields &fields)
{
    for (std::size_t start = 0; (start = text.find("{{#")) != std::string::npos;) {
        const std::size_t nameEnd = text.find("}}", start);
        const std::string name = text.substr(start + 3, nameEnd - start - 3);
        const std::string closing = "{{/" + name + "}}";
        const std::size_t end = text.find(closing, nameEnd);
        const std::string inner = text.substr(nameEnd + 2, end - nameEnd - 2);
        const auto found = fields.find(name);
        const bool shown = found != fields.end() && found->second != "false";
        text.replace(start, end + closing.size() - start, shown ? inner : "");
    }
    for (std::size_t start = 0; (start = text.find("{{")) != std::string::npos;) {
        const std::size_t end = text.find("}}", start);
        const auto found = fields.find(text.substr(start + 2, end - start - 2));
        text.replace(start, end + 2 - start, found == fields.end() ? "" : found->second);
    }
    return text;
}

constexpr rlim_t maxFds = 4100; ///< Of a node; the least of the pages.

/// @brief Time of day, in milliseconds.
inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// @brief One node: the program and the settings of the deploy file, as a process.
class Node
{
public:
    Node(std::string net, int number, std::string service, std::string folder, Fields further)
        : m_number(number)
        , m_ip(net + "." + std::to_string(number))
        , m_file(folder + "/node" + std::to_string(number))
    {
        m_fields = {{"node", "node" + std::to_string(number)},
                    {"zone", "a"},
                    {"region", "r"},
                    {"service", std::move(service)},
                    {"ip", m_ip},
                    {"listen.outbound", m_ip + ":8304"},
                    {"listen.inbound", m_ip + ":8300"},
                    {"listen.ready", m_ip + ":8302"},
                    {"listen.control", m_ip + ":8306"},
                    {"portRange.0", "7620"},
                    {"appAddr", m_ip + ":8301"},
                    {"platform.address", net + ".250:8309"},
                    {"heartbeatMs", "1500"},
                    {"bounds.graceS", "6"},
                    {"bounds.retryBudgetRatio", "0.2"},
                    {"bounds.budgetSlack", "64"},
                    {"bootstrap", "true"}};
        for (const auto &[name, value] : further) {
            m_fields[name] = value;
        }
        start();
        m_fields["bootstrap"] = "false";
    }
    ~Node() { kill(); }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start()
    {
        std::ifstream source("deploy/node.toml");
        std::stringstream text;
        text << source.rdbuf();
        std::ofstream(m_file + ".toml") << rendered(text.str(), m_fields);
        m_pid = ::fork();
        if (m_pid != 0) {
            return;
        }
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const rlimit descriptors{maxFds, maxFds};
        ::setrlimit(RLIMIT_NOFILE, &descriptors);
        const int log = ::open((m_file + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::execl("target/bin/agatedoord_platform", "agatedoord_platform", "--settings", (m_file + ".toml").c_str(), nullptr);
        ::_exit(127);
    }
    void signal(int number) const { ::kill(m_pid, number); }
    /// Waits for the end of the process; false when it still runs after @p ms.
    bool ends(int ms, int &status)
    {
        for (int waited = 0; waited <= ms; waited += 10) {
            if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
                m_pid = 0;
                return true;
            }
            sleepFor(10);
        }
        return false;
    }
    void kill()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            int status = 0;
            ::waitpid(std::exchange(m_pid, 0), &status, 0);
        }
    }
    const std::string &ip() const { return m_ip; }
    const std::string &service() const { return m_fields.at("service"); }
    int number() const { return m_number; }
    int outbound() const { return 8304; }

private:
    int m_number;
    std::string m_ip;
    std::string m_file;
    Fields m_fields;
    pid_t m_pid = 0;
};

/// @brief Sends one request on a new connection. A status of 0 means that no whole answer came.
inline Message ask(const std::string &ip, int port, const std::string &bytes, int ms = 5000)
{
    const Socket socket = connectTo(ip, port);
    Message answer;
    std::string buffer;
    if (!socket.open() || !socket.send(bytes) || !readMessage(socket, buffer, answer, Clock::now() + milliseconds(ms))) {
        return {};
    }
    return answer;
}

/// @brief One run of a request at a target.
struct Run
{
    std::string target;
    std::string id;
    Message request;
    Clock::time_point at;
};

/// @brief Stand-in for a target as PROTOCOL.md has it.
class Target
{
public:
    /// Takes over from the usual answer when it returns true; the connection is closed then.
    using Hook = std::function<bool(Target &, Socket &, const Message &)>;

    Target(Record &record, const Node &node, std::string id, int workMs, std::int64_t born = unixMs())
        : m_record(record)
        , m_ip(node.ip())
        , m_service(node.service())
        , m_id(std::move(id))
        , m_workMs(workMs)
        , m_born(born)
        , m_server(m_ip, 8301, [this](Socket socket) { serve(std::move(socket)); })
        , m_beats([this] { beatRegularly(); })
    {
    }
    ~Target() { stop(); }

    /// Ends at once, with all connections.
    void stop()
    {
        m_stop = true;
        m_server.stop();
        if (m_beats.joinable()) {
            m_beats.join();
        }
    }
    void setHook(Hook hook)
    {
        const std::lock_guard lock(m_mutex);
        m_hook = std::move(hook);
    }
    std::vector<Run> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    const std::string &id() const { return m_id; }
    std::int64_t born() const { return m_born; }

    /// Tells its node its state; the status of the answer, 0 without one.
    int beat()
    {
        const std::lock_guard lock(m_beating);
        const json::object body{{"service", m_service}, {"address", m_ip + ":8301"},
                                {"zone", "a"},          {"version", "v1"},
                                {"slots", 12},          {"status", m_draining ? "draining" : "serving"},
                                {"cold_left_ms", 0},    {"sequence", ++m_sequence},
                                {"born", m_born}};
        const std::string text = json::serialize(body);
        return ask(m_ip, 8306,
                   "PUT /v1/backends/" + m_id + " HTTP/1.1\r\nHost: " + m_ip
                       + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text,
                   1000)
            .status();
    }
    /// Says that it is draining; the status of the answer, which with 200 is the confirmation.
    int drain()
    {
        m_draining = true;
        return beat();
    }
    /// Says that it is gone.
    int withdraw()
    {
        m_silent = true;
        return ask(m_ip, 8306, "DELETE /v1/backends/" + m_id + " HTTP/1.1\r\nHost: " + m_ip + "\r\nConnection: close\r\n\r\n", 1000).status();
    }

private:
    void beatRegularly()
    {
        while (!m_stop) {
            if (!m_silent) {
                beat();
            }
            for (int waited = 0; waited < 1500 && !m_stop; waited += 20) {
                sleepFor(20);
            }
        }
    }

    void serve(Socket socket)
    {
        std::string buffer;
        Message request;
        while (!m_stop && readMessage(socket, buffer, request, Clock::now() + std::chrono::seconds(60))) {
            if (request.path() == "/health") {
                socket.send(responseText(200, {{"X-Instance-Id", m_id}, {"X-Server-Load", "0,0,12,100"}}, ""));
                continue;
            }
            const std::string id = request.field("x-request-id");
            if (id.empty()) {
                socket.send(responseText(400, {{"X-Not-Executed", "1"}}, ""));
                continue;
            }
            if (request.has("x-expect-instance") && request.field("x-expect-instance") != m_id) {
                socket.send(responseText(421, {{"X-Request-Id", id}, {"X-Instance-Id", m_id}}, ""));
                continue;
            }
            Hook hook;
            {
                const std::lock_guard lock(m_mutex);
                m_runs.push_back({m_id, id, request, Clock::now()});
                hook = m_hook;
            }
            std::string fields;
            for (const auto &[name, value] : request.fields) {
                fields += " | " + name + ": " + value;
            }
            m_record.line(m_id + " runs " + request.start + fields + " | body of " + std::to_string(request.body.size()) + " bytes");
            if (hook && hook(*this, socket, request)) {
                return;
            }
            sleepFor(m_workMs);
            socket.send(responseText(200, {{"X-Request-Id", id}, {"X-Server-Stamp", "stamp-" + id}, {"X-Server-Load", "0,0,12,100"}}, "answer to " + id));
        }
    }

    Record &m_record;
    std::string m_ip;
    std::string m_service;
    std::string m_id;
    int m_workMs;
    std::int64_t m_born;
    std::int64_t m_sequence = 0;
    std::atomic<bool> m_stop{false};
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_silent{false};
    std::mutex m_beating;
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    Hook m_hook;
    Server m_server;
    std::thread m_beats;
};

/// @brief A route as the operator writes it.
inline json::object route(const std::string &service, const std::string &kind, const std::string &prefix, int timeoutMs = 3000)
{
    return {{"hostname", "h.example"}, {"prefix", prefix}, {"service", service}, {"kind", kind},
            {"timeoutMs", timeoutMs},  {"aimMs", 800},     {"maxAttempts", 3},   {"priority", 1}};
}

inline json::object serviceEntry()
{
    return {{"healthPath", "/health"}, {"maxConnections", 260}};
}

/// @brief The deployment of a case: a store, and nodes with a target each.
class Fleet
{
public:
    explicit Fleet(Record &record)
        : m_record(record)
    {
        std::random_device random;
        m_net = "127." + std::to_string(60 + random() % 140) + "." + std::to_string(1 + random() % 250);
        std::string name = "/tmp/agatedoor-review-XXXXXX";
        m_folder = ::mkdtemp(name.data());
        m_store = std::make_unique<Store>(m_net + ".250");
    }
    ~Fleet()
    {
        m_nodes.clear();
        m_targets.clear();
        m_store.reset();
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(m_folder);
        }
    }

    Store &store() { return *m_store; }
    Node &addNode(const std::string &service, const Fields &further = {})
    {
        const int number = static_cast<int>(m_nodes.size()) + 1;
        m_nodes.push_back(std::make_unique<Node>(m_net, number, service, m_folder, further));
        return *m_nodes.back();
    }
    Target &addTarget(const Node &node, const std::string &id, int workMs, std::int64_t born = unixMs())
    {
        m_targets.push_back(std::make_unique<Target>(m_record, node, id, workMs, born));
        return *m_targets.back();
    }
    /// Waits until all nodes are ready and have had time to tell each other of their targets.
    bool waitUntilReady()
    {
        for (const auto &node : m_nodes) {
            const auto until = Clock::now() + std::chrono::seconds(15);
            while (ask(node->ip(), 8302, "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 1000).status() != 200) {
                if (Clock::now() > until) {
                    return false;
                }
                sleepFor(50);
            }
        }
        sleepFor(3000);
        return true;
    }
    std::vector<Run> runs() const
    {
        std::vector<Run> all;
        for (const auto &target : m_targets) {
            const auto runs = target->runs();
            all.insert(all.end(), runs.begin(), runs.end());
        }
        return all;
    }
    const std::string &folder() const { return m_folder; }

private:
    Record &m_record;
    std::string m_net;
    std::string m_folder;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::unique_ptr<Target>> m_targets;
};

/// @brief Runs a case; an exception means that it couldn't run.
inline int runCase(int argc, char **argv, const std::function<int(Record &)> &body)
{
    if (argc < 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return couldNotRunExit;
    }
    ::signal(SIGPIPE, SIG_IGN);
    Record record(argv[1]);
    try {
        return body(record);
    } catch (const std::exception &error) {
        record.result(std::string("couldn't run: ") + error.what());
        return couldNotRunExit;
    }
}

} // namespace review2
