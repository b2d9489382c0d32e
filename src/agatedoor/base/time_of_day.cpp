#include "agatedoor/base/time_of_day.hpp"

namespace agatedoor {

ClockReading readClocks()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return {Clock::now(), {std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()}};
}

} // namespace agatedoor
