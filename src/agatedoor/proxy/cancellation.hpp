#pragma once

#include <algorithm>
#include <functional>
#include <vector>

/// @brief Cancellation of one request whose response is no longer needed. Not thread-safe: one thread uses it.
namespace agatedoor {

class CancelHook;

/// @brief Whether a request was cancelled, and the hooks to run when it is.
class Cancellation
{
public:
    Cancellation() = default;
    Cancellation(const Cancellation &) = delete;
    Cancellation &operator=(const Cancellation &) = delete;

    /// @brief Cancels the request and runs all registered hooks. Hooks registered later run at once.
    void request();
    bool requested() const { return m_requested; }

private:
    friend class CancelHook;

    bool m_requested = false;
    std::vector<CancelHook *> m_hooks;
};

/// @brief Registers an action to run on cancellation; unregisters it on destruction.
class CancelHook
{
public:
    /// @param cancellation may be null; the action then never runs
    CancelHook(Cancellation *cancellation, std::function<void()> action)
        : m_cancellation(cancellation)
        , m_action(std::move(action))
    {
        if (m_cancellation != nullptr) {
            m_cancellation->m_hooks.push_back(this);
            if (m_cancellation->requested()) {
                m_action();
            }
        }
    }
    ~CancelHook()
    {
        if (m_cancellation != nullptr) {
            std::erase(m_cancellation->m_hooks, this);
        }
    }
    CancelHook(const CancelHook &) = delete;
    CancelHook &operator=(const CancelHook &) = delete;

private:
    friend class Cancellation;

    Cancellation *m_cancellation;
    std::function<void()> m_action;
};

inline void Cancellation::request()
{
    m_requested = true;
    for (const auto *hook : m_hooks) {
        hook->m_action();
    }
}

/// @brief True when @p cancellation is not null and was requested.
inline bool cancelled(const Cancellation *cancellation)
{
    return cancellation != nullptr && cancellation->requested();
}

} // namespace agatedoor
