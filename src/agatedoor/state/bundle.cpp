#include "agatedoor/state/bundle.hpp"

#include "agatedoor/state/sha256.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

namespace agatedoor {

namespace {

/// Safe methods are idempotent by the HTTP standard: callers and proxies may repeat them, whatever the bundle declares.
bool safeMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

/// Matches whole path segments: `/a` matches `/a` and `/a/b`, not `/ab`.
bool prefixMatches(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string_view hostOf(std::string_view field)
{
    return field.substr(0, field.find(':'));
}

/// Compares without regard to case; an empty @p wanted matches every host.
bool sameHost(std::string_view wanted, std::string_view field)
{
    const auto same = [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); };
    return wanted.empty() || std::equal(wanted.begin(), wanted.end(), field.begin(), field.end(), same);
}

bool routesTo(const Route &route, const ServiceName &service)
{
    const auto shares = [&service](const RouteShare &share) { return share.service == service; };
    return route.service == service || std::any_of(route.shares.begin(), route.shares.end(), shares);
}

ConfigError errorAt(const std::string &file, int line, ConfigErrorKind kind, std::string key, std::string found, std::string allowed)
{
    return {kind, file, line, std::move(key), std::move(found), std::move(allowed)};
}

Result<Done, ConfigError> checkNotEmpty(const std::string &file, const Bundle &bundle)
{
    if (bundle.services.empty()) {
        return errorAt(file, 1, ConfigErrorKind::Empty, "service", "no service", "at least one service");
    }
    if (bundle.routes.empty()) {
        return errorAt(file, 1, ConfigErrorKind::Empty, "route", "no route", "at least one route");
    }
    return Done{};
}

Result<Done, ConfigError> checkServices(const std::string &file, const Bundle &bundle)
{
    std::set<ServiceName> names;
    for (const auto &service : bundle.services) {
        if (!names.insert(service.name).second) {
            return errorAt(file, service.line, ConfigErrorKind::Duplicate, "service.name", service.name.value, "each service once");
        }
    }
    return Done{};
}

Result<Done, ConfigError> checkRoute(const std::string &file, const Bundle &bundle, const Route &route)
{
    if (findService(bundle, route.service) == nullptr) {
        return errorAt(file, route.line, ConfigErrorKind::Contradiction, "route.service", route.service.value, "a service of this bundle");
    }
    for (const auto &share : route.shares) {
        if (findService(bundle, share.service) == nullptr) {
            return errorAt(file, route.line, ConfigErrorKind::Contradiction, "route.share.service", share.service.value, "a service of this bundle");
        }
    }
    if (!route.pathPrefix.starts_with('/')) {
        return errorAt(file, route.line, ConfigErrorKind::BadValue, "route.path", route.pathPrefix, "a path that starts with /");
    }
    if (safeMethod(route.method) && !route.idempotent) {
        return errorAt(file, route.line, ConfigErrorKind::Contradiction, "route.idempotent", "false", "true for " + route.method);
    }
    return Done{};
}

Result<Done, ConfigError> checkRoutes(const std::string &file, const Bundle &bundle)
{
    std::set<std::tuple<std::string, std::string, std::string>> seen;
    for (const auto &route : bundle.routes) {
        BOOST_OUTCOME_TRYV2(auto &&, checkRoute(file, bundle, route));
        if (!seen.insert({route.host, route.method, route.pathPrefix}).second) {
            return errorAt(file, route.line, ConfigErrorKind::Duplicate, "route.path", route.method + " " + route.pathPrefix,
                           "each host, method and path once");
        }
    }
    return Done{};
}

Result<Done, ConfigError> checkServicesRouted(const std::string &file, const Bundle &bundle)
{
    for (const auto &service : bundle.services) {
        const auto routed = [&service](const Route &route) { return routesTo(route, service.name); };
        if (std::none_of(bundle.routes.begin(), bundle.routes.end(), routed)) {
            return errorAt(file, service.line, ConfigErrorKind::Contradiction, "service.name", service.name.value, "a service with a route");
        }
    }
    return Done{};
}

Result<Done, ConfigError> checkCustomers(const std::string &file, const Bundle &bundle)
{
    std::set<CustomerName> names;
    std::set<KeyDigest> keys;
    for (const auto &customer : customersOf(bundle)) {
        if (!names.insert(customer.name).second) {
            return errorAt(file, customer.line, ConfigErrorKind::Duplicate, "customer.name", customer.name.value, "each customer once");
        }
        for (const auto &key : customer.keys) {
            if (!keys.insert(key).second) {
                return errorAt(file, customer.line, ConfigErrorKind::Duplicate, "customer.keys", "a key of " + customer.name.value, "each key once");
            }
        }
    }
    return Done{};
}

/// Hash of what identifies the route, from 1 to the greatest that fits into two bytes, since it is sent with every request.
RouteKey keyOf(const Route &route)
{
    constexpr std::uint64_t keys = 65'535;
    const std::string identity = route.method + " " + route.host + route.pathPrefix;
    return {XXH3_64bits(identity.data(), identity.size()) % keys + 1};
}

} // namespace

BundleBuilder &BundleBuilder::file(std::string name)
{
    m_file = std::move(name);
    return *this;
}

BundleBuilder &BundleBuilder::service(Service service)
{
    m_bundle.services.push_back(std::move(service));
    return *this;
}

BundleBuilder &BundleBuilder::route(Route route)
{
    route.key = keyOf(route);
    m_bundle.routes.push_back(std::move(route));
    return *this;
}

BundleBuilder &BundleBuilder::listCustomers()
{
    if (!m_bundle.customers) {
        m_bundle.customers.emplace();
    }
    return *this;
}

BundleBuilder &BundleBuilder::customer(Customer customer)
{
    listCustomers();
    const std::size_t index = m_bundle.customers->size();
    for (const auto &key : customer.keys) {
        m_bundle.customerByKey.emplace(key, index);
    }
    m_bundle.customers->push_back(std::move(customer));
    return *this;
}

BundleBuilder &BundleBuilder::budgets(Budgets budgets)
{
    m_bundle.budgets = budgets;
    return *this;
}

BundleBuilder &BundleBuilder::limits(CallerLimits limits)
{
    m_bundle.limits = limits;
    return *this;
}

BundleBuilder &BundleBuilder::allowUnrouted()
{
    m_unroutedAllowed = true;
    return *this;
}

BundleBuilder &BundleBuilder::allowEmpty()
{
    m_emptyAllowed = true;
    return *this;
}

Result<Bundle, ConfigError> BundleBuilder::build() const
{
    if (!m_emptyAllowed) {
        BOOST_OUTCOME_TRYV2(auto &&, checkNotEmpty(m_file, m_bundle));
    }
    BOOST_OUTCOME_TRYV2(auto &&, checkServices(m_file, m_bundle));
    BOOST_OUTCOME_TRYV2(auto &&, checkRoutes(m_file, m_bundle));
    BOOST_OUTCOME_TRYV2(auto &&, checkCustomers(m_file, m_bundle));
    if (!m_unroutedAllowed) {
        BOOST_OUTCOME_TRYV2(auto &&, checkServicesRouted(m_file, m_bundle));
    }
    return m_bundle;
}

BundleDigest digestOf(std::string_view text)
{
    return {sha256Hex(text)};
}

const Route *matchRoute(const Bundle &bundle, const RequestLine &request)
{
    const std::string_view path = pathOf(request.target);
    const std::string_view host = hostOf(request.host);
    const Route *best = nullptr;
    for (const auto &route : bundle.routes) {
        const bool method = route.method.empty() || route.method == request.method;
        if (!method || !prefixMatches(route.pathPrefix, path) || !sameHost(route.host, host)) {
            continue;
        }
        if (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size()) {
            best = &route;
        }
    }
    return best;
}

const ServiceName &chooseShare(const Route &route, double draw)
{
    if (route.shares.empty()) {
        return route.service;
    }
    const auto add = [](double sum, const RouteShare &share) { return sum + share.weight; };
    double remaining = draw * std::accumulate(route.shares.begin(), route.shares.end(), 0.0, add);
    for (const auto &share : route.shares) {
        remaining -= share.weight;
        if (remaining < 0) {
            return share.service;
        }
    }
    return route.shares.back().service;
}

KeyDigest keyDigestOf(std::string_view key)
{
    return {sha256Hex(key)};
}

bool needsKeys(const Bundle &bundle)
{
    return bundle.customers.has_value();
}

std::span<const Customer> customersOf(const Bundle &bundle)
{
    return bundle.customers ? std::span<const Customer>(*bundle.customers) : std::span<const Customer>();
}

const Customer *findCustomer(const Bundle &bundle, const KeyDigest &key)
{
    const auto found = bundle.customerByKey.find(key);
    return found == bundle.customerByKey.end() ? nullptr : &customersOf(bundle)[found->second];
}

const Service *findService(const Bundle &bundle, const ServiceName &name)
{
    const auto found = std::find_if(bundle.services.begin(), bundle.services.end(), [&name](const Service &service) { return service.name == name; });
    return found == bundle.services.end() ? nullptr : &*found;
}

} // namespace agatedoor
