#pragma once

#include <atomic>
#include <memory>
#include <utility>

/// @brief Publishes immutable values to concurrent readers by read-copy-update (RCU).
namespace agatedoor {

/// @brief Wrappers of the RCU library; synchronize() blocks until all current readers have finished.
namespace rcu {
void readLock();
void readUnlock();
void synchronize();
} // namespace rcu

/// @brief Holds the current version of an immutable value that one controller publishes.
///
/// Readers are wait-free and share no lock with the publisher. The controller must serialize calls of publish().
/// @example
///   Snapshot<FleetView> fleet;
///   auto view = fleet.current();
template <typename T>
class Snapshot
{
public:
    Snapshot()
        : Snapshot(std::make_shared<const T>())
    {
    }
    explicit Snapshot(std::shared_ptr<const T> initial)
        : m_holder(new Holder{std::move(initial)})
    {
    }
    ~Snapshot() { delete m_holder.load(); }
    Snapshot(const Snapshot &) = delete;
    Snapshot &operator=(const Snapshot &) = delete;

    /// @brief The current value; it stays valid as long as the pointer is held.
    std::shared_ptr<const T> current() const
    {
        rcu::readLock();
        std::shared_ptr<const T> value = m_holder.load(std::memory_order_acquire)->value;
        rcu::readUnlock();
        return value;
    }

    /// @brief Replaces the value; blocks until no reader uses the old holder, so it must not be called on the request path.
    void publish(std::shared_ptr<const T> value)
    {
        Holder *old = m_holder.exchange(new Holder{std::move(value)}, std::memory_order_acq_rel);
        rcu::synchronize();
        delete old;
    }

private:
    struct Holder
    {
        std::shared_ptr<const T> value;
    };
    std::atomic<Holder *> m_holder;
};

} // namespace agatedoor
