#include "agatedoor/base/random.hpp"
#include "agatedoor/wire/http_call.hpp"
#include "agatedoor/wire/http_service.hpp"
#include "signal_wait.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

/// @brief Stand-in for a backend server: runs each request for a set time and counts runs by request id.
/// Behaviour is set with PUT /stand-in/behaviour {"service_us":int,"reject":bool,"shed":bool,"request_limit":text,"leaving":bool}; GET /stand-in/runs tells the
/// counts, which are printed at the end too. A request with the field Stand-In-Ends ends the process while it runs. A run whose connection is closed is
/// cancelled. With --run-log each run is appended to a file as "run ID NANOSECONDS" on the machine's steady clock, and the start of a leave as "leave
/// NANOSECONDS".
namespace agatedoor {

namespace {

namespace json = boost::json;
namespace asio = boost::asio;

struct Options
{
    std::string listen;
    std::string announced; ///< Address that is announced; the same as listen unless something stands between.
    std::string announceTo;
    std::string runLog;
    std::int64_t heartbeatMs = 0; ///< Between announcements; 0 announces once.
    std::string name;
    std::string service;
    std::int64_t slots = 4;
    std::int64_t connections = 64;
    std::int64_t serviceUs = 1000;
    std::int64_t spreadPercent = 0; ///< Service times are uniform within this share around the mean.
};

constexpr std::chrono::milliseconds cancelCheckInterval{2};
constexpr std::chrono::milliseconds endDelay{20};

class StandInBackend
{
public:
    explicit StandInBackend(const Options &options)
        : m_name(options.name)
        , m_serviceUs(options.serviceUs)
        , m_spread(static_cast<double>(options.spreadPercent) / 100.0)
        , m_runLog(options.runLog, std::ios::app)
        , m_guard(asio::make_work_guard(m_context))
        , m_thread([this] { m_context.run(); })
    {
    }
    ~StandInBackend()
    {
        m_context.stop();
        m_thread.join();
    }

    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
    {
        const std::lock_guard lock(m_mutex);
        if (request.target == "/stand-in/runs") {
            responder->reply(jsonReply(200, countsLocked()));
            return;
        }
        if (request.target == "/stand-in/behaviour") {
            setBehaviour(request.body);
            responder->reply(jsonReply(200, "{}"));
            return;
        }
        run(request, responder);
    }

    void logLeave()
    {
        const std::lock_guard lock(m_mutex);
        m_runLog << "leave " << nanoseconds(Clock::now()) << std::endl;
    }

    /// Runs by request id, as JSON.
    std::string counts()
    {
        const std::lock_guard lock(m_mutex);
        return countsLocked();
    }

private:
    static std::int64_t nanoseconds(TimePoint time) { return std::chrono::nanoseconds(time.time_since_epoch()).count(); }

    std::string countsLocked() const
    {
        return json::serialize(json::object{{"runs", m_runs}, {"running", m_running}, {"greatest_running", m_greatestRunning}, {"cancelled", m_cancelled}});
    }

    void setBehaviour(const std::string &body)
    {
        const json::object object = json::parse(body).as_object();
        if (const auto *value = object.if_contains("service_us")) {
            m_serviceUs = value->to_number<std::int64_t>();
        }
        if (const auto *value = object.if_contains("reject")) {
            m_reject = value->as_bool();
        }
        if (const auto *value = object.if_contains("shed")) {
            m_shed = value->as_bool();
        }
        if (const auto *value = object.if_contains("request_limit")) {
            m_requestLimit = value->as_string();
        }
        if (const auto *value = object.if_contains("leaving")) {
            m_leaving = value->as_bool();
        }
    }

    /// An answer with what the backend server says of itself.
    HttpReply answered(const std::string &body)
    {
        HttpReply reply = jsonReply(200, body);
        const std::lock_guard lock(m_mutex);
        if (!m_requestLimit.empty()) {
            reply.fields.push_back({"Backend-Request-Limit", m_requestLimit});
        }
        if (m_leaving) {
            reply.fields.push_back({"Backend-Leaving", "1"});
        }
        return reply;
    }

    std::chrono::microseconds serviceTime()
    {
        const double factor = 1.0 + m_spread * (2.0 * uniformUnit(m_random) - 1.0);
        return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(m_serviceUs) * factor));
    }

    void run(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
    {
        if (m_reject) {
            responder->reply(jsonReply(503, R"({"error":"shedding"})"));
            return;
        }
        if (m_shed) {
            responder->reply({503, {{"Agatedoor-Outcome", "not-run"}}, "shed"});
            return;
        }
        const std::string id(fieldOf(request.fields, "Agatedoor-Request-Id"));
        m_runs[id] = (m_runs.contains(id) ? m_runs.at(id).to_number<std::int64_t>() : 0) + 1;
        m_runLog << "run " << id << " " << nanoseconds(Clock::now()) << std::endl;
        m_greatestRunning = std::max(m_greatestRunning, ++m_running);
        if (!fieldOf(request.fields, "Stand-In-Ends").empty()) {
            asio::co_spawn(m_context, endProcess(), asio::detached);
            return;
        }
        const json::object answer{{"backend", m_name}, {"request_id", id}, {"target", request.target}, {"echo", request.body}};
        const Deadline done = deadlineAfter(Clock::now(), serviceTime());
        asio::co_spawn(m_context, serve(responder, json::serialize(answer), done), asio::detached);
    }

    /// Ends the process as a crash does, a moment after the request has begun.
    asio::awaitable<void> endProcess()
    {
        boost::system::error_code ignored;
        asio::steady_timer timer(m_context, endDelay);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        std::_Exit(1);
    }

    /// Works until @p done, or until the connection is closed.
    asio::awaitable<void> serve(std::shared_ptr<HttpResponder> responder, std::string body, Deadline done)
    {
        boost::system::error_code ignored;
        asio::steady_timer timer(m_context);
        while (!expired(done, Clock::now()) && !responder->closed()) {
            timer.expires_at(earlier(done, deadlineAfter(Clock::now(), cancelCheckInterval)).at);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        {
            const std::lock_guard lock(m_mutex);
            --m_running;
            m_cancelled += responder->closed() ? 1 : 0;
        }
        responder->reply(answered(body));
    }

    std::mutex m_mutex;
    std::string m_name;
    std::int64_t m_serviceUs;
    double m_spread;
    Random m_random{std::hash<std::string>{}(m_name)};
    bool m_reject = false;
    bool m_shed = false;
    std::string m_requestLimit; ///< Requests a second that it says it takes; says nothing when empty.
    bool m_leaving = false; ///< Its answers say that it leaves.
    json::object m_runs;
    std::int64_t m_running = 0;
    std::int64_t m_greatestRunning = 0;
    std::int64_t m_cancelled = 0;
    std::ofstream m_runLog;
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

constexpr std::chrono::seconds announceTimeout{2};

bool callNode(const Options &options, const std::string &method, const std::string &suffix, const std::string &body)
{
    const auto node = parseEndpoint(options.announceTo).value();
    const HttpRequest request{method, "/v1/backends/" + options.name + suffix, {}, body};
    const auto reply = httpCall(node, request, deadlineAfter(Clock::now(), announceTimeout));
    return reply && reply.value().status == 200;
}

json::object announcementOf(const Options &options)
{
    return {
        {"service", options.service},
        {"address", options.announced.empty() ? options.listen : options.announced},
        {"slots", options.slots},
        {"connections", options.connections},
    };
}

/// Announces until the node has taken it; the node may still be starting.
bool announce(const Options &options)
{
    const std::string body = json::serialize(announcementOf(options));
    for (int attempt = 0; attempt < 100; ++attempt) {
        if (callNode(options, "PUT", "", body)) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

/// Announces again and again, so that a node which starts anew learns of this backend server.
class Heartbeat
{
public:
    explicit Heartbeat(const Options &options)
        : m_options(options)
        , m_thread([this] { run(); })
    {
    }
    ~Heartbeat() { stop(); }
    Heartbeat(const Heartbeat &) = delete;
    Heartbeat &operator=(const Heartbeat &) = delete;

    void stop()
    {
        m_stop.store(true);
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    void run()
    {
        json::object body = announcementOf(m_options);
        const auto born = std::chrono::system_clock::now().time_since_epoch();
        body["born"] = std::chrono::duration_cast<std::chrono::milliseconds>(born).count();
        for (std::int64_t sequence = 1; m_options.heartbeatMs > 0 && !m_stop.load(); ++sequence) {
            body["sequence"] = sequence;
            callNode(m_options, "PUT", "", json::serialize(body));
            std::this_thread::sleep_for(std::chrono::milliseconds(m_options.heartbeatMs));
        }
    }

    const Options &m_options;
    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

std::int64_t runningAt(const Options &options)
{
    const auto node = parseEndpoint(options.announceTo).value();
    const auto reply = httpCall(node, {"GET", "/v1/backends/" + options.name, {}, {}}, deadlineAfter(Clock::now(), announceTimeout));
    if (!reply || reply.value().status != 200) {
        return 0;
    }
    return json::parse(reply.value().body).as_object().at("running").to_number<std::int64_t>();
}

/// Graceful leave: drain, wait for requests in progress, withdraw.
void leave(const Options &options)
{
    callNode(options, "POST", "/drain", "");
    while (runningAt(options) > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    callNode(options, "DELETE", "", "");
}

} // namespace

} // namespace agatedoor

int main(int argc, char **argv)
{
    using namespace agatedoor;
    CLI::App app{"stand-in for a backend server", "stand_in_backend"};
    Options options;
    app.add_option("--listen", options.listen, "IP:PORT")->required();
    app.add_option("--announce-to", options.announceTo, "node's address for backend servers, IP:PORT")->required();
    app.add_option("--announced", options.announced, "IP:PORT that is announced, when it isn't the one listened on");
    app.add_option("--heartbeat-ms", options.heartbeatMs, "time between announcements, milliseconds; 0 announces once");
    app.add_option("--run-log", options.runLog, "file to which each run is appended");
    app.add_option("--name", options.name, "backend server id")->required();
    app.add_option("--service", options.service, "service name")->required();
    app.add_option("--slots", options.slots, "slots");
    app.add_option("--connections", options.connections, "connections");
    app.add_option("--service-us", options.serviceUs, "service time, microseconds");
    app.add_option("--spread-percent", options.spreadPercent, "spread of service times, hundredths")->check(CLI::Range(0, 100));
    CLI11_PARSE(app, argc, argv);
    blockStopSignals();
    StandInBackend backend(options);
    auto service
        = HttpService::start(parseEndpoint(options.listen).value(),
                             [&backend](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) { backend.handle(request, responder); });
    if (!service || (options.heartbeatMs == 0 && !announce(options))) {
        std::cerr << "can't listen or announce\n";
        return 1;
    }
    Heartbeat heartbeat(options);
    waitForStopSignal();
    heartbeat.stop();
    backend.logLeave();
    leave(options);
    service.value().reset();
    std::cout << backend.counts() << std::endl;
    return 0;
}
