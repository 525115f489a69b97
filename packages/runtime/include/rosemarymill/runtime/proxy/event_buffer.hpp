#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Splits the body of an event stream into whole events.
namespace rosemarymill::runtime::proxy {

/// Buffers the bytes of an event until it is complete, and filters out events that the client already has.
class EventBuffer {
public:
    /// Events up to this id have reached the client.
    void setLastId(std::optional<std::uint64_t> id) noexcept { m_lastId = id; }
    [[nodiscard]] std::optional<std::uint64_t> lastId() const noexcept { return m_lastId; }

    /// Whether events must have an id from now on, as those of a resumed stream must. An event without one is dropped
    /// together with all that follow.
    void requireIds(bool required) noexcept
    {
        m_idsRequired = required;
        m_missingId = false;
    }
    /// Whether an event lacked a required id.
    [[nodiscard]] bool missingId() const noexcept { return m_missingId; }

    /// Parses bytes of the body and appends complete events to `out`. Returns the number of events; those with neither
    /// id nor data, such as keep-alive comments, do not count.
    std::size_t feed(std::string_view bytes, std::string& out);

    /// Whether the last event is incomplete.
    [[nodiscard]] bool partial() const noexcept { return !m_partialEvent.empty(); }

    /// Memory in bytes that is allocated for an incomplete event.
    [[nodiscard]] std::size_t allocatedBytes() const noexcept { return m_partialEvent.capacity(); }

    /// Drops an incomplete event before the stream is resumed on another server.
    void dropPartial() noexcept { m_partialEvent.clear(); }

    /// Events that were dropped because the client already had them.
    [[nodiscard]] std::uint64_t repeated() const noexcept { return m_repeated; }

private:
    [[nodiscard]] bool accept(std::string_view event);

    std::string m_partialEvent;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_repeated { 0 };
    bool m_idsRequired { false };
    bool m_missingId { false };
};

/// Event id of a Last-Event-Id header or id field; empty when it is not a number.
[[nodiscard]] std::optional<std::uint64_t> parseEventId(std::string_view text) noexcept;

} // namespace rosemarymill::runtime::proxy
