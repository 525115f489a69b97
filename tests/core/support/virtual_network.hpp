#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <utility>

/// Simulated network in virtual time, with seeded delays and losses and with links that tests can cut.
namespace rosemarymill::test {

template <typename Message> class VirtualNetwork {
public:
    struct Delivery {
        Instant at;
        VmId from;
        VmId to;
        Message message;
    };

    explicit VirtualNetwork(std::uint32_t seed)
        : m_random(seed)
    {
    }

    /// Probability in percent that a message is lost.
    unsigned lossPercent { 0 };
    Duration maxDelay { 2ms };
    std::uint64_t sent { 0 };
    std::map<VmId, std::uint64_t> sentBy;
    std::function<void(const Message&)> onSend;

    void cut(const VmId& from, const VmId& to) { m_cutLinks.emplace(from, to); }
    void heal() { m_cutLinks.clear(); }

    void send(Instant now, const VmId& from, const VmId& to, Message message)
    {
        ++sent;
        ++sentBy[from];
        if (onSend)
            onSend(message);
        if (m_cutLinks.contains({ from, to }) || m_random() % 100 < lossPercent)
            return;
        const Duration delay { 500 + static_cast<std::int64_t>(m_random() % maxDelay.count()) };
        m_queue.emplace(now + delay, Delivery { now + delay, from, to, std::move(message) });
    }

    /// Removes the messages due up to the instant and delivers them in order of their times.
    template <typename Deliver> void deliverUntil(Instant until, Deliver&& deliver)
    {
        while (!m_queue.empty() && m_queue.begin()->first <= until) {
            auto delivery = std::move(m_queue.begin()->second);
            m_queue.erase(m_queue.begin());
            deliver(std::move(delivery));
        }
    }

    std::mt19937& random() { return m_random; }

private:
    std::mt19937 m_random;
    std::set<std::pair<VmId, VmId>> m_cutLinks;
    std::multimap<Instant, Delivery> m_queue;
};

} // namespace rosemarymill::test
