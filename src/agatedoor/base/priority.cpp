#include "agatedoor/base/priority.hpp"

namespace agatedoor {

std::string_view wireName(PriorityClass priority)
{
    switch (priority) {
    case PriorityClass::Low:
        return "low";
    case PriorityClass::Normal:
        return "normal";
    case PriorityClass::High:
        return "high";
    }
    return "unnamed";
}

std::optional<PriorityClass> priorityFromWire(std::string_view word)
{
    for (const auto priority : {PriorityClass::Low, PriorityClass::Normal, PriorityClass::High}) {
        if (wireName(priority) == word) {
            return priority;
        }
    }
    return std::nullopt;
}

} // namespace agatedoor
