#include "customer_identity.hpp"

#include "agatedoor/decide/key_check.hpp"
#include "agatedoor/proxy/headers.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr std::string_view bearerScheme = "Bearer ";

/// API key in the request's Authorization field; empty when there is none.
std::string_view apiKeyOf(const StringRequest &request)
{
    const std::string_view credentials = header::text(request, "Authorization");
    const bool isBearer = beast::iequals(credentials.substr(0, bearerScheme.size()), bearerScheme);
    return isBearer ? credentials.substr(bearerScheme.size()) : std::string_view{};
}

const Customer *customerOf(const RequestContext &context)
{
    const std::string_view key = apiKeyOf(context.request);
    return key.empty() ? nullptr : findCustomer(context.bundle->bundle, keyDigestOf(key));
}

std::optional<Duration> bundleAge(const RequestContext &context)
{
    return context.bundleConfirmedAt ? std::optional<Duration>(context.bundleTakenAt - *context.bundleConfirmedAt) : std::nullopt;
}

bool allows(const std::vector<RegionName> &regions, const RegionName &region)
{
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

Reason identifyCustomer(RequestContext &context)
{
    context.priority = context.route->priority;
    if (!needsKeys(context.bundle->bundle)) {
        return Reason::None;
    }
    context.customer = customerOf(context);
    const KeyContext view{.keyNeeded = !context.route->open, .customerKnown = context.customer != nullptr, .bundleAge = bundleAge(context)};
    KeyCheckOptions options;
    options.revokeLimit = context.worker.node.settings.revokeLimit;
    switch (checkKey(view, options)) {
    case KeyVerdict::RefuseUnknown:
        return Reason::UnknownKey;
    case KeyVerdict::RefuseOutdated:
        return Reason::BundleOutdated;
    case KeyVerdict::Serve:
        break;
    }
    if (context.customer != nullptr) {
        context.priority = context.customer->priority.value_or(context.route->priority);
    }
    return Reason::None;
}

void setCustomerHeaders(RequestContext &context)
{
    if (!needsKeys(context.bundle->bundle)) {
        return;
    }
    const std::string &field = context.worker.node.edge.customer;
    context.request.erase(http::field::authorization);
    context.request.erase(field);
    if (context.customer != nullptr) {
        context.request.set(field, context.customer->name.value);
    }
}

bool mayRunIn(const RequestContext &context, const RegionName &region)
{
    return allows(context.route->regions, region) && (context.customer == nullptr || allows(context.customer->regions, region));
}

} // namespace agatedoor
