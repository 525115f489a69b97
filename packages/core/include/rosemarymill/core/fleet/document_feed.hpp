#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/routes/document_table.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace rosemarymill::fleet {

/// Statistics of the document's distribution to all subscribers.
struct FeedStatistics {
    /// Oldest version in force on a subscriber; the newest version when there is no subscriber.
    std::uint64_t oldestInForce { 0 };
    /// Longest time for which a subscriber has been waiting for a newer version.
    Duration age {};
    /// Subscribers that do not have the newest version in force.
    std::size_t behind { 0 };
    /// Versions that were not sent because a newer one had been published, summed over the subscribers.
    std::uint64_t skipped { 0 };
    /// Pushes started, and those of them that contained the whole document.
    std::uint64_t pushes { 0 };
    std::uint64_t whole { 0 };
};

/// Decides which changes of the document each subscriber gets next: one push at a time, from the version that it has
/// in force to the newest one. Versions that were superseded while a push was in flight are skipped.
class DocumentFeed {
public:
    /// Connection of an entry VM, unique in this process.
    using SubscriberId = std::uint64_t;

    /// Changes to send. Subscribers with the same base version get the same bytes.
    struct Push {
        /// 0 for the whole document.
        std::uint64_t from { 0 };
        std::uint64_t to { 0 };

        friend auto operator<=>(const Push&, const Push&) = default;
        friend bool operator==(const Push&, const Push&) = default;
    };

    /// Stores a document if its version is higher than the newest one.
    void publish(const routes::Document& document, Instant now);

    /// Adds a subscriber with the version that it has in force, or 0 if it has none. A push in flight to it on an
    /// earlier connection no longer counts.
    void subscribed(SubscriberId id, std::uint64_t version, Instant now);
    void unsubscribed(SubscriberId id);

    /// Handles a subscriber's answer to a push: the version that it has in force now. A version below that of the push
    /// means that the changes could not be applied; the whole document is sent next.
    void inForce(SubscriberId id, std::uint64_t version);

    /// Next push for the subscriber, which counts as in flight from then on. Empty while another push is in flight and
    /// when the subscriber has the newest version.
    [[nodiscard]] std::optional<Push> next(SubscriberId id);

    /// Changes from the push's base version to the newest version.
    [[nodiscard]] routes::DocumentChanges changes(const Push& push) const { return m_table.changesSince(push.from); }

    [[nodiscard]] std::uint64_t newest() const noexcept { return m_table.version(); }
    [[nodiscard]] FeedStatistics statistics(Instant now) const;

private:
    struct Subscriber {
        std::uint64_t version { 0 };
        Instant subscribedAt;
        /// Version of the push in flight.
        std::optional<std::uint64_t> inFlightVersion;
        bool needsFullDocument { false };
    };

    routes::DocumentTable m_table;
    /// Publication time of each version that the table holds.
    std::map<std::uint64_t, Instant> m_publishedAt;
    std::map<SubscriberId, Subscriber> m_subscribers;
    std::uint64_t m_skipped { 0 };
    std::uint64_t m_pushes { 0 };
    std::uint64_t m_whole { 0 };
};

} // namespace rosemarymill::fleet
