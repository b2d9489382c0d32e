#include "agatedoor/state/bundle.hpp"
#include "agatedoor/state/settings.hpp"
#include "support/deployment.hpp"
#include "support/story.hpp"

#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace agatedoor::test {

namespace {

constexpr std::size_t leastCommands = 15;

/// A command of the page and the exit code that it names.
struct PageCommand
{
    std::vector<std::string> words;
    int exitCode = 0;
};

/// Commands in the page's boxes, with the words in capitals replaced.
std::vector<PageCommand> pageCommands(const std::string &page, const std::map<std::string, std::string> &values)
{
    std::vector<PageCommand> commands;
    std::istringstream lines(page);
    std::string line;
    bool inBox = false;
    while (std::getline(lines, line)) {
        if (line.starts_with("```")) {
            inBox = line == "```sh";
            continue;
        }
        if (!inBox) {
            continue;
        }
        PageCommand command;
        const auto comment = line.find("  # exit ");
        if (comment != std::string::npos) {
            command.exitCode = std::stoi(line.substr(comment + 9));
            line.resize(comment);
        }
        std::istringstream words(line);
        for (std::string word; words >> word;) {
            const auto value = values.find(word);
            command.words.push_back(value == values.end() ? word : value->second);
        }
        commands.push_back(std::move(command));
    }
    return commands;
}

/// Exit code of a command; curl is stood in for by a request of the same address.
int run(const PageCommand &command, const std::map<std::string, std::string> &values, std::string &output)
{
    if (command.words.front() != "curl") {
        const auto result = runCommand(command.words);
        output = result.output;
        return result.exitCode;
    }
    const std::string url = command.words.back().substr(std::string("http://").size());
    const auto slash = url.find('/');
    const HttpReply reply = ask(parseEndpoint(values.at(url.substr(0, slash))).value(), {"GET", url.substr(slash), {}, {}});
    output = reply.body;
    return reply.status == 200 && !reply.body.empty() ? 0 : 1;
}

/// Three requests that fail, each in its own way: one is refused, one is late, the answer of one is lost.
void failThreeRequests(Deployment &deployment)
{
    const auto lookup = [&deployment](const std::string &id, const std::string &timeoutUs) {
        return ask(deployment.callers("node1"), {"GET", "/ritarkiv", {{"Agatedoor-Request-Id", id}, {"Agatedoor-Timeout-Us", timeoutUs}}, {}}).status;
    };
    const auto runs = [&deployment](const std::string &count) {
        const HttpReply reply = ask(deployment.backendsOf("node1"), {"GET", "/v1/backends/drawings", {}, {}});
        return reply.body.find("\"running\":" + count) != std::string::npos;
    };
    const auto running = [&runs] { return runs("1"); };
    deployment.startBackend({"drawings", "node1", "ritarkiv", 1, 8, 400'000});
    deployment.waitUntilReady(1);
    std::thread busy([&] { lookup("busy-1", "2000000"); });
    EXPECT_TRUE(eventually(running));
    EXPECT_EQ(lookup("refused-1", "50000"), 503);
    busy.join();
    EXPECT_EQ(lookup("late-1", "100000"), 504);
    EXPECT_TRUE(eventually([&runs] { return runs("0"); }));
    std::thread lost([&] { EXPECT_EQ(lookup("lost-1", "2000000"), 502); });
    EXPECT_TRUE(eventually(running));
    deployment.killBackend("drawings");
    lost.join();
}

/// Writes what a node has logged to a file, once it tells of the last of the three requests.
void writeLog(Deployment &deployment, const std::string &node, const std::string &file, const std::string &awaited)
{
    EXPECT_TRUE(eventually([&] { return deployment.node(node).output().find(awaited) != std::string::npos; }));
    std::ofstream(file) << deployment.node(node).output();
}

} // namespace

TEST(OperationsPage, CommandsDoWhatItSays)
{
    Deployment deployment;
    deployment.startStore();
    deployment.startNode({"node1", "sv-uppsala", "svealand"});
    deployment.startNode({"node2", "sv-vasteras", "svealand"});
    const std::string source = AGATEDOOR_SOURCE_DIR;
    const std::string bundle = source + "/examples/deployments/statens_takstolsverk.toml";
    const std::string settings = "/tmp/agatedoor-test-" + std::to_string(::getpid()) + "-page.toml";
    std::ofstream(settings) << "node = \"n\"\nzone = \"z\"\nregion = \"r\"\ncallers = \"10.0.0.1:1\"\npeers = \"10.0.0.1:2\"\ngossip = \"10.0.0.1:3\"\n"
                               "backends = \"10.0.0.1:4\"\nadmin = \"10.0.0.1:5\"\nstores = [\"10.0.0.2:1\"]\n";
    const std::string log1 = "/tmp/agatedoor-test-" + std::to_string(::getpid()) + "-node1.log";
    const std::string log2 = "/tmp/agatedoor-test-" + std::to_string(::getpid()) + "-node2.log";
    const std::map<std::string, std::string> values{
        {"LOG1", log1},
        {"LOG2", log2},
        {"STORE", deployment.storeAddress()},
        {"ADMIN1", toText(deployment.admin("node1"))},
        {"ADMIN2", toText(deployment.admin("node2"))},
        {"NOWHERE", deployment.net() + ".200:8084"},
        {"NAME", "astrid"},
        {"OPERATION", "operation-1"},
        {"BUNDLE", bundle},
        {"SETTINGS", settings},
        {"DIGEST", digestOf(readTextFile(bundle).value()).value},
    };
    const auto commands = pageCommands(readTextFile(source + "/docs/OPERATIONS.md").value(), values);
    EXPECT_GE(commands.size(), leastCommands);
    bool failed = false;
    for (const auto &command : commands) {
        if (!failed && command.words.size() > 1 && command.words[1] == "explain") {
            failed = true;
            failThreeRequests(deployment);
            writeLog(deployment, "node1", log1, R"("request_id":"lost-1","method")");
            writeLog(deployment, "node2", log2, R"("event":"started")");
        }
        std::string line;
        for (const auto &word : command.words) {
            line += word + " ";
        }
        section(line, [&] {
            std::string output;
            EXPECT_EQ(run(command, values, output), command.exitCode) << output;
        });
    }
    section("the log tells the cause of each failed request", [&] {
        const auto explained = [&](const std::string &id) { return runCommand({"agatectl", "explain", id, log1, log2}).output; };
        EXPECT_NE(explained("refused-1").find("refused backend=drawings"), std::string::npos) << explained("refused-1");
        EXPECT_NE(explained("refused-1").find("running=1 limit=1"), std::string::npos);
        EXPECT_NE(explained("late-1").find("answer-lost backend=drawings reason=answer-timeout"), std::string::npos) << explained("late-1");
        EXPECT_NE(explained("lost-1").find("answer-lost backend=drawings reason=backend-ended"), std::string::npos) << explained("lost-1");
        EXPECT_EQ(runCommand({"agatectl", "explain", "never-sent", log1}).exitCode, 1);
    });
    for (const auto &file : {settings, log1, log2}) {
        ::unlink(file.c_str());
    }
}

} // namespace agatedoor::test
