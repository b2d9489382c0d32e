#include "agatedoor/membership/quota_exchange.hpp"

#include "membership_gossip.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr std::string_view purpose = "quota";

/// Times that depend on the size of the fleet.
struct QuotaTimes
{
    Duration period{0};
    Duration loan{0};
    Duration token{0};
};

QuotaTimes timesOf(const QuotaExchangeOptions &options, std::size_t members)
{
    const std::chrono::duration<double> spread(static_cast<double>(members) / options.reportsPerSecond);
    const Duration period = std::max(options.minPeriod, std::chrono::duration_cast<Duration>(spread));
    return {period, period * options.loanPeriods, period * options.tokenPeriods};
}

std::chrono::milliseconds inMilliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

std::chrono::microseconds clockOf(BootTime now)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch());
}

bool mayBeGranter(const QuotaExchange &exchange, const NodeId &node, const MemberEntry &entry)
{
    return present(entry.status) && !entry.record.stopping && !exchange.avoided.contains(node);
}

/// Keeps in mind since when the process of each member is known.
void lookAtMembers(QuotaExchange &exchange, const Membership &membership, BootTime now)
{
    std::erase_if(exchange.avoided, [now](const auto &entry) { return entry.second <= now; });
    std::erase_if(exchange.takenReports, [&membership](const auto &entry) { return !membership.table.members.contains(entry.first); });
    std::erase_if(exchange.seen, [&membership](const auto &entry) { return !membership.table.members.contains(entry.first); });
    for (const auto &[node, entry] : membership.table.members) {
        SeenProcess &seen = exchange.seen.try_emplace(node, SeenProcess{entry.record.incarnation, now}).first->second;
        if (seen.incarnation != entry.record.incarnation) {
            seen = {entry.record.incarnation, now};
        }
    }
}

/// A process that starts beside others has no loans yet, and may know too few members to grant.
bool isMature(const QuotaExchange &exchange, const NodeId &node, BootTime now)
{
    const BootTime since = exchange.seen.at(node).since;
    return since <= exchange.startedAt + exchange.options.firstLook || since + exchange.options.matureTime <= now;
}

/// The first member that may be a granter, in an order that all nodes agree on; of those that are known for long, if there is one.
NodeId preferredGranter(const QuotaExchange &exchange, const Membership &membership, BootTime now)
{
    std::vector<NodeId> mature;
    std::vector<NodeId> others;
    for (const auto &[node, entry] : membership.table.members) {
        if (mayBeGranter(exchange, node, entry)) {
            (isMature(exchange, node, now) ? mature : others).push_back(node);
        }
    }
    const auto chosen = rendezvous(mature.empty() ? others : mature, purpose, 1);
    return chosen.empty() ? NodeId{} : chosen.front();
}

/// The present granter, which still answers, goes on until its loan is over: the next one has no loans before.
bool mustHandOver(const QuotaExchange &exchange, const Membership &membership, BootTime now)
{
    const auto found = membership.table.members.find(exchange.granter);
    const bool goesOn = found != membership.table.members.end() && mayBeGranter(exchange, exchange.granter, found->second);
    return goesOn && exchange.lastLentTo == exchange.granter && now < exchange.lentUntil;
}

void chooseGranter(QuotaExchange &exchange, const Membership &membership, QuotaStock &stock, BootTime now)
{
    if (exchange.unanswered >= exchange.options.maxUnanswered) {
        exchange.avoided[exchange.granter] = now + exchange.options.avoidTime;
        exchange.unanswered = 0;
    }
    lookAtMembers(exchange, membership, now);
    const NodeId preferred = preferredGranter(exchange, membership, now);
    exchange.handingOver = preferred != exchange.granter && mustHandOver(exchange, membership, now);
    if (preferred == exchange.granter || exchange.handingOver) {
        return;
    }
    exchange.granter = preferred;
    exchange.lendFrom.reset();
    exchange.tokensUntil.clear();
    exchange.unanswered = 0;
    exchange.reportedAt = {};
    dropTokens(stock);
}

/// Lends the share from the granter's last reply on, if no other granter may still have it, nor one that an earlier process lent it to.
void lend(QuotaExchange &exchange, const Membership &membership, const QuotaTimes &times, PeerMessage &report, BootTime now)
{
    exchange.longestLoan = std::max(exchange.longestLoan, times.loan);
    const bool earlierLoanIsOver = membership.joined && now >= exchange.startedAt + exchange.longestLoan;
    if (!exchange.lendFrom || exchange.handingOver || !earlierLoanIsOver) {
        return;
    }
    const bool extends = exchange.lastLentTo == exchange.granter;
    if (!extends && now < exchange.lentUntil) {
        return;
    }
    report.granterTime = *exchange.lendFrom;
    report.loan = inMilliseconds(times.loan);
    exchange.lentUntil = std::max(exchange.lentUntil, exchange.lendFromAt + times.loan);
    exchange.lastLentTo = exchange.granter;
}

bool anyWaits(const QuotaStock &stock)
{
    return std::any_of(stock.customers.begin(), stock.customers.end(), [](const auto &entry) { return entry.second.waiting > 0; });
}

void dropOldReports(QuotaExchange &exchange, BootTime now)
{
    std::erase_if(exchange.tokensUntil, [now](const auto &entry) { return entry.second <= now; });
}

/// A granter needs to know the members: one that has just started knows too few, and its share of them would be too great.
bool mayGrant(const QuotaExchange &exchange, const Membership &membership, BootTime now)
{
    return membership.joined && now >= exchange.startedAt + exchange.options.settleTime;
}

/// A loan begins in the past, so neither one that is over already nor one that begins later counts.
void takeLoan(QuotaExchange &exchange, const PeerMessage &report, BootTime now)
{
    const BootTime from = BootTime(std::chrono::duration_cast<Duration>(report.granterTime.at));
    if (report.granterTime.process == exchange.process && from <= now && from + report.loan > now) {
        recordLoan(exchange.pool, report.from, from + report.loan);
    }
}

/// Whether @p node has a share. Others aren't kept in mind, so that messages can't fill the memory.
bool isMember(const Membership &membership, const NodeId &node)
{
    const auto found = membership.table.members.find(node);
    return found != membership.table.members.end() && found->second.status != MemberStatus::Left;
}

/// False for a report that was taken before, or that may have been.
bool takeOnce(TakenReports &taken, std::uint64_t sequence)
{
    constexpr std::uint64_t bits = 64;
    if (sequence > taken.newest) {
        const std::uint64_t step = sequence - taken.newest;
        taken.mask = step < bits ? (taken.mask << step) | 1 : 1;
        taken.newest = sequence;
        return true;
    }
    const std::uint64_t below = taken.newest - sequence;
    const std::uint64_t bit = below < bits ? std::uint64_t{1} << below : 0;
    if (bit == 0 || (taken.mask & bit) != 0) {
        return false;
    }
    taken.mask |= bit;
    return true;
}

} // namespace

QuotaExchange startQuotaExchange(const QuotaExchangeOptions &options, std::uint64_t process, BootTime now)
{
    QuotaExchange exchange;
    exchange.options = options;
    exchange.process = process;
    exchange.startedAt = now;
    exchange.lastSequence = process; // Later processes of a node begin with greater numbers.
    return exchange;
}

std::size_t quotaMembers(const Membership &membership)
{
    const auto counts = [](const auto &entry) { return entry.second.status != MemberStatus::Left; };
    return static_cast<std::size_t>(std::count_if(membership.table.members.begin(), membership.table.members.end(), counts));
}

std::optional<QuotaMessage> dueQuotaReport(QuotaExchange &exchange, const Membership &membership, QuotaStock &stock, BootTime now)
{
    const QuotaTimes times = timesOf(exchange.options, quotaMembers(membership));
    dropOldReports(exchange, now);
    const bool regular = now >= exchange.reportedAt + times.period;
    const bool asks = anyWaits(stock) && now >= exchange.askedAt + exchange.options.askInterval;
    if (!regular && !asks) {
        return std::nullopt;
    }
    chooseGranter(exchange, membership, stock, now);
    const auto found = membership.table.members.find(exchange.granter);
    if (found == membership.table.members.end()) {
        return std::nullopt;
    }
    QuotaMessage report{exchange.granter, found->second.record.gossip, makeMessage(membership, PeerMessageKind::QuotaReport)};
    report.message.sequence = ++exchange.lastSequence;
    report.message.tokenTime = inMilliseconds(times.token);
    report.message.needs = needsOf(stock, regular, now);
    lend(exchange, membership, times, report.message, now);
    exchange.tokensUntil[report.message.sequence] = now + report.message.tokenTime;
    exchange.askedAt = now;
    if (regular) {
        exchange.reportedAt = now;
        ++exchange.unanswered;
    }
    return report;
}

std::optional<QuotaMessage> answerQuotaReport(QuotaExchange &exchange, const Membership &membership, const PeerMessage &report, const QuotaFinder &find,
                                              BootTime now)
{
    QuotaMessage reply{report.from, report.replyTo, makeMessage(membership, PeerMessageKind::QuotaReply)};
    reply.message.sequence = report.sequence;
    reply.message.granterTime = {exchange.process, clockOf(now)};
    if (!isMember(membership, report.from)) {
        return reply; // It has just joined: it keeps this granter, which will have heard of it by the next report.
    }
    if (!takeOnce(exchange.takenReports[report.from], report.sequence)) {
        return std::nullopt;
    }
    advancePool(exchange.pool, quotaMembers(membership), now);
    takeLoan(exchange, report, now);
    if (!mayGrant(exchange, membership, now)) {
        return reply;
    }
    for (const auto &need : report.needs) {
        if (const auto quota = find(need.customer)) {
            reply.message.grants.push_back(grantTokens(exchange.pool, need, *quota, report.tokenTime, now));
        }
    }
    return reply;
}

bool takeQuotaReply(QuotaExchange &exchange, const PeerMessage &reply, QuotaStock &stock, BootTime now)
{
    const auto asked = exchange.tokensUntil.find(reply.sequence);
    if (asked == exchange.tokensUntil.end() || reply.from != exchange.granter) {
        return false;
    }
    const BootTime until = asked->second;
    exchange.tokensUntil.erase(asked);
    exchange.unanswered = 0;
    exchange.lendFrom = reply.granterTime;
    exchange.lendFromAt = now;
    for (const auto &grant : reply.grants) {
        addTokens(stock, grant, until, now);
    }
    return true;
}

} // namespace agatedoor
