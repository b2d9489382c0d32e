#include "../fleet_3.hpp"

/// @brief Three of 22 targets crash once at the same moment, while a job that comes again and again is in progress on each; what becomes of that job.
using namespace review;

namespace {

constexpr int targets = 22;
constexpr int crashing = 3; ///< 0.136 of them.
constexpr int jobs = 88; ///< Sent at once, every few seconds.
constexpr Millis downTime{3000};
constexpr Millis workTime{600};

std::string route(const std::string &prefix, const std::string &kind)
{
    return R"({"hostname":"a.example","prefix":"/)" + prefix + R"(/","kind":")" + kind
        + R"(","timeoutMs":2000,"aimMs":1000,"priority":1,"service":"work","maxAttempts":2})";
}

std::string configuration(const std::string &version, bool withJob)
{
    return R"({"version":")" + version + R"(","routes":{"look":)" + route("look", "safe") + (withJob ? R"(,"job":)" + route("job", "unsafe") : "")
        + R"(},"services":{"work":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false},"front":{"healthPath":"/health","maxConnections":260,"protocol":"h1","tls":false}},)"
        + R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

/// The program of one target, in a process of its own so that it can crash.
[[noreturn]] void runTarget(const std::string &ip, int number, const std::string &id, const std::string &log)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::signal(SIGPIPE, SIG_IGN);
    std::mutex mutex;
    std::ofstream ran(log, std::ios::app);
    Target *self = nullptr;
    const auto handler = [&](Connection &connection, const Message &head) {
        Message request = head;
        connection.readBody(request, false, Clock::now() + std::chrono::seconds(5));
        {
            const std::lock_guard lock(mutex);
            ran << request.field("X-Request-Id") << " " << id << std::endl;
        }
        if (request.target().starts_with("/job/")) {
            std::this_thread::sleep_for(workTime);
        }
        return connection.send(stampedAnswer(request, "whole", self->loadField()));
    };
    Target target({"sidecar-" + std::to_string(number), ip, "work"}, id, 12, handler);
    self = &target;
    for (;;) {
        std::this_thread::sleep_for(std::chrono::hours(1));
    }
}

class TargetProcess
{
public:
    void start(const Machine &machine, int number, const std::string &id, const std::string &log)
    {
        const std::string digits = std::to_string(number);
        m_pid = ::fork();
        if (m_pid == 0) {
            ::execl("/proc/self/exe", "case", "--target", machine.ip.c_str(), digits.c_str(), id.c_str(), log.c_str(), nullptr);
            ::_exit(127);
        }
    }
    void crash()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
        }
        m_pid = -1;
    }
    ~TargetProcess() { crash(); }

private:
    pid_t m_pid = -1;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc == 6 && std::string(argv[1]) == "--target") {
        runTarget(argv[2], std::atoi(argv[3]), argv[4], argv[5]);
    }
    Run run(argc, argv);
    Store store(run.store());
    store.write("op/config", configuration("r7", false));
    Node front(run.machine(1, "front"), run.store(), run.folder);
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<TargetProcess> processes(targets);
    const std::string log = run.folder + "/ran";
    for (int i = 0; i < targets; ++i) {
        nodes.push_back(std::make_unique<Node>(run.machine(10 + i, "work"), run.store(), run.folder));
        processes[static_cast<std::size_t>(i)].start(nodes.back()->machine(), 10 + i, "i-" + std::to_string(i), log + std::to_string(i));
    }
    if (!waitUntilServed(front, requestText("GET", "/look/0", "warm-up"))) {
        run.record.line("the deployment didn't come up");
        return CouldNotRun;
    }
    store.write("op/config", configuration("r9", true));
    run.record.line("r9, which adds the route /job/, is confirmed");
    std::this_thread::sleep_for(std::chrono::seconds(5));

    std::atomic<int> round = 0;
    const auto sendJobs = [&](const std::function<void()> &meanwhile) {
        std::atomic<int> served = 0;
        std::mutex mutex;
        std::map<std::string, int> answers;
        const int number = ++round;
        std::vector<std::thread> consumers;
        for (int i = 0; i < jobs; ++i) {
            consumers.emplace_back([&, i] {
                const std::string id = "job-" + std::to_string(number) + "-" + std::to_string(i);
                const auto reply = ask(front.machine().callers(), requestText("POST", "/job/refresh", id, "{}"), Millis(3000));
                served += reply && reply->status() == 200 ? 1 : 0;
                const std::lock_guard lock(mutex);
                ++answers[reply ? std::to_string(reply->status()) + " " + reply->field("Agatedoor-Reason") : "none"];
            });
        }
        meanwhile();
        for (auto &consumer : consumers) {
            consumer.join();
        }
        std::string text;
        for (const auto &[answer, count] : answers) {
            text += " " + std::to_string(count) + " x " + answer + ";";
        }
        run.record.line("round " + std::to_string(number) + ": " + std::to_string(jobs) + " jobs sent at once, answered" + text);
        return served.load();
    };
    const auto nothing = [] {};
    int before = 0;
    for (int i = 0; i < 2; ++i) {
        before += sendJobs(nothing);
        std::this_thread::sleep_for(std::chrono::seconds(2));
    }
    sendJobs([&] {
        std::this_thread::sleep_for(workTime / 2);
        if (run.trouble) {
            for (int i = 0; i < crashing; ++i) {
                processes[static_cast<std::size_t>(i)].crash();
            }
            run.record.line(std::to_string(crashing) + " of " + std::to_string(targets) + " targets crash");
        }
    });
    std::this_thread::sleep_for(downTime);
    if (run.trouble) {
        for (int i = 0; i < crashing; ++i) {
            processes[static_cast<std::size_t>(i)].start(nodes[static_cast<std::size_t>(i)]->machine(), 10 + i, "i-" + std::to_string(i) + "b",
                                                         log + std::to_string(i));
        }
        run.record.line("they are back, each with a new id");
    }
    std::this_thread::sleep_for(std::chrono::seconds(10)); // More than touchMs and recovery of the targets; steady from here on.

    int firstServed = 0;
    int addedServed = 0;
    int sent = 0;
    const auto until = Clock::now() + std::chrono::seconds(50);
    while (Clock::now() < until) {
        addedServed += sendJobs(nothing);
        for (int i = 0; i < jobs; ++i) {
            const std::string id = "look-" + std::to_string(sent + i);
            const auto look = ask(front.machine().callers(), requestText("GET", "/look/" + id, id));
            firstServed += look && look->status() == 200 ? 1 : 0;
        }
        sent += jobs;
        std::this_thread::sleep_for(std::chrono::seconds(3));
    }
    run.record.line("before the crash " + std::to_string(before) + " of " + std::to_string(2 * jobs)
                    + " jobs were served; from 10 s after the targets' return on " + std::to_string(addedServed) + " of " + std::to_string(sent) + ", and "
                    + std::to_string(firstServed) + " of " + std::to_string(sent) + " requests on the first route");
    if (before < jobs || firstServed < 20) {
        return CouldNotRun;
    }
    return 4 * addedServed < firstServed ? Broken : Held;
}
