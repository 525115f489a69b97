#include <rosemarymill/core/admission/queue.hpp>

#include <algorithm>

namespace rosemarymill::admission {

namespace {

/// Order within an account: higher worth, then earlier deadline, then earlier arrival.
bool before(const QueuedCall& a, const QueuedCall& b) noexcept
{
    if (a.worth != b.worth)
        return a.worth > b.worth;
    if (a.deadline != b.deadline)
        return a.deadline && (!b.deadline || *a.deadline < *b.deadline);
    return a.arrival < b.arrival;
}

} // namespace

void WeightedFairQueue::push(QueuedCall waiting)
{
    auto& account = m_accounts[waiting.account];
    account.weight = std::max(waiting.weight, 1e-3);
    // An account gets no credit for the time in which it was idle.
    if (account.calls.empty())
        account.start = std::max(account.start, m_virtualTime);
    const auto pos = std::upper_bound(account.calls.begin(), account.calls.end(), waiting, before);
    account.calls.insert(pos, std::move(waiting));
    ++m_size;
}

bool WeightedFairQueue::erase(CallId call)
{
    for (auto& [id, account] : m_accounts) {
        const auto it = std::find_if(
            account.calls.begin(), account.calls.end(), [&](const auto& waiting) { return waiting.call == call; });
        if (it == account.calls.end())
            continue;
        account.calls.erase(it);
        --m_size;
        return true;
    }
    return false;
}

void WeightedFairQueue::adjustCost(const AccountId& account, double difference)
{
    const auto it = m_accounts.find(account);
    if (it != m_accounts.end())
        it->second.start += difference / it->second.weight;
}

std::size_t WeightedFairQueue::countBefore(const QueuedCall& waiting) const
{
    const auto it = m_accounts.find(waiting.account);
    if (it == m_accounts.end())
        return 0;
    const auto& calls = it->second.calls;
    return static_cast<std::size_t>(std::upper_bound(calls.begin(), calls.end(), waiting, before) - calls.begin());
}

std::size_t WeightedFairQueue::backlog(const AccountId& account) const
{
    const auto it = m_accounts.find(account);
    return it == m_accounts.end() ? 0 : it->second.calls.size();
}

double WeightedFairQueue::share(const QueuedCall& waiting) const
{
    double sum = waiting.weight;
    for (const auto& [id, account] : m_accounts) {
        if (id != waiting.account && !account.calls.empty())
            sum += account.weight;
    }
    return waiting.weight / sum;
}

bool FifoQueue::erase(CallId call)
{
    return std::erase_if(m_calls, [&](const auto& it) { return it.call == call; }) > 0;
}

std::size_t FifoQueue::countBefore(const QueuedCall&) const { return m_calls.size(); }

} // namespace rosemarymill::admission
