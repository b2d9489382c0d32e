#include "agatedoor/state/bundle.hpp"
#include "toml_table.hpp"

#include <algorithm>
#include <array>

namespace agatedoor {

namespace {

constexpr std::int64_t maxTimeoutMs = 600'000;
constexpr std::int64_t maxBodyBytes = 8LL * 1024 * 1024;
constexpr std::int64_t maxWeight = 1'000'000;
constexpr std::int64_t maxAttempts = 10;
constexpr std::int64_t maxRate = 1'000'000'000;
constexpr std::size_t digestDigits = 64; ///< Hexadecimal digits of a SHA-256.
constexpr std::array methods{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"};

Duration milliseconds(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

std::string routingWords()
{
    std::string words;
    for (const auto policy : {RoutingPolicy::RoundRobin, RoutingPolicy::LeastRequests, RoutingPolicy::PredictedCost}) {
        words += (words.empty() ? "" : ", ") + std::string(wireName(policy));
    }
    return "one of " + words;
}

Result<Service, ConfigError> readService(const toml::table &table, const std::string &file)
{
    TomlTable reader(table, file, "service");
    Service service;
    service.line = reader.line();
    service.name = {reader.text("name")};
    const std::string routing = reader.textOr("routing", std::string(wireName(service.routing)));
    const auto policy = routingPolicyFromWire(routing);
    if (!policy) {
        reader.reject("routing", ConfigErrorKind::BadValue, routing, routingWords());
    }
    service.routing = policy.value_or(service.routing);
    service.healthPath = reader.textOr("health_path", "");
    service.warmUp = milliseconds(reader.integerOr("warm_up_ms", 5'000, 0, maxTimeoutMs));
    service.drainLimit = milliseconds(reader.integerOr("drain_limit_ms", 30'000, 0, maxTimeoutMs));
    service.coldTime = milliseconds(reader.integerOr("cold_ms", 0, 0, maxTimeoutMs));
    service.coldRate = reader.numberOr("cold_requests_per_second", 0, 0, maxRate);
    reader.rejectUnknownKeys();
    if (reader.error()) {
        return *reader.error();
    }
    return service;
}

Result<RouteShare, ConfigError> readShare(const toml::table &table, const std::string &file)
{
    TomlTable reader(table, file, "route.share");
    RouteShare share;
    share.service = {reader.text("service")};
    share.weight = static_cast<std::uint32_t>(reader.integerOr("weight", 1, 0, maxWeight));
    reader.rejectUnknownKeys();
    if (reader.error()) {
        return *reader.error();
    }
    return share;
}

/// Without the key all regions are allowed, so a list without any would allow what its writer meant to forbid.
std::vector<RegionName> readRegions(TomlTable &reader)
{
    std::vector<RegionName> regions;
    if (!reader.has("regions")) {
        return regions;
    }
    for (auto &name : reader.texts("regions")) {
        regions.push_back({std::move(name)});
    }
    if (regions.empty()) {
        reader.reject("regions", ConfigErrorKind::Empty, "no region", "at least one region, or no list");
    }
    return regions;
}

bool isKeyDigest(std::string_view text)
{
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == digestDigits && std::all_of(text.begin(), text.end(), isDigit);
}

Result<Route, ConfigError> readRoute(const toml::table &table, const std::string &file)
{
    TomlTable reader(table, file, "route");
    Route route;
    route.line = reader.line();
    route.host = reader.textOr("host", "");
    route.method = reader.text("method");
    if (std::find(methods.begin(), methods.end(), route.method) == methods.end()) {
        reader.reject("method", ConfigErrorKind::BadValue, route.method, "one of GET, HEAD, OPTIONS, PUT, DELETE, POST, PATCH");
    }
    route.pathPrefix = reader.text("path");
    route.service = {reader.text("service")};
    route.idempotent = reader.boolean("idempotent");
    const std::string priority = reader.textOr("priority", "normal");
    const auto priorityClass = priorityFromWire(priority);
    if (!priorityClass) {
        reader.reject("priority", ConfigErrorKind::BadValue, priority, "one of low, normal, high");
    }
    route.priority = priorityClass.value_or(PriorityClass::Normal);
    route.timeout = milliseconds(reader.integerOr("timeout_ms", 2'000, 1, maxTimeoutMs));
    route.maxAttempts = static_cast<int>(reader.integerOr("max_attempts", 3, 1, maxAttempts));
    route.open = reader.has("open") && reader.boolean("open");
    route.regions = readRegions(reader);
    route.bodyLimit = {reader.integerOr("body_limit_bytes", 64LL * 1024, 0, maxBodyBytes)};
    for (const toml::table *share : reader.tables("share")) {
        BOOST_OUTCOME_TRY(RouteShare read, readShare(*share, file));
        route.shares.push_back(std::move(read));
    }
    reader.rejectUnknownKeys();
    if (reader.error()) {
        return *reader.error();
    }
    return route;
}

Result<Customer, ConfigError> readCustomer(const toml::table &table, const std::string &file)
{
    TomlTable reader(table, file, "customer");
    Customer customer;
    customer.line = reader.line();
    customer.name = {reader.text("name")};
    for (auto &digest : reader.texts("key_digests")) {
        if (!isKeyDigest(digest)) {
            reader.reject("key_digests", ConfigErrorKind::BadValue, "another text", "SHA-256 digests in lower-case hexadecimal");
        }
        customer.keys.push_back({std::move(digest)});
    }
    if (reader.has("priority")) {
        const std::string priority = reader.text("priority");
        customer.priority = priorityFromWire(priority);
        if (!customer.priority) {
            reader.reject("priority", ConfigErrorKind::BadValue, priority, "one of low, normal, high");
        }
    }
    customer.requestsPerSecond = reader.numberOr("requests_per_second", 0, 0, maxRate);
    customer.burst = reader.numberOr("burst", 0, 0, maxRate);
    customer.regions = readRegions(reader);
    reader.rejectUnknownKeys();
    if (reader.error()) {
        return *reader.error();
    }
    return customer;
}

Result<Budgets, ConfigError> readBudgets(const toml::table &table, const std::string &file)
{
    TomlTable reader(table, file, "budgets");
    Budgets budgets;
    budgets.retries = {reader.integerOr("retry_percent", budgets.retries.value, 0, 100)};
    budgets.roomSearches = static_cast<int>(reader.integerOr("room_searches", budgets.roomSearches, 0, maxAttempts));
    budgets.extraAttempts = {reader.integerOr("extra_attempts_percent", budgets.extraAttempts.value, 0, 100)};
    budgets.sizesByRoute = reader.has("sizes_by_route") && reader.boolean("sizes_by_route");
    budgets.measuring = {reader.integerOr("measuring_bytes_per_second", budgets.measuring.value, 0, maxRate)};
    budgets.probes = {reader.integerOr("probes_per_second", budgets.probes.value, 0, maxRate)};
    budgets.crossRegion = {reader.integerOr("cross_region_bytes_per_second", budgets.crossRegion.value, 0, maxRate)};
    reader.rejectUnknownKeys();
    if (reader.error()) {
        return *reader.error();
    }
    return budgets;
}

} // namespace

Result<Bundle, ConfigError> parseBundle(std::string_view text, std::string_view file)
{
    const std::string name(file);
    if (static_cast<std::int64_t>(text.size()) > maxBundleSize.value) {
        const std::string allowed = "at most " + std::to_string(maxBundleSize.value) + " bytes";
        return ConfigError{ConfigErrorKind::TooLarge, name, 0, "", std::to_string(text.size()) + " bytes", allowed};
    }
    BOOST_OUTCOME_TRY(const toml::table root, parseToml(text, file));
    TomlTable reader(root, name, "");
    BundleBuilder builder;
    builder.file(name);
    for (const toml::table *table : reader.tables("service")) {
        BOOST_OUTCOME_TRY(Service service, readService(*table, name));
        builder.service(std::move(service));
    }
    for (const toml::table *table : reader.tables("route")) {
        BOOST_OUTCOME_TRY(Route route, readRoute(*table, name));
        builder.route(std::move(route));
    }
    if (reader.has("customer")) {
        builder.listCustomers();
    }
    for (const toml::table *table : reader.tables("customer")) {
        BOOST_OUTCOME_TRY(Customer customer, readCustomer(*table, name));
        builder.customer(std::move(customer));
    }
    if (const toml::table *table = reader.table("budgets")) {
        BOOST_OUTCOME_TRY(const Budgets budgets, readBudgets(*table, name));
        builder.budgets(budgets);
    }
    reader.rejectUnknownKeys();
    if (reader.error()) {
        return *reader.error();
    }
    return builder.build();
}

} // namespace agatedoor
