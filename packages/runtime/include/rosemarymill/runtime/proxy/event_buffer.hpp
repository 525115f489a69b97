#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Splits the body of an event stream into whole events.
namespace rosemarymill::runtime::proxy {

/// Holds back the bytes of an event until it is whole, and events that the client already has.
class EventBuffer {
public:
    /// Events up to this id have reached the client.
    void setLastId(std::optional<std::uint64_t> id) noexcept { m_lastId = id; }
    [[nodiscard]] std::optional<std::uint64_t> lastId() const noexcept { return m_lastId; }

    /// Whether events from now on must have an id, as those of the rest of a stream. An event without one is dropped
    /// with all that follows.
    void requireIds(bool required) noexcept
    {
        m_idsRequired = required;
        m_withoutId = false;
    }
    /// Whether an event had no id where it must have one.
    [[nodiscard]] bool withoutId() const noexcept { return m_withoutId; }

    /// Takes bytes of the body and appends the whole events among them to `out`. Returns the number of events; those
    /// with neither id nor data, as comments that keep a connection open, do not count.
    std::size_t feed(std::string_view bytes, std::string& out);

    /// Whether the last event is incomplete.
    [[nodiscard]] bool partial() const noexcept { return !m_rest.empty(); }

    /// Memory in bytes that an incomplete event takes.
    [[nodiscard]] std::size_t heldBytes() const noexcept { return m_rest.capacity(); }

    /// Drops an incomplete event, before the stream continues from another server.
    void dropPartial() noexcept { m_rest.clear(); }

    /// Events that were dropped because the client already had them.
    [[nodiscard]] std::uint64_t repeated() const noexcept { return m_repeated; }

private:
    [[nodiscard]] bool take(std::string_view event);

    std::string m_rest;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_repeated { 0 };
    bool m_idsRequired { false };
    bool m_withoutId { false };
};

/// Event id of a Last-Event-Id header; empty when it is not a number.
[[nodiscard]] std::optional<std::uint64_t> parseEventId(std::string_view text) noexcept;

} // namespace rosemarymill::runtime::proxy
