#include "agatedoor/state/store.hpp"

namespace agatedoor {

std::string_view wireName(StoreErrorKind kind)
{
    switch (kind) {
    case StoreErrorKind::Unreachable:
        return "unreachable";
    case StoreErrorKind::Rejected:
        return "rejected";
    case StoreErrorKind::Busy:
        return "busy";
    case StoreErrorKind::OutcomeUnknown:
        return "outcome-unknown";
    case StoreErrorKind::Malformed:
        return "malformed";
    case StoreErrorKind::Restored:
        return "restored";
    }
    return "unnamed";
}

bool notApplied(const StoreError &error)
{
    switch (error.kind) {
    case StoreErrorKind::Unreachable:
    case StoreErrorKind::Rejected:
    case StoreErrorKind::Busy:
        return true;
    default:
        return false;
    }
}

} // namespace agatedoor
