#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <vector>

/// Entry side of admission: queues of calls that wait for a slot, ordered by a policy.
namespace rosemarymill::admission {

/// Call that waits for a slot of one pool of equivalent servers.
struct QueuedCall {
    CallId call;
    AccountId account;
    double weight { 1.0 };
    /// Value of one answer of this kind to the caller.
    double worth { 1.0 };
    /// Estimated cost in tokens.
    double cost { 1.0 };
    std::uint64_t tokens { 0 };
    std::optional<Instant> deadline;
    /// Position in the order of arrival at this process.
    std::uint64_t arrival { 0 };
    /// The call has to run alone on a server.
    bool suspect { false };
};

/// Queue policy: the order in which waiting calls get slots. `take` removes and returns the first call in this order
/// that satisfies the predicate.
template <typename Order>
concept AdmissionQueue = requires(
    Order order, const Order& fixed, QueuedCall waiting, CallId call, const AccountId& account, double amount)
{
    order.push(std::move(waiting));
    {
        order.erase(call)
        } -> std::same_as<bool>;
    {
        order.take([](const QueuedCall&) { return true; })
        } -> std::same_as<std::optional<QueuedCall>>;
    order.adjustCost(account, amount);
    {
        fixed.size()
        } -> std::convertible_to<std::size_t>;
    fixed.forEach([](const QueuedCall&) {});
    {
        fixed.countBefore(waiting)
        } -> std::convertible_to<std::size_t>;
    {
        fixed.backlog(account)
        } -> std::convertible_to<std::size_t>;
    {
        fixed.share(waiting)
        } -> std::convertible_to<double>;
    {
        Order::usesSlotLeases
        } -> std::convertible_to<bool>;
};

/// Weighted fair queueing over client accounts by token cost; calls of one account are ordered by worth and deadline.
/// It is work-conserving: a call that fits no free slot does not block the calls behind it.
class WeightedFairQueue {
public:
    /// Slots are leased from the servers' homes.
    static constexpr bool usesSlotLeases = true;

    void push(QueuedCall waiting);
    bool erase(CallId call);
    template <std::predicate<const QueuedCall&> Predicate> std::optional<QueuedCall> take(const Predicate& suits);
    /// Charges the account for the difference between the actual and the estimated cost of a call.
    void adjustCost(const AccountId& account, double difference);
    [[nodiscard]] std::size_t size() const noexcept { return m_size; }
    template <typename Visitor> void forEach(const Visitor& visit) const;
    /// Number of calls of the same account that are ahead of the call.
    [[nodiscard]] std::size_t countBefore(const QueuedCall& waiting) const;
    /// Number of waiting calls of an account.
    [[nodiscard]] std::size_t backlog(const AccountId& account) const;
    /// Fraction of the capacity that the call's account gets among the accounts with waiting calls.
    [[nodiscard]] double share(const QueuedCall& waiting) const;

private:
    struct Account {
        double weight { 1.0 };
        /// Virtual start time of the account's next call.
        double start { 0.0 };
        std::vector<QueuedCall> calls;
    };

    std::map<AccountId, Account> m_accounts;
    double m_virtualTime { 0.0 };
    std::size_t m_size { 0 };
};

/// Baseline for comparison: first come, first served, with a local limit on each entry VM.
class FifoQueue {
public:
    static constexpr bool usesSlotLeases = false;

    void push(QueuedCall waiting) { m_calls.push_back(std::move(waiting)); }
    bool erase(CallId call);
    template <std::predicate<const QueuedCall&> Predicate> std::optional<QueuedCall> take(const Predicate& suits);
    void adjustCost(const AccountId&, double) noexcept { }
    [[nodiscard]] std::size_t size() const noexcept { return m_calls.size(); }
    template <typename Visitor> void forEach(const Visitor& visit) const;
    [[nodiscard]] std::size_t countBefore(const QueuedCall& waiting) const;
    [[nodiscard]] std::size_t backlog(const AccountId&) const noexcept { return m_calls.size(); }
    [[nodiscard]] double share(const QueuedCall&) const noexcept { return 1.0; }

private:
    std::list<QueuedCall> m_calls;
};

template <std::predicate<const QueuedCall&> Predicate>
std::optional<QueuedCall> WeightedFairQueue::take(const Predicate& suits)
{
    std::vector<Account*> order;
    for (auto& [id, account] : m_accounts) {
        if (!account.calls.empty())
            order.push_back(&account);
    }
    std::stable_sort(order.begin(), order.end(), [](auto* a, auto* b) { return a->start < b->start; });
    for (auto* account : order) {
        const auto it = std::find_if(account->calls.begin(), account->calls.end(), suits);
        if (it == account->calls.end())
            continue;
        QueuedCall taken = std::move(*it);
        account->calls.erase(it);
        --m_size;
        m_virtualTime = std::max(m_virtualTime, account->start);
        account->start += taken.cost / account->weight;
        return taken;
    }
    return std::nullopt;
}

template <typename Visitor> void WeightedFairQueue::forEach(const Visitor& visit) const
{
    for (const auto& [id, account] : m_accounts) {
        for (const auto& it : account.calls)
            visit(it);
    }
}

template <std::predicate<const QueuedCall&> Predicate> std::optional<QueuedCall> FifoQueue::take(const Predicate& suits)
{
    const auto it = std::find_if(m_calls.begin(), m_calls.end(), suits);
    if (it == m_calls.end())
        return std::nullopt;
    QueuedCall taken = std::move(*it);
    m_calls.erase(it);
    return taken;
}

template <typename Visitor> void FifoQueue::forEach(const Visitor& visit) const
{
    for (const auto& it : m_calls)
        visit(it);
}

static_assert(AdmissionQueue<WeightedFairQueue>);
static_assert(AdmissionQueue<FifoQueue>);

} // namespace rosemarymill::admission
