#include <rosemarymill/core/fleet/document_feed.hpp>

#include <algorithm>

namespace rosemarymill::fleet {

void DocumentFeed::publish(const routes::Document& document, Instant now)
{
    if (!m_table.replace(document))
        return;
    m_publishedAt.emplace(document.version, now);
    if (m_publishedAt.size() > routes::DocumentTable::maxVersions)
        m_publishedAt.erase(m_publishedAt.begin());
}

void DocumentFeed::subscribed(SubscriberId id, std::uint64_t version, Instant now)
{
    const auto before = m_subscribers[id].version;
    m_subscribers[id] = { std::max(version, before), now, {}, false };
}

void DocumentFeed::unsubscribed(SubscriberId id) { m_subscribers.erase(id); }

void DocumentFeed::inForce(SubscriberId id, std::uint64_t version)
{
    const auto it = m_subscribers.find(id);
    if (it == m_subscribers.end())
        return;
    auto& subscriber = it->second;
    subscriber.needsFullDocument = subscriber.inFlightVersion && version < *subscriber.inFlightVersion;
    subscriber.inFlightVersion.reset();
    subscriber.version = std::max(subscriber.version, version);
}

std::optional<DocumentFeed::Push> DocumentFeed::next(SubscriberId id)
{
    const auto it = m_subscribers.find(id);
    if (it == m_subscribers.end())
        return {};
    auto& subscriber = it->second;
    if (subscriber.inFlightVersion || subscriber.version >= newest())
        return {};
    const Push push { subscriber.needsFullDocument ? 0 : m_table.baseOf(subscriber.version), newest() };
    subscriber.inFlightVersion = push.to;
    // A subscriber without a document has not skipped any version.
    if (subscriber.version > 0)
        m_skipped += m_table.versionsBetween(subscriber.version, push.to);
    ++m_pushes;
    m_whole += push.from == 0 ? 1 : 0;
    return push;
}

FeedStatistics DocumentFeed::statistics(Instant now) const
{
    FeedStatistics statistics { newest(), {}, 0, m_skipped, m_pushes, m_whole };
    for (const auto& [id, it] : m_subscribers) {
        if (it.version >= newest())
            continue;
        ++statistics.behind;
        statistics.oldestInForce = std::min(statistics.oldestInForce, it.version);
        const auto missing = m_publishedAt.upper_bound(it.version);
        if (missing != m_publishedAt.end())
            statistics.age = std::max(statistics.age, now - std::max(it.subscribedAt, missing->second));
    }
    return statistics;
}

} // namespace rosemarymill::fleet
