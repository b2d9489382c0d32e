#include "command_line.hpp"
#include "explain_command.hpp"
#include "fleet_commands.hpp"
#include "release_commands.hpp"

namespace agatedoor {

namespace {

std::string endpointError(const std::string &text)
{
    return parseEndpoint(text) ? std::string() : "not an IP address with a port: " + text;
}

CLI::Validator endpointCheck()
{
    return {endpointError, "IP:PORT"};
}

/// Defines the subcommands, which all fill the same arguments, and runs the one that was given.
class CommandLine
{
public:
    CommandLine()
        : m_app("agatedoor operator tool", "agatectl")
    {
        m_app.require_subcommand(1);
        m_app.footer("exit codes: 0 success, 1 failed, 2 invalid command line, 3 invalid bundle, 4 conflict with another roll-out,\n"
                     "5 outcome unknown, 6 nothing was written, 7 not signed off, 8 not in force at every node");
        addSignOff();
        addRollOut();
        addOperation();
        addBundle();
        addStatus();
        addCleanUp();
        addEvacuate();
        addDump();
        addExplain();
    }

    int run(int argc, char **argv)
    {
        const auto exitCode = parseCommandLine(m_app, argc, argv);
        return exitCode ? *exitCode : m_exitCode;
    }

private:
    CLI::App *addCommand(const std::string &name, const std::string &help, int (*command)(const Arguments &))
    {
        CLI::App *subcommand = m_app.add_subcommand(name, help);
        subcommand->callback([this, command] { m_exitCode = command(m_arguments); });
        return subcommand;
    }

    CLI::App *addStoreCommand(const std::string &name, const std::string &help, int (*command)(const Arguments &))
    {
        CLI::App *subcommand = addCommand(name, help, command);
        subcommand->add_option("--store", m_arguments.stores, "store endpoint; may be repeated")->required()->check(endpointCheck());
        subcommand->add_option("--timeout-ms", m_arguments.timeoutMs, "time limit for the store, milliseconds")->check(CLI::PositiveNumber);
        subcommand->add_flag("--json", m_arguments.json, "print one JSON object per line");
        return subcommand;
    }

    void addOperatorOptions(CLI::App &command)
    {
        command.add_option("--operator", m_arguments.operatorName, "name of the operator, stored with the operation");
        command.add_option("--operation", m_arguments.operation, "operation id, for looking up the outcome later; random by default");
    }

    void addNodeOptions(CLI::App &command)
    {
        command.add_option("--admin", m_arguments.admins, "admin endpoint of a node; may be repeated")->check(endpointCheck());
        command.add_option("--wait-ms", m_arguments.waitMs, "time limit for the nodes, milliseconds")->check(CLI::PositiveNumber);
    }

    void addSignOff()
    {
        CLI::App *command = addStoreCommand("sign-off", "validate a bundle and store it; it can't be changed afterwards", runSignOff);
        addOperatorOptions(*command);
        command->add_option("bundle", m_arguments.bundleFile, "bundle file")->required();
    }

    void addRollOut()
    {
        CLI::App *command = addStoreCommand("roll-out", "put a signed-off bundle in force under a new generation", runRollOut);
        addOperatorOptions(*command);
        addNodeOptions(*command);
        command->add_option("--expect-generation", m_arguments.expectedGeneration, "roll out only while this generation is in force; 0 for none");
        command->add_flag("--wait", m_arguments.wait, "wait until the nodes named with --admin have it in force")->needs("--admin");
        command->add_option("digest", m_arguments.digest, "digest that sign-off printed")->required();
    }

    void addOperation()
    {
        CLI::App *command = addStoreCommand("operation", "show whether a roll-out was applied", runOperation);
        command->add_flag("--settle", m_arguments.settle, "if it was not applied, prevent it from being applied later");
        command->add_option("id", m_arguments.operation, "operation id")->required();
    }

    void addBundle()
    {
        CLI::App *command = addStoreCommand("bundle", "show whether a bundle is signed off", runBundle);
        command->add_flag("--text", m_arguments.text, "print the text of the bundle");
        command->add_option("digest", m_arguments.digest, "digest of the bundle")->required();
    }

    void addStatus()
    {
        CLI::App *command = addStoreCommand("status", "show the generation rolled out, and how many nodes have each generation in force", runStatus);
        addNodeOptions(*command);
    }

    void addCleanUp()
    {
        CLI::App *command = addStoreCommand("clean-up", "remove bundles that only superseded generations used", runCleanUp);
        command->add_option("--keep", m_arguments.keptGenerations, "generations to keep")->check(CLI::PositiveNumber);
    }

    void addEvacuate()
    {
        CLI::App *command = addStoreCommand("evacuate", "send nothing more to the backend servers of an availability zone", runEvacuate);
        command->add_flag("--end", m_arguments.end, "end the evacuation");
        command->add_option("zone", m_arguments.zone, "availability zone")->required();
    }

    void addDump()
    {
        CLI::App *command = addCommand("dump", "print the state of nodes as JSON", runDump);
        command->add_option("admin", m_arguments.admins, "admin endpoint; may be repeated")->required()->check(endpointCheck());
    }

    void addExplain()
    {
        CLI::App *command = addCommand("explain", "print the log lines of several nodes about one request, ordered by time", runExplain);
        command->add_option("request", m_arguments.requestId, "request id")->required();
        command->add_option("log", m_arguments.logs, "log files of nodes")->required();
    }

    Arguments m_arguments;
    CLI::App m_app;
    int m_exitCode = 0;
};

} // namespace

std::vector<Endpoint> endpointsOf(const std::vector<std::string> &texts)
{
    std::vector<Endpoint> endpoints;
    for (const auto &text : texts) {
        const auto endpoint = parseEndpoint(text);
        if (endpoint) {
            endpoints.push_back(endpoint.value());
        }
    }
    return endpoints;
}

ReportOptions reportOptions(const Arguments &arguments)
{
    std::string stores;
    for (const auto &store : arguments.stores) {
        stores += " --store " + store;
    }
    return {arguments.json, std::move(stores)};
}

} // namespace agatedoor

/// @brief Signs off and rolls out bundles, and shows the state of nodes.
int main(int argc, char **argv)
{
    agatedoor::CommandLine commandLine;
    return commandLine.run(argc, argv);
}
