#pragma once

#include "store.hpp"

#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>

/// @brief Nodes as processes, and the backend servers (targets) beside them.
namespace review {

inline bool troubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// @brief Writes what was sent, answered and run, with seconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_start(Clock::now())
    {
    }

    double seconds() const { return std::chrono::duration<double>(Clock::now() - m_start).count(); }

    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%8.3f ", seconds());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::FILE *m_file;
    Clock::time_point m_start;
    std::mutex m_mutex;
};

inline void pauseFor(Millis time)
{
    std::this_thread::sleep_for(time);
}

inline std::int64_t unixMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// @brief A request that a target began to run.
struct Run
{
    std::string id;
    std::string target;
    std::string path;
    Clock::time_point at;
};

/// @brief What all targets ran, in order.
class Runs
{
public:
    void add(Run run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(std::move(run));
    }
    std::vector<Run> all()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    std::optional<Run> of(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &run : m_runs) {
            if (run.id == id) {
                return run;
            }
        }
        return std::nullopt;
    }

private:
    std::mutex m_mutex;
    std::vector<Run> m_runs;
};

/// @brief A target. Announces itself about every 1.5 s at the control address of its machine.
class Target
{
public:
    Target(std::string id, std::string service, std::string zone, Address address, Address control, Runs &runs)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_address(address)
        , m_control(std::move(control))
        , m_runs(runs)
        , m_server(address, [this](const Message &request) { return answer(request); })
    {
    }

    /// Begins a lifetime: listens and announces itself.
    bool start()
    {
        m_born = unixMillis();
        m_sequence = 0;
        m_alive = true;
        if (!m_server.start()) {
            return false;
        }
        if (!m_announcer.joinable()) {
            m_announcer = std::thread([this] { announceAll(); });
            m_announcer.detach();
        }
        return true;
    }

    /// Ends this lifetime as a crash does; the next one begins after @p away with a new id.
    void crash(Millis away)
    {
        m_alive = false;
        std::thread([this, away] {
            m_server.endAbruptly();
            pauseFor(away);
            {
                const std::lock_guard lock(m_mutex);
                m_id += "+";
            }
            start();
        }).detach();
    }

    /// Ends for good.
    void end()
    {
        m_alive = false;
        m_announces = false;
        m_server.endAbruptly();
    }

    std::string id() const
    {
        const std::lock_guard lock(m_mutex);
        return m_id;
    }
    const std::string &service() const { return m_service; }

    /// The next announcement, as text to be sent now or later.
    std::string announcement()
    {
        const std::string body = R"({"service":")" + m_service + R"(","address":")" + m_address.text() + R"(","zone":")" + m_zone
            + R"(","version":"v1","slots":12,"status":"serving","cold_left_ms":0,"sequence":)" + std::to_string(++m_sequence) + R"(,"born":)"
            + std::to_string(m_born) + "}";
        return requestText("PUT", "/v1/backends/" + id(), m_control.text(), {{"Content-Type", "application/json"}, {"Connection", "close"}}, body);
    }
    Exchange send(const std::string &text) const { return exchangeOnce(m_control, text, Millis(1000)); }

    void stopAnnouncing() { m_announces = false; }
    Exchange withdraw() const { return send(requestText("DELETE", "/v1/backends/" + id(), m_control.text(), {{"Connection", "close"}}, "")); }

    std::atomic<int> workMs{50};
    std::string deadlyBody; ///< A request with this body crashes the target as soon as it begins to run it.

private:
    void announceAll()
    {
        for (;;) {
            if (m_announces && m_alive) {
                send(announcement());
            }
            for (int i = 0; i < 15; ++i) {
                pauseFor(Millis(100));
                if (m_sequence == 0 && m_alive) {
                    break;
                }
            }
        }
    }

    std::optional<std::string> answer(const Message &request)
    {
        const std::string requestId = request.field("X-Request-Id");
        std::vector<std::pair<std::string, std::string>> fields{{"X-Server-Load", std::to_string(m_running.load()) + ",0,12,100"}};
        if (request.second() == "/health") {
            fields.emplace_back("X-Instance-Id", id());
            return responseText(200, fields, "");
        }
        fields.emplace_back("X-Request-Id", requestId);
        const std::string expected = request.field("X-Expect-Instance");
        if (!expected.empty() && expected != id()) {
            return responseText(421, fields, "");
        }
        m_runs.add({requestId, id(), request.second(), Clock::now()});
        if (!deadlyBody.empty() && request.body == deadlyBody) {
            crash(Millis(2000));
            return std::nullopt;
        }
        ++m_running;
        pauseFor(Millis(workMs));
        --m_running;
        fields.emplace_back("X-Server-Stamp", "stamp-" + requestId);
        return responseText(200, fields, m_service + " ran " + requestId);
    }

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    Address m_address;
    Address m_control;
    Runs &m_runs;
    HttpServer m_server;
    mutable std::mutex m_mutex;
    std::thread m_announcer;
    std::atomic<bool> m_announces{true};
    std::atomic<bool> m_alive{false};
    std::atomic<int> m_running{0};
    std::atomic<std::int64_t> m_sequence{0};
    std::int64_t m_born = 0;
};

/// @brief One machine: its node's settings and process.
struct Machine
{
    int number = 0;
    std::string ip;
    std::string zone;
    std::string region;
    std::string service;
    std::string settingsFile;
    Address storeAddress;
    Address outbound;
    Address ready;
    Address control;
    Address application;
    pid_t process = 0;
};

/// @brief The machines of one deployment, with the settings that the deploy file's template gives them.
class Fleet
{
public:
    explicit Fleet(Record &record)
        : m_record(record)
    {
        std::string folder = (std::filesystem::temp_directory_path() / "agatedoor-review-XXXXXX").string();
        m_folder = mkdtemp(folder.data());
        std::signal(SIGPIPE, SIG_IGN);
        m_net = freeNet();
    }
    ~Fleet() { end(); }
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Adds a machine; false when an address isn't free.
    bool add(const std::string &zone, const std::string &region, const std::string &service)
    {
        Machine machine;
        machine.number = static_cast<int>(machines.size()) + 1;
        machine.ip = m_net + "." + std::to_string(machine.number);
        machine.zone = zone;
        machine.region = region;
        machine.service = service;
        machine.storeAddress = {m_net + "." + std::to_string(machine.number + 100), 8309};
        machine.outbound = {machine.ip, 8304};
        machine.ready = {machine.ip, 8302};
        machine.control = {machine.ip, 8306};
        machine.application = {machine.ip, 8301};
        machine.settingsFile = m_folder + "/node" + std::to_string(machine.number) + ".conf";
        writeSettings(machine);
        machines.push_back(machine);
        return store.serve(machine.number, machine.storeAddress);
    }

    static constexpr rlim_t maxFds = 4100; ///< The settings' limits.maxFds.

    /// Starts the node with the deploy file's command; the platform's settings file stands at a path of its own.
    void start(Machine &machine)
    {
        const std::string log = m_folder + "/node" + std::to_string(machine.number) + ".log";
        const pid_t child = fork();
        if (child == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const rlimit descriptors{maxFds, maxFds};
            setrlimit(RLIMIT_NOFILE, &descriptors);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1);
            dup2(out, 2);
            execl("target/bin/agatedoord_platform", "target/bin/agatedoord_platform", "--settings", machine.settingsFile.c_str(), nullptr);
            _exit(127);
        }
        machine.process = child;
    }

    void kill(Machine &machine)
    {
        if (machine.process > 0) {
            ::kill(machine.process, SIGKILL);
            waitpid(machine.process, nullptr, 0);
            machine.process = 0;
        }
    }

    /// Ends all nodes and removes their files. The threads of the stand-ins end with the program.
    void end()
    {
        for (auto &machine : machines) {
            kill(machine);
        }
        std::filesystem::remove_all(m_folder);
    }

    bool isReady(const Machine &machine) const
    {
        return exchangeOnce(machine.ready, requestText("GET", "/ready", machine.ip, {{"Connection", "close"}}, ""), Millis(500)).status == 200;
    }

    bool waitUntilReady(Millis time) const
    {
        const auto until = Clock::now() + time;
        for (const auto &machine : machines) {
            while (!isReady(machine)) {
                if (Clock::now() > until) {
                    m_record.line("machine %d isn't ready", machine.number);
                    return false;
                }
                pauseFor(Millis(50));
            }
        }
        return true;
    }

    /// Target of the machine's application, which its node reaches.
    std::unique_ptr<Target> makeTarget(const Machine &machine, Runs &runs) const
    {
        return std::make_unique<Target>("i-" + std::to_string(machine.number), machine.service, machine.zone, machine.application, machine.control, runs);
    }

    /// Text of the node's log lines that contain @p word.
    std::string logLines(const Machine &machine, const std::string &word) const
    {
        std::ifstream file(m_folder + "/node" + std::to_string(machine.number) + ".log");
        std::string line;
        std::string found;
        while (std::getline(file, line)) {
            if (line.find(word) != std::string::npos) {
                found += line + "\n";
            }
        }
        return found;
    }

    std::vector<Machine> machines;
    Store store;

private:
    static std::string freeNet()
    {
        for (int i = 0; i < 100; ++i) {
            const std::string net = "127." + std::to_string(60 + (getpid() / 200 + i) % 150) + "." + std::to_string(getpid() % 200 + 1);
            bool free = true;
            for (const std::uint16_t port : {8300, 8301, 8302, 8304, 8306, 8309, 7620}) {
                const int fd = listenAt({net + ".1", port});
                free = free && fd >= 0;
                close(fd);
            }
            if (free) {
                return net;
            }
        }
        return "127.77.77";
    }

    static void writeSettings(const Machine &machine)
    {
        std::ofstream file(machine.settingsFile);
        file << "node = \"sidecar-" << machine.number << "\"\n"
             << "zone = \"" << machine.zone << "\"\n"
             << "region = \"" << machine.region << "\"\n"
             << "service = \"" << machine.service << "\"\n"
             << "callers = \"" << machine.outbound.text() << "\"\n"
             << "peers = \"" << machine.ip << ":8300\"\n"
             << "gossip = \"" << machine.ip << ":7620\"\n"
             << "backends = \"" << machine.control.text() << "\"\n"
             << "backend_address = \"" << machine.application.text() << "\"\n"
             << "admin = \"" << machine.ready.text() << "\"\n"
             << "stores = [\"" << machine.storeAddress.text() << "\"]\n"
             << "stop_limit_s = 6\nannounce_lapse_ms = 15000\nretry_share = 0.2\nretry_burst = 64\nthreads = 1\nlog_level = \"info\"\n";
    }

    Record &m_record;
    std::string m_folder;
    std::string m_net;
};

/// @brief Ends the program, and with it all threads and nodes.
[[noreturn]] inline void finish(Fleet &fleet, Record &record, int result)
{
    fleet.end();
    record.line("result %d", result);
    std::_Exit(result);
}

/// @brief A configuration with one route for each pair of a path prefix and a service.
struct RouteLine
{
    std::string prefix;
    std::string kind;
    std::string service;
    int timeoutMs = 1500;
    int maxAttempts = 2;
};

inline std::string configuration(const std::string &version, const std::vector<RouteLine> &routes, const std::vector<std::string> &services)
{
    std::string text = R"({"version":")" + version + R"(","routes":{)";
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const RouteLine &route = routes[i];
        text += std::string(i == 0 ? "" : ",") + R"("r-)" + std::to_string(i) + R"(":{"hostname":"shop.example","prefix":")" + route.prefix + R"(","kind":")"
            + route.kind + R"(","timeoutMs":)" + std::to_string(route.timeoutMs) + R"(,"aimMs":600,"priority":1,"service":")" + route.service
            + R"(","maxAttempts":)" + std::to_string(route.maxAttempts) + "}";
    }
    text += R"(},"services":{)";
    for (std::size_t i = 0; i < services.size(); ++i) {
        text += std::string(i == 0 ? "" : ",") + "\"" + services[i] + R"(":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false})";
    }
    return text + R"(},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

} // namespace review
