#include "member_log.hpp"

#include "agatedoor/wire/log.hpp"

#include <utility>

namespace agatedoor {

namespace {

void logStatusChange(const MemberEntry &entry, MemberStatus before)
{
    const bool lost = present(before) && !present(entry.status);
    const bool regained = !present(before) && present(entry.status);
    if (!lost && !regained) {
        return;
    }
    logLine(LogLevel::Info, lost ? "member-lost" : "member-regained",
            {{"member", entry.record.node.value},
             {"zone", entry.record.zone.value},
             {"incarnation", static_cast<std::int64_t>(entry.record.incarnation.value)},
             {"version", static_cast<std::int64_t>(entry.record.version.value)},
             {"status_before", std::string(wireName(before))},
             {"status", std::string(wireName(entry.status))}});
}

} // namespace

void logMemberChanges(MemberLog &log, const Membership &membership)
{
    std::map<NodeId, MemberStatus> statuses;
    for (const auto &[node, entry] : membership.table.members) {
        statuses[node] = entry.status;
        const auto before = log.statuses.find(node);
        if (before != log.statuses.end()) {
            logStatusChange(entry, before->second);
        }
    }
    log.statuses = std::move(statuses);
    if (membership.joined && !log.joined) {
        log.joined = true;
        logLine(LogLevel::Info, "joined", {{"members", static_cast<std::int64_t>(log.statuses.size())}});
    }
}

} // namespace agatedoor
