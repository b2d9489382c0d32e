#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/priority.hpp"
#include "agatedoor/base/result.hpp"
#include "agatedoor/base/units.hpp"
#include "agatedoor/decide/routing.hpp"
#include "agatedoor/state/config_error.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// @brief Configuration bundle that operators release to the fleet: services, routes, budgets and limits.
namespace agatedoor {

/// @brief One service: how requests are balanced over its backend servers, and how these join and leave.
struct Service
{
    ServiceName name;
    RoutingPolicy routing = RoutingPolicy::PredictedCost;
    Duration warmUp = std::chrono::seconds(5); ///< Time over which a joining backend server ramps up to full weight.
    Duration drainLimit = std::chrono::seconds(30); ///< Maximum time that a leaving backend server has to finish its requests.
    std::string healthPath = {}; ///< Path at which a backend server reports its load without delay; empty when there is none.
    Connections connections{0}; ///< Maximum number of connections to one backend server; 0 uses the announced number.
    Duration coldTime{0}; ///< Time for which a backend server stays cold after its start; 0 when it is never cold.
    double coldRate = 0; ///< Requests per second that one cold backend server bears; 0 when there is no limit.
    int line = 0; ///< Line in the bundle, for error messages.
};

/// @brief Share of a route's requests that is sent to one service.
struct RouteShare
{
    ServiceName service;
    std::uint32_t weight = 1; ///< Relative to the weights of the route's other shares.
};

/// @brief Matches requests by host, method and path, and states how they are handled.
struct Route
{
    std::string host; ///< Host without port, lower case; empty matches every host.
    std::string method; ///< HTTP method, upper case; empty matches every method.
    std::string pathPrefix; ///< Leading path segments; the longest match wins.
    ServiceName service; ///< Receives all requests when there are no shares.
    std::vector<RouteShare> shares; ///< Weighted split between services; empty when there is only one.
    bool idempotent = false; ///< Whether a request may be sent again when it may already have run.
    bool open = false; ///< Requests need no API key.
    std::vector<RegionName> regions; ///< Regions that may serve the requests; empty when all may.
    PriorityClass priority = PriorityClass::Normal;
    Duration timeout = std::chrono::seconds(2); ///< Default time from arrival to deadline.
    Duration latencyTarget{0}; ///< Latency target, from arrival to answer; a later answer is worth less to the caller. 0 when none is set.
    int maxAttempts = 3; ///< Maximum number of backend servers that one request is sent to.
    Bytes bodyLimit{64 * 1024}; ///< Maximum size of a request body.
    int line = 0; ///< Line in the bundle, for error messages.
    RouteKey key = {}; ///< Set by BundleBuilder.
};

/// @brief A customer, whose callers identify themselves by an API key.
struct Customer
{
    CustomerName name;
    std::vector<KeyDigest> keys;
    std::optional<PriorityClass> priority; ///< Replaces that of the route.
    double requestsPerSecond = 0; ///< Quota over all nodes; 0 when there is none.
    double burst = 0; ///< Requests that the quota allows at once; 0 allows those of one second.
    std::vector<RegionName> regions; ///< Regions that may serve the requests; empty when all may.
    int line = 0; ///< Line in the bundle, for error messages.
};

/// @brief Limits on retries, hedges, measurement traffic and traffic between regions.
struct Budgets
{
    Percent retries{10}; ///< Retries and hedges, in percent of first attempts.
    BytesPerSecond measuring{2048}; ///< Measurement traffic that one node may send over network links.
    RequestsPerSecond probes{20}; ///< Probes that one node may send.
    BytesPerSecond crossRegion{1'000'000}; ///< Traffic that one node may send to other regions.
    int roomSearches = 0; ///< Additional backend servers tried after a refusal for load, without taking a retry token; each costs a hop.
    bool sizesByRoute = false; ///< Whether response sizes are told apart by route, and large responses stay near while there is room.
    bool hedges = true; ///< Whether a late idempotent request is also sent to a second backend server.
    Percent extraAttempts{0}; ///< Attempts against slow answers, in percent of first attempts; 0 makes none. They need no @ref hedges.
};

/// @brief Limits on callers' requests and connections.
struct CallerLimits
{
    Bytes header{16 * 1024}; ///< Maximum size of the request line and header.
    Duration idle = std::chrono::seconds(60); ///< Idle timeout of a caller's connection.
};

/// @brief Validated bundle.
struct Bundle
{
    std::vector<Service> services;
    std::vector<Route> routes;
    Budgets budgets;
    CallerLimits limits;
    std::optional<std::vector<Customer>> customers; ///< See @ref needsKeys; an empty list holds no valid key.
    std::unordered_map<KeyDigest, std::size_t> customerByKey = {}; ///< Index into customers; set by BundleBuilder.
};

/// @brief Assembles a bundle and validates it as a whole.
/// @example
///   auto bundle = BundleBuilder().service({{"orders"}}).route(browse).build();
class BundleBuilder
{
public:
    /// @brief Sets the file name that errors refer to.
    BundleBuilder &file(std::string name);
    BundleBuilder &service(Service service);
    BundleBuilder &route(Route route);
    /// @brief States that the bundle lists its customers, also when none is added.
    BundleBuilder &listCustomers();
    /// @brief Adds a customer, and with it the list.
    BundleBuilder &customer(Customer customer);
    BundleBuilder &budgets(Budgets budgets);
    BundleBuilder &limits(CallerLimits limits);
    /// @brief Accepts services without a route.
    BundleBuilder &allowUnrouted();
    /// @brief Accepts a bundle without services or routes, which serves nothing.
    BundleBuilder &allowEmpty();
    /// @brief Returns the bundle, or the first error found.
    Result<Bundle, ConfigError> build() const;

private:
    std::string m_file = "bundle";
    Bundle m_bundle;
    bool m_unroutedAllowed = false;
    bool m_emptyAllowed = false;
};

/// @brief Parses and validates the TOML text of a bundle.
/// @param file name used in errors
Result<Bundle, ConfigError> parseBundle(std::string_view text, std::string_view file);

/// @brief Computes the SHA-256 of a bundle's text.
BundleDigest digestOf(std::string_view text);

/// @brief Parts of a request that select its route.
struct RequestLine
{
    std::string_view host; ///< Value of the Host field; a port is ignored.
    std::string_view method;
    std::string_view target; ///< Path and query.
};

/// @brief Finds the route with the longest path prefix that matches a request; null when none matches.
const Route *matchRoute(const Bundle &bundle, const RequestLine &request);

/// @brief Chooses the service for one request of @p route, with a probability proportional to its weight.
/// @param draw uniform number in [0, 1)
const ServiceName &chooseShare(const Route &route, double draw);

/// @brief Digest under which an API key is kept and compared.
KeyDigest keyDigestOf(std::string_view key);

/// @brief Whether callers need an API key, but for open routes: the bundle lists its customers, be it none.
bool needsKeys(const Bundle &bundle);

/// @brief Customers of @p bundle; none when it doesn't list them.
std::span<const Customer> customersOf(const Bundle &bundle);

/// @brief Finds the customer that holds the API key with this digest; null when there is none.
const Customer *findCustomer(const Bundle &bundle, const KeyDigest &key);

/// @brief Finds the service with this name; null when there is none.
const Service *findService(const Bundle &bundle, const ServiceName &name);

/// @brief Maximum size of a bundle's text.
inline constexpr Bytes maxBundleSize{512 * 1024};

} // namespace agatedoor
