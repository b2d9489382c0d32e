#pragma once

#include "http_3.hpp"

#include <boost/json.hpp>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>

/// @brief Stand-ins for the platform's store and for targets, and the nodes as processes, for the cases of the third review.
namespace review {

namespace json = boost::json;

/// @brief Ends of a case, as issue 52 names them.
enum Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// @brief Lines with the time since the start, in record.txt and on standard output.
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
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", std::chrono::duration<double>(Clock::now() - m_start).count());
        m_file << time << text << std::endl;
        std::cout << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start;
};

/// @brief Accepts connections and serves each on a thread of its own until it is destroyed.
class Listener
{
public:
    Listener(const Address &address, std::function<void(Connection &)> serve)
        : m_socket(listenAt(address))
        , m_serve(std::move(serve))
    {
        if (m_socket < 0) {
            std::cerr << "can't listen at " << toText(address) << "\n";
            std::_Exit(CouldNotRun);
        }
        m_thread = std::thread([this] { run(); });
    }
    ~Listener()
    {
        ::shutdown(m_socket, SHUT_RDWR);
        m_thread.join();
        ::close(m_socket);
        {
            const std::lock_guard lock(m_mutex);
            for (const int socket : m_open) {
                ::shutdown(socket, SHUT_RDWR);
            }
        }
        for (auto &thread : m_threads) {
            thread.join();
        }
    }
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

private:
    void run()
    {
        for (;;) {
            const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                return;
            }
            const std::lock_guard lock(m_mutex);
            m_open.insert(socket);
            m_threads.emplace_back([this, socket] {
                Connection connection(socket);
                m_serve(connection);
                const std::lock_guard ended(m_mutex);
                m_open.erase(socket);
            });
        }
    }

    int m_socket;
    std::function<void(Connection &)> m_serve;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_thread;
};

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = (group << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j <= bytes.size() ? digits[(group >> (18 - 6 * j)) & 63U] : '=';
        }
    }
    return text;
}

inline std::string urlDecoded(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

inline std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::istringstream parts(target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1));
    for (std::string part; std::getline(parts, part, '&');) {
        const auto equal = part.find('=');
        query[part.substr(0, equal)] = equal == std::string::npos ? "" : urlDecoded(part.substr(equal + 1));
    }
    return query;
}

inline std::string answer(int status, const std::string &body, const std::string &fields = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// @brief The platform's store: keys, history, leases that end, watches that wait.
class Store
{
public:
    enum class Mode { Serving, Silent, Busy };

    explicit Store(const Address &address)
        : m_listener(address, [this](Connection &connection) { serve(connection); })
    {
    }
    ~Store()
    {
        m_stop = true;
        m_changed.notify_all();
    }

    /// @brief The operator's write; returns once it is acknowledged.
    void write(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        put(key, base64(value), 0);
        m_changed.notify_all();
    }
    void setMode(Mode mode)
    {
        m_mode = mode;
        m_changed.notify_all();
    }
    int calls() const { return m_calls; }

private:
    struct Item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Lease
    {
        Millis ttl{0};
        Clock::time_point end;
    };

    static json::object shown(const std::string &key, const Item &item)
    {
        return {{"key", key}, {"value", item.value}, {"revision", item.revision}, {"createdAt", item.created}, {"lease", item.lease}};
    }

    void put(const std::string &key, const std::string &value, std::int64_t lease)
    {
        Item &item = m_items[key];
        item.revision = ++m_revision;
        item.created = item.created == 0 ? m_revision : item.created;
        item.value = value;
        item.lease = lease;
        m_history.emplace_back(m_revision, shown(key, item));
    }

    void remove(const std::string &key)
    {
        if (m_items.erase(key) > 0) {
            ++m_revision;
            m_history.emplace_back(m_revision, json::object{{"key", key}, {"revision", m_revision}, {"deleted", true}});
        }
    }

    void endLeases()
    {
        for (auto it = m_leases.begin(); it != m_leases.end();) {
            if (it->second.end > Clock::now()) {
                ++it;
                continue;
            }
            std::vector<std::string> ended;
            for (const auto &[key, item] : m_items) {
                if (item.lease == it->first) {
                    ended.push_back(key);
                }
            }
            for (const auto &key : ended) {
                remove(key);
            }
            it = m_leases.erase(it);
        }
    }

    json::array eventsAfter(const std::string &prefix, std::int64_t after) const
    {
        json::array events;
        for (const auto &[revision, event] : m_history) {
            if (revision > after && std::string(event.at("key").as_string()).starts_with(prefix)) {
                events.push_back(event);
            }
        }
        return events;
    }

    std::string watch(const std::map<std::string, std::string> &query, std::unique_lock<std::mutex> &lock)
    {
        const std::string prefix = query.at("prefix");
        const std::int64_t after = std::stoll(query.at("after"));
        const auto until = Clock::now() + Millis(std::stoll(query.at("waitMs")));
        json::array events = eventsAfter(prefix, after);
        while (events.empty() && !m_stop && m_mode == Mode::Serving && Clock::now() < until) {
            m_changed.wait_until(lock, until);
            events = eventsAfter(prefix, after);
        }
        return answer(200, json::serialize(json::object{{"events", std::move(events)}, {"atRevision", m_revision}}));
    }

    std::string transact(const json::object &body)
    {
        json::array current;
        bool holds = true;
        for (const auto &row : body.at("expect").as_array()) {
            const std::string key(row.at("key").as_string());
            const auto found = m_items.find(key);
            const std::int64_t revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == row.at("revision").to_number<std::int64_t>();
            if (found != m_items.end()) {
                current.push_back(shown(key, found->second));
            }
        }
        if (!holds) {
            return answer(412, json::serialize(json::object{{"items", std::move(current)}}));
        }
        for (const auto &row : body.at("puts").as_array()) {
            const auto lease = row.at("lease").to_number<std::int64_t>();
            if (lease != 0 && !m_leases.contains(lease)) {
                return answer(404, "{}");
            }
        }
        for (const auto &row : body.at("puts").as_array()) {
            put(std::string(row.at("key").as_string()), std::string(row.at("value").as_string()), row.at("lease").to_number<std::int64_t>());
        }
        for (const auto &key : body.at("remove").as_array()) {
            remove(std::string(key.as_string()));
        }
        m_changed.notify_all();
        return answer(200, json::serialize(json::object{{"revision", m_revision}}));
    }

    std::string replyTo(const Message &request)
    {
        std::unique_lock lock(m_mutex);
        endLeases();
        const std::string path = request.target().substr(0, request.target().find('?'));
        const auto query = queryOf(request.target());
        if (path == "/kv-key") {
            const auto found = m_items.find(query.at("key"));
            return found == m_items.end() ? answer(404, "{}") : answer(200, json::serialize(shown(found->first, found->second)));
        }
        if (path == "/kv-range") {
            json::array items;
            for (const auto &[key, item] : m_items) {
                if (key.starts_with(query.at("prefix"))) {
                    items.push_back(shown(key, item));
                }
            }
            return answer(200, json::serialize(json::object{{"items", std::move(items)}, {"hasMore", false}, {"atRevision", m_revision}}));
        }
        if (path == "/kv-watch") {
            return watch(query, lock);
        }
        if (path == "/kv-txn") {
            return transact(json::parse(request.body).as_object());
        }
        if (path == "/kv-lease") {
            const Millis ttl(json::parse(request.body).at("ttlMs").to_number<std::int64_t>());
            m_leases[++m_lastLease] = {ttl, Clock::now() + ttl};
            return answer(200, json::serialize(json::object{{"lease", m_lastLease}, {"ttlMs", ttl.count()}}));
        }
        if (path.starts_with("/kv-keep/")) {
            const auto found = m_leases.find(std::stoll(path.substr(9)));
            if (found == m_leases.end()) {
                return answer(404, "{}");
            }
            found->second.end = Clock::now() + found->second.ttl;
            return answer(200, json::serialize(json::object{{"ttlMs", found->second.ttl.count()}}));
        }
        if (path.starts_with("/kv-lease-end/")) {
            const auto found = m_leases.find(std::stoll(path.substr(14)));
            if (found != m_leases.end()) {
                found->second.end = Clock::now();
                endLeases();
            }
            return answer(200, "{}");
        }
        return answer(404, "{}");
    }

    void serve(Connection &connection)
    {
        while (const auto request = connection.readMessage(false, Clock::now() + std::chrono::minutes(5))) {
            ++m_calls;
            if (m_mode == Mode::Silent) {
                while (connection.fill(Clock::now() + std::chrono::minutes(5))) {}
                return;
            }
            if (!connection.send(m_mode == Mode::Busy ? answer(503, "{}") : replyTo(*request))) {
                return;
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<std::pair<std::int64_t, json::object>> m_history;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision = 10;
    std::int64_t m_lastLease = 100;
    std::atomic<bool> m_stop = false;
    std::atomic<Mode> m_mode = Mode::Serving;
    std::atomic<int> m_calls = 0;
    Listener m_listener;
};

/// @brief What a deployment's machine has.
struct Machine
{
    std::string name;
    std::string ip;
    std::string service;
    std::string zone = "zone-a";
    std::string region = "region-1";

    Address callers() const { return {ip, 8304}; }
    Address control() const { return {ip, 8306}; }
    Address ready() const { return {ip, 8302}; }
    Address app() const { return {ip, 8301}; }
};

/// @brief Bounds of the deployment that the template of the deploy file takes.
struct Bounds
{
    int graceS = 6;
    int heartbeatMs = 1500;
    double retryBudgetRatio = 0.2;
    int budgetSlack = 64;
    int revokeMs = 0; ///< With failClosed; 0 without.
    int maxFds = 0; ///< Descriptors that the platform gives the process; 0 leaves them as they are.
};

/// @brief The node of the deploy file as a process of its own.
class Node
{
public:
    Node(Machine machine, Address store, std::string folder, Bounds bounds = {})
        : m_machine(std::move(machine))
        , m_store(std::move(store))
        , m_folder(std::move(folder))
        , m_bounds(std::move(bounds))
    {
        start(true);
    }
    ~Node() { kill(); }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// @param bootstrap the whole system starts for the first time
    void start(bool bootstrap)
    {
        const std::string file = m_folder + "/" + m_machine.name + ".toml";
        std::ofstream(file) << "node = \"" << m_machine.name << "\"\nzone = \"" << m_machine.zone << "\"\nregion = \"" << m_machine.region << "\"\nservice = \""
                            << m_machine.service << "\"\ncallers = \"" << toText(m_machine.callers()) << "\"\npeers = \"" << m_machine.ip
                            << ":8300\"\ngossip = \"" << m_machine.ip << ":7620\"\nbackends = \"" << toText(m_machine.control()) << "\"\nbackend_address = \""
                            << toText(m_machine.app()) << "\"\nadmin = \"" << toText(m_machine.ready()) << "\"\nstores = [\"" << toText(m_store)
                            << "\"]\nstop_limit_s = " << m_bounds.graceS << "\nannounce_lapse_ms = " << m_bounds.heartbeatMs
                            << "0\nretry_share = " << m_bounds.retryBudgetRatio << "\nretry_burst = " << m_bounds.budgetSlack << "\n"
                            << (m_bounds.revokeMs > 0 ? "revoke_limit_ms = " + std::to_string(m_bounds.revokeMs) + "\n" : "")
                            << (bootstrap ? "first_start = true\n" : "") << "threads = 1\nlog_level = \"info\"\n";
        const std::string log = m_folder + "/" + m_machine.name + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // The node ends with the case, however that ends.
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            if (m_bounds.maxFds > 0) {
                rlimit descriptors{};
                ::getrlimit(RLIMIT_NOFILE, &descriptors);
                descriptors.rlim_max = std::min<rlim_t>(descriptors.rlim_max, static_cast<rlim_t>(m_bounds.maxFds));
                descriptors.rlim_cur = descriptors.rlim_max;
                ::setrlimit(RLIMIT_NOFILE, &descriptors);
            }
            ::execl("target/bin/agatedoord_platform", "target/bin/agatedoord_platform", "--settings", file.c_str(), nullptr);
            ::_exit(127);
        }
    }
    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    /// @brief Whether the process still runs; notes its end.
    bool running()
    {
        if (m_pid > 0 && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
            m_pid = -1;
        }
        return m_pid > 0;
    }
    /// @brief How the process ended by itself: its exit status or signal.
    std::string end() const
    {
        return WIFSIGNALED(m_status) ? "signal " + std::to_string(WTERMSIG(m_status)) : "exit status " + std::to_string(WEXITSTATUS(m_status));
    }
    void kill()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGCONT);
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, &m_status, 0);
        }
        m_pid = -1;
    }
    bool waitForEnd(Millis patience)
    {
        const auto until = Clock::now() + patience;
        while (running() && Clock::now() < until) {
            std::this_thread::sleep_for(Millis(5));
        }
        return m_pid < 0;
    }
    /// @brief Memory that the process has in use, and the most that it had, in KiB.
    std::pair<long, long> memoryKb() const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        long now = 0;
        long most = 0;
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:")) {
                now = std::stol(line.substr(6));
            } else if (line.starts_with("VmHWM:")) {
                most = std::stol(line.substr(6));
            }
        }
        return {now, most};
    }
    /// @brief Descriptors that the process has open.
    long descriptors() const
    {
        std::error_code error;
        const std::filesystem::directory_iterator open("/proc/" + std::to_string(m_pid) + "/fd", error);
        return error ? 0 : std::distance(std::filesystem::begin(open), std::filesystem::end(open));
    }
    bool isReady() const
    {
        auto connection = Connection::to(m_machine.ready());
        if (!connection.open() || !connection.send("GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")) {
            return false;
        }
        const auto reply = connection.readMessage(true, Clock::now() + Millis(900));
        return reply && reply->status() == 200;
    }
    const Machine &machine() const { return m_machine; }
    pid_t pid() const { return m_pid; }

private:
    Machine m_machine;
    Address m_store;
    std::string m_folder;
    Bounds m_bounds;
    pid_t m_pid = -1;
    int m_status = 0;
};

inline std::int64_t unixMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// @brief A sound target beside a node: it announces itself, checks X-Expect-Instance, and answers with what the case says.
class Target
{
public:
    /// @brief Answers a request that the target runs; true when the connection goes on.
    using Handler = std::function<bool(Connection &, const Message &)>;

    Target(Machine machine, std::string id, int slots, Handler handler, int heartbeatMs = 1500)
        : m_machine(std::move(machine))
        , m_id(std::move(id))
        , m_slots(slots)
        , m_handler(std::move(handler))
        , m_heartbeat(heartbeatMs)
        , m_born(unixMillis())
        , m_listener(m_machine.app(), [this](Connection &connection) { serve(connection); })
        , m_beats([this] { beat(); })
    {
    }
    ~Target()
    {
        m_stop = true;
        m_beats.join();
    }
    Target(const Target &) = delete;
    Target &operator=(const Target &) = delete;

    /// @brief Says of itself that it is @p status, at once; the HTTP status of the reply, 0 without one.
    int announce(const std::string &status) { return call("PUT", body(status)); }
    int withdraw() { return call("DELETE", ""); }
    void stopBeating() { m_beating = false; }
    std::string loadField() const { return "X-Server-Load: " + std::to_string(m_running.load()) + ",0," + std::to_string(m_slots) + ",100\r\n"; }
    const std::string &id() const { return m_id; }

private:
    std::string body(const std::string &status)
    {
        return json::serialize(json::object{{"service", m_machine.service},
                                            {"address", toText(m_machine.app())},
                                            {"zone", m_machine.zone},
                                            {"version", "v1"},
                                            {"slots", m_slots},
                                            {"status", status},
                                            {"cold_left_ms", 0},
                                            {"sequence", ++m_sequence},
                                            {"born", m_born}});
    }
    int call(const std::string &method, const std::string &text)
    {
        auto connection = Connection::to(m_machine.control(), m_machine.ip);
        if (!connection.open()
            || !connection.send(method + " /v1/backends/" + m_id
                                + " HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
                                + std::to_string(text.size()) + "\r\n\r\n" + text)) {
            return 0;
        }
        const auto reply = connection.readMessage(true, Clock::now() + std::chrono::seconds(1));
        return reply ? reply->status() : 0;
    }
    void beat()
    {
        auto next = Clock::now();
        while (!m_stop) {
            if (m_beating && Clock::now() >= next) {
                const bool accepted = announce("serving") == 200;
                next = Clock::now() + (accepted ? Millis(m_heartbeat) : Millis(200));
            }
            std::this_thread::sleep_for(Millis(10));
        }
    }
    void serve(Connection &connection)
    {
        for (;;) {
            auto request = connection.readHead(Clock::now() + std::chrono::seconds(60));
            if (!request) {
                return;
            }
            if (request->target() == "/health") {
                connection.readBody(*request, false, Clock::now() + std::chrono::seconds(10));
                if (!connection.send(answer(200, "", "X-Instance-Id: " + m_id + "\r\n" + loadField()))) {
                    return;
                }
                continue;
            }
            const std::string expected = request->field("X-Expect-Instance");
            if (!expected.empty() && expected != m_id) {
                connection.readBody(*request, false, Clock::now() + std::chrono::seconds(10));
                if (!connection.send(answer(421, "", "X-Instance-Id: " + m_id + "\r\n"))) {
                    return;
                }
                continue;
            }
            ++m_running;
            const bool goesOn = m_handler(connection, *request);
            --m_running;
            if (!goesOn) {
                return;
            }
        }
    }

    Machine m_machine;
    std::string m_id;
    int m_slots;
    Handler m_handler;
    int m_heartbeat;
    std::int64_t m_born;
    std::atomic<int> m_sequence = 0;
    std::atomic<int> m_running = 0;
    std::atomic<bool> m_stop = false;
    std::atomic<bool> m_beating = true;
    Listener m_listener;
    std::thread m_beats;
};

/// @brief Asks @p condition until it holds; false when it doesn't within @p patience.
inline bool eventually(const std::function<bool()> &condition, Millis patience)
{
    const auto until = Clock::now() + patience;
    while (Clock::now() < until) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(Millis(20));
    }
    return condition();
}

/// @brief Folder and loopback addresses of one run, and whether its trouble is to happen.
class Run
{
public:
    explicit Run(int argc, char **argv)
        : record(argc > 1 ? argv[1] : "record.txt")
    {
        std::signal(SIGPIPE, SIG_IGN);
        const char *wanted = std::getenv("TROUBLE");
        trouble = wanted == nullptr || std::string(wanted) != "0";
        char pattern[] = "/tmp/agatedoor-review-XXXXXX";
        folder = ::mkdtemp(pattern);
        net = "127." + std::to_string(30 + ::getpid() / 250 % 60) + "." + std::to_string(1 + ::getpid() % 250);
        record.line(std::string("trouble: ") + (trouble ? "yes" : "no"));
    }
    ~Run()
    {
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(folder);
        } else {
            std::cout << "logs are in " << folder << "\n";
        }
    }
    Run(const Run &) = delete;
    Run &operator=(const Run &) = delete;

    std::string ip(int number) const { return net + "." + std::to_string(number); }
    Address store() const { return {ip(250), 8309}; }
    Machine machine(int number, const std::string &service) const { return {"sidecar-" + std::to_string(number), ip(number), service}; }

    Record record;
    bool trouble = true;
    std::string folder;
    std::string net;
};

} // namespace review
