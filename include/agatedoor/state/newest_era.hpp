#pragma once

#include "agatedoor/base/ids.hpp"

#include <atomic>

/// @brief The newest era of the store that is known, for any thread.
namespace agatedoor {

/// @brief Remembers the greatest era. Replies on different connections may cross, so an older one doesn't lower it.
class NewestEra
{
public:
    /// @return true when @p era is newer than all before
    bool raise(StoreEra era)
    {
        auto known = m_value.load();
        while (known < era.value) {
            if (m_value.compare_exchange_weak(known, era.value)) {
                return true;
            }
        }
        return false;
    }

    StoreEra value() const { return {m_value.load()}; }

private:
    std::atomic<std::uint64_t> m_value{0};
};

} // namespace agatedoor
