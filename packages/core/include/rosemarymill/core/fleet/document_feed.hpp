#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/routes/document_table.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace rosemarymill::fleet {

/// What is known of the document on all subscribers.
struct FeedStatistics {
    /// Oldest version in force on a subscriber; the newest version when there is no subscriber.
    std::uint64_t oldestInForce { 0 };
    /// Longest time for which a subscriber has had a newer version to wait for.
    Duration age {};
    /// Subscribers that do not have the newest version in force.
    std::size_t behind { 0 };
    /// Versions that subscribers never got because a newer one had come, summed over the subscribers.
    std::uint64_t skipped { 0 };
    /// Pushes begun, and those among them that were the whole document.
    std::uint64_t pushes { 0 };
    std::uint64_t whole { 0 };
};

/// Decides which changes of the document each subscriber gets next: one push at a time, from the version that it has
/// in force to the newest one. Versions that were overtaken meanwhile are never sent.
class DocumentFeed {
public:
    /// Connection of an entry VM, unique in this process.
    using SubscriberId = std::uint64_t;

    /// Changes to send. Subscribers with the same versions get the same bytes.
    struct Push {
        /// 0 for the whole document.
        std::uint64_t from { 0 };
        std::uint64_t to { 0 };

        friend auto operator<=>(const Push&, const Push&) = default;
        friend bool operator==(const Push&, const Push&) = default;
    };

    /// Takes over a document when its version is higher than the newest one.
    void publish(const routes::Document& document, Instant now);

    /// A subscriber with the version that it has in force, or 0. Forgets a push in flight to it.
    void subscribed(SubscriberId id, std::uint64_t version, Instant now);
    void unsubscribed(SubscriberId id);

    /// The subscriber has answered a push with the version that it has in force now. A version below that of the push
    /// says that the changes did not fit; it gets the whole document next.
    void inForce(SubscriberId id, std::uint64_t version);

    /// The push that the subscriber gets now, in flight from then on. Nothing while another one is in flight, and when
    /// there is nothing newer.
    [[nodiscard]] std::optional<Push> next(SubscriberId id);

    /// Changes of a push to the newest version.
    [[nodiscard]] routes::DocumentChanges changes(const Push& push) const { return m_table.changesSince(push.from); }

    [[nodiscard]] std::uint64_t newest() const noexcept { return m_table.version(); }
    [[nodiscard]] FeedStatistics statistics(Instant now) const;

private:
    struct Subscriber {
        std::uint64_t version { 0 };
        Instant subscribedAt;
        /// Version of the push in flight.
        std::optional<std::uint64_t> sending;
        bool needsWhole { false };
    };

    routes::DocumentTable m_table;
    /// When each version was published, as far back as the table knows versions.
    std::map<std::uint64_t, Instant> m_publishedAt;
    std::map<SubscriberId, Subscriber> m_subscribers;
    std::uint64_t m_skipped { 0 };
    std::uint64_t m_pushes { 0 };
    std::uint64_t m_whole { 0 };
};

} // namespace rosemarymill::fleet
