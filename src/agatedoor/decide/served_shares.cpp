#include "agatedoor/decide/served_shares.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

/// Requests of a customer below which it is forgotten.
constexpr double leastAsked = 0.5;

void halve(ServedShare &share)
{
    share.asked /= 2;
    share.granted /= 2;
}

void age(ServedShares &shares, const ServedSharesOptions &options)
{
    const double window = std::max(options.minWindow, options.askedPerCustomer * static_cast<double>(shares.customers.size()));
    if (shares.all.asked < window) {
        return;
    }
    halve(shares.all);
    for (auto &[customer, share] : shares.customers) {
        halve(share);
    }
    std::erase_if(shares.customers, [](const auto &entry) { return entry.second.asked < leastAsked; });
}

} // namespace

void recordAsked(ServedShares &shares, const CustomerName &customer, const ServedSharesOptions &options)
{
    ++shares.customers[customer].asked;
    ++shares.all.asked;
    age(shares, options);
}

void recordGranted(ServedShares &shares, const CustomerName &customer)
{
    const auto found = shares.customers.find(customer);
    if (found != shares.customers.end()) {
        ++found->second.granted;
        ++shares.all.granted;
    }
}

bool servedTooLittle(const ServedShares &shares, const CustomerName &customer, const ServedSharesOptions &options)
{
    const auto found = shares.customers.find(customer);
    if (found == shares.customers.end() || found->second.asked < options.minAsked) {
        return false;
    }
    const ServedShare &own = found->second;
    const bool seldom = own.granted * shares.all.asked < options.leastShare * shares.all.granted * own.asked;
    const bool belowEqual = own.granted * static_cast<double>(shares.customers.size()) < shares.all.granted;
    return seldom && belowEqual;
}

} // namespace agatedoor
