#pragma once

#include "agatedoor/base/endpoint.hpp"
#include "agatedoor/wire/http_message.hpp"
#include "support/process.hpp"

#include <boost/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

/// @brief A store, nodes and backend servers as processes on loopback addresses of one test's own.
namespace agatedoor::test {

/// @brief One node with its backend server's place.
struct NodePlace
{
    std::string name;
    std::string zone;
    std::string region;
    bool relayed = false; ///< A relay stands in front of the address where other nodes hand over requests.
    std::vector<std::string> seeds = {}; ///< Started nodes to join by without the store.
    int stopLimitS = 30; ///< Longest time of a stop.
    int watchersPerRegion = 2; ///< Fewer than the default, so that a small fleet has nodes that don't watch.
    std::string store = {}; ///< Address of the store when something stands before it, IP:PORT.
};

/// @brief One backend server.
struct BackendPlace
{
    std::string name;
    std::string node;
    std::string service;
    int slots = 4;
    int connections = 64;
    int serviceUs = 1000;
    int spreadPercent = 0;
    std::string announced = {}; ///< Address that is announced when something stands before it, IP:PORT.
    int heartbeatMs = 0; ///< Between announcements; 0 announces once.
    std::string runLog = {}; ///< File to which each run is appended; none when empty.
};

/// @brief Starts and addresses the processes. Fixed ports on addresses that no other test has.
class Deployment
{
public:
    Deployment();
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    void startStore();
    void startNode(const NodePlace &place);
    void startBackend(const BackendPlace &place);
    /// @brief Starts a relay from @p listen to @p target under a name.
    void startRelay(const std::string &name, const Endpoint &listen, const Endpoint &target);
    /// @brief Changes a relay; a relayed node's relay has the node's name. For instance {"mode":"silence"}.
    void relay(const std::string &name, const std::string &json) const;
    /// @brief A relay's mode and counts.
    boost::json::object relayState(const std::string &name) const;
    /// @brief Signs off and rolls out a bundle file, by absolute path or within the source tree; fails the test when refused.
    void rollOut(const std::string &bundleFile);
    /// @brief Waits until each node has a bundle in force and sees @p backends backend servers.
    void waitUntilReady(std::size_t backends);

    Process &node(const std::string &name) { return *m_nodes.at(name); }
    Process &backend(const std::string &name) { return *m_backends.at(name); }
    Process &store() { return *m_store; }
    void kill(const std::string &node) { m_nodes.erase(node); }
    /// @brief Ends a relay, so that a test can listen at its address.
    void killRelay(const std::string &name) { m_relays.erase(name); }
    void killBackend(const std::string &backend) { m_backends.erase(backend); }

    std::string storeAddress() const;
    Endpoint callers(const std::string &node) const;
    Endpoint backendsOf(const std::string &node) const;
    Endpoint peers(const std::string &node) const;
    /// @brief Address of a relayed node's relay, where other nodes hand over requests.
    Endpoint relayedPeers(const std::string &node) const;
    Endpoint gossip(const std::string &node) const;
    Endpoint admin(const std::string &node) const;
    Endpoint backendAddress(const std::string &backend) const;
    /// @brief First three numbers of this test's addresses.
    const std::string &net() const { return m_net; }
    /// @brief Text with this test's addresses replaced by NET.
    std::string scrubbed(std::string text) const;

    /// @brief Node's state dump; an empty object when it doesn't answer.
    boost::json::object dump(const std::string &node) const;
    /// @brief What all nodes logged about one request so far, one line each, with the node's name before it.
    std::string logLinesOf(const std::string &requestId) const;
    /// @brief Runs of each request id at a backend server, as it counted them.
    boost::json::object runs(const std::string &backend) const;
    /// @brief Changes a backend server's behaviour, for instance {"service_us":20000}.
    void behave(const std::string &backend, const std::string &json) const;
    /// @brief Sets the store's faults, for instance {"down":true}.
    void storeFaults(const std::string &json) const;

private:
    std::string address(const std::string &node) const;

    std::string m_net;
    std::map<std::string, int> m_numbers; ///< Last number of each node's address.
    std::map<std::string, std::string> m_backendNodes;
    std::map<std::string, int> m_backendPorts;
    std::unique_ptr<Process> m_store;
    std::map<std::string, std::unique_ptr<Process>> m_nodes;
    std::map<std::string, std::unique_ptr<Process>> m_backends;
    std::map<std::string, Endpoint> m_relayControls;
    std::map<std::string, std::unique_ptr<Process>> m_relays;
};

/// @brief Status and body of an answer; status 0 when there was none.
HttpReply ask(const Endpoint &endpoint, const HttpRequest &request);

/// @brief Bytes sent as they are, and all that came back until the other end closed or two seconds passed.
/// @param endAfter tells the other end that nothing more will come
std::string sendRaw(const Endpoint &endpoint, const std::string &bytes, bool endAfter = false);

} // namespace agatedoor::test
