#pragma once

#include "agatedoor/decide/quota_stock.hpp"
#include "agatedoor/membership/membership.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

/// @brief How quotas hold over the fleet: each node lends its share of all quotas to one granter at a time, and gets tokens from it.
///
/// A loan is stated in the granter's own time: the granter says in each reply when it was sent, the node's next report lends from that time on, and the node
/// counts the loan from when the reply arrived. So for the granter it is over before it is for the node, however long the messages took. A granted token counts
/// for the node from when it asked, and for the granter from when it replied. Functions over plain state with injected time.
namespace agatedoor {

/// @brief Intervals and limits of the exchange.
struct QuotaExchangeOptions
{
    Duration minPeriod = std::chrono::milliseconds(400); ///< Between the regular reports of a node.
    double reportsPerSecond = 150; ///< Regular ones that a granter takes; the period grows with the fleet accordingly.
    int loanPeriods = 4; ///< Time of a loan in periods.
    int tokenPeriods = 2; ///< Time of a token in periods.
    Duration askInterval = std::chrono::milliseconds(10); ///< Between reports for requests that wait.
    std::size_t maxUnanswered = 3; ///< After as many reports without a reply another member is asked.
    Duration avoidTime = std::chrono::seconds(10); ///< For which that one is not asked. By then the members know whether it is dead.
    Duration matureTime = std::chrono::seconds(5); ///< A process that starts beside others becomes a granter only when it is known for this time.
    Duration firstLook = std::chrono::seconds(3); ///< The members that a node sees in its first moments count as known for long.
    Duration settleTime = std::chrono::seconds(2); ///< From its start a node knows too few members to grant.
};

/// @brief Quota of a customer; none when it has none.
using QuotaFinder = std::function<std::optional<Quota>(CustomerKey)>;

/// @brief When a node first saw the present process of a member.
struct SeenProcess
{
    Incarnation incarnation;
    BootTime since;
};

/// @brief Which of a member's reports a granter has taken. Reports may overtake each other, but none counts twice.
struct TakenReports
{
    std::uint64_t newest = 0; ///< Greatest sequence number.
    std::uint64_t mask = 0; ///< Bit n: the one with the number n below that was taken.
};

/// @brief State of one node.
struct QuotaExchange
{
    QuotaExchangeOptions options;
    std::uint64_t process = 0; ///< Identifies this process, greater than 0.
    BootTime startedAt;
    std::map<NodeId, SeenProcess> seen; ///< Members that may become granters.
    NodeId granter; ///< Empty until the first is chosen.
    bool handingOver = false; ///< Another member is to be the granter as soon as this one's loan is over.
    std::optional<GranterTime> lendFrom; ///< Of the granter's last reply.
    BootTime lendFromAt; ///< When that reply arrived.
    Duration longestLoan{0}; ///< Time of a loan in the largest fleet seen; an earlier process may have lent for as long.
    BootTime lentUntil; ///< The share is with some granter until then.
    NodeId lastLentTo; ///< That granter.
    std::map<std::uint64_t, BootTime> tokensUntil; ///< When the tokens lapse that a reply may bring, by the sequence number of its report.
    std::uint64_t lastSequence = 0;
    std::size_t unanswered = 0; ///< Reports since the last reply.
    BootTime reportedAt; ///< Last regular report.
    BootTime askedAt; ///< Last report of any kind.
    std::map<NodeId, BootTime> avoided; ///< Members that didn't answer, and until when they aren't asked.
    QuotaPool pool; ///< As a granter.
    std::map<NodeId, TakenReports> takenReports; ///< As a granter: by the member that sent them.
};

/// @brief State of a process that starts at @p now.
QuotaExchange startQuotaExchange(const QuotaExchangeOptions &options, std::uint64_t process, BootTime now);

/// @brief A message and the member that it is for, which may be this node.
struct QuotaMessage
{
    NodeId to;
    Endpoint gossip;
    PeerMessage message;
};

/// @brief Members among which quotas are divided: all that haven't left, since one that seems dead may only be cut off.
std::size_t quotaMembers(const Membership &membership);

/// @brief The report that is due at @p now, if any. Drops the tokens in @p stock when the granter changes.
std::optional<QuotaMessage> dueQuotaReport(QuotaExchange &exchange, const Membership &membership, QuotaStock &stock, BootTime now);

/// @brief The reply to a report; none for a repeated one.
std::optional<QuotaMessage> answerQuotaReport(QuotaExchange &exchange, const Membership &membership, const PeerMessage &report, const QuotaFinder &find,
                                              BootTime now);

/// @brief Adds the tokens in a reply to @p stock. False when it is no reply to an open report to the present granter.
bool takeQuotaReply(QuotaExchange &exchange, const PeerMessage &reply, QuotaStock &stock, BootTime now);

} // namespace agatedoor
