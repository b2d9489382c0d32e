#include "agatedoor/decide/quota_stock.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace agatedoor {

namespace {

/// Drops the tokens that have lapsed; they go back to the granter.
void dropLapsed(CustomerStock &customer, BootTime now)
{
    while (!customer.tokens.empty() && customer.tokens.front().until <= now) {
        customer.returned += customer.tokens.front().count;
        customer.tokens.pop_front();
    }
}

std::uint32_t countOf(const CustomerStock &customer)
{
    const auto add = [](std::uint32_t sum, const StockTokens &tokens) { return sum + tokens.count; };
    return std::accumulate(customer.tokens.begin(), customer.tokens.end(), std::uint32_t{0}, add);
}

/// Tokens that the requests of the next interval probably need, one more so that the first of a few finds one.
std::uint32_t reserveOf(const CustomerStock &customer, const QuotaStockOptions &options, BootTime now)
{
    if (now - customer.usedAt > options.activeTime) {
        return 0;
    }
    const auto expected = static_cast<std::uint32_t>(std::ceil(customer.demand)) + 1;
    const std::uint32_t held = countOf(customer);
    return expected > held ? expected - held : 0;
}

} // namespace

TokenAnswer takeToken(QuotaStock &stock, CustomerKey key, BootTime now)
{
    CustomerStock &customer = stock.customers[key];
    customer.usedAt = now;
    dropLapsed(customer, now);
    if (customer.tokens.empty() && now < customer.emptyUntil) {
        ++customer.refused;
        return TokenAnswer::Exceeded;
    }
    if (customer.tokens.empty()) {
        return TokenAnswer::Ask;
    }
    ++customer.taken;
    ++customer.used;
    if (--customer.tokens.front().count == 0) {
        customer.tokens.pop_front();
    }
    return TokenAnswer::Taken;
}

Duration returnSpread(const QuotaStock &stock, CustomerKey key, const QuotaStockOptions &options)
{
    const auto found = stock.customers.find(key);
    const double excess = found == stock.customers.end() ? 0 : found->second.excess;
    const auto spread = std::chrono::duration_cast<Duration>(options.spreadPerExcess * excess);
    return std::clamp(spread, options.leastSpread, options.longestSpread);
}

void putBack(QuotaStock &stock, CustomerKey key, const HeldToken &token, BootTime now)
{
    if (token.granterChange != stock.granterChange) {
        return;
    }
    CustomerStock &customer = stock.customers[key];
    customer.used -= customer.used > 0 ? 1 : 0;
    if (token.until <= now) {
        ++customer.returned;
        return;
    }
    const auto later = std::find_if(customer.tokens.begin(), customer.tokens.end(), [&token](const StockTokens &tokens) { return tokens.until > token.until; });
    customer.tokens.insert(later, {token.until, 1});
}

HeldToken nextToken(const QuotaStock &stock, CustomerKey customer, BootTime now)
{
    const auto found = stock.customers.find(customer);
    if (found == stock.customers.end()) {
        return {now, stock.granterChange};
    }
    const auto &tokens = found->second.tokens;
    const auto next = std::find_if(tokens.begin(), tokens.end(), [now](const StockTokens &entry) { return entry.until > now; });
    return {next == tokens.end() ? now : next->until, stock.granterChange};
}

std::vector<QuotaNeed> needsOf(QuotaStock &stock, bool regular, BootTime now, const QuotaStockOptions &options)
{
    std::vector<QuotaNeed> needs;
    for (auto &[key, customer] : stock.customers) {
        dropLapsed(customer, now);
        if (regular) {
            const double excess = static_cast<double>(customer.refused) / std::max(customer.taken, 1U);
            customer.excess += options.demandWeight * (excess - customer.excess);
            customer.demand += options.demandWeight * (customer.taken - customer.demand);
            customer.taken = 0;
            customer.refused = 0;
            customer.asked = 0; // A reply that hasn't come by now may be lost.
        }
        const std::uint32_t wanted = customer.waiting > customer.asked ? customer.waiting - customer.asked : 0;
        customer.asked += wanted;
        QuotaNeed need{key, wanted, 0, std::exchange(customer.returned, 0), std::exchange(customer.used, 0)};
        need.reserve = regular || need.wanted > 0 ? reserveOf(customer, options, now) : 0;
        if (need.wanted > 0 || need.reserve > 0 || need.returned > 0 || need.used > 0) {
            needs.push_back(need);
        }
    }
    if (regular) {
        const auto unused = [&](const auto &entry) {
            const CustomerStock &customer = entry.second;
            return customer.tokens.empty() && customer.waiting == 0 && now - customer.usedAt > options.activeTime && now >= customer.emptyUntil;
        };
        std::erase_if(stock.customers, unused);
    }
    return needs;
}

void addTokens(QuotaStock &stock, const QuotaGrant &grant, BootTime until, BootTime now)
{
    CustomerStock &customer = stock.customers[grant.customer];
    customer.asked = 0;
    if (grant.tokens > 0 && until > now) {
        const auto later = std::find_if(customer.tokens.begin(), customer.tokens.end(), [until](const StockTokens &tokens) { return tokens.until > until; });
        customer.tokens.insert(later, {until, grant.tokens});
    }
    customer.emptyUntil = grant.nextIn > std::chrono::milliseconds(0) ? now + grant.nextIn : now;
}

void dropTokens(QuotaStock &stock)
{
    ++stock.granterChange;
    for (auto &[key, customer] : stock.customers) {
        customer.tokens.clear();
        customer.asked = 0;
        customer.returned = 0;
        customer.used = 0;
        customer.emptyUntil = {};
    }
}

} // namespace agatedoor
