#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/runtime/link/counters.hpp>
#include <rosemarymill/wire/link/codec.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

struct bufferevent;

/// TCP connection over which peers exchange frames.
namespace rosemarymill::runtime {

/// Timeout for a new connection to be established and to receive the peer's Hello.
inline constexpr Duration helloTimeout = 2s;

/// Timeout for the rest of a partially received frame. It bounds how long memory is held for a sender that has stopped.
inline constexpr Duration frameTimeout = 10s;

/// Connection on which both peers send Hello as their first frame. Its owner destroys it after onClosed.
class LinkConnection {
public:
    struct Handlers {
        /// Called with the peer's Hello. Returns false to close the connection.
        std::function<bool(const wire::link::Hello&)> onHello;
        /// Called with the payload of each later frame. Returns false to close the connection.
        std::function<bool(wire::FrameKind, std::span<const std::byte>)> onFrame;
        /// Called when the connection can accept further frames.
        std::function<void()> onWritable;
        /// Called once with the reason when the connection has been closed, never from within a public member function.
        std::function<void(const std::string&)> onClosed;
    };

    /// Takes over a bufferevent whose socket is connected or connecting, and sends Hello.
    LinkConnection(bufferevent* buf, const wire::link::Hello& self, LinkCounters& counters, Handlers handlers);
    ~LinkConnection();
    LinkConnection(const LinkConnection&) = delete;
    LinkConnection& operator=(const LinkConnection&) = delete;

    /// Writes one or more complete frames to the socket's output buffer.
    void write(wire::FrameKind kind, std::span<const std::byte> frame);

    /// Whether the peer's Hello was received, the connection is open and the output buffer is below its limit.
    [[nodiscard]] bool writable() const;

    /// Bytes in the output buffer that the kernel has not accepted yet.
    [[nodiscard]] std::size_t unsentBytes() const;

    [[nodiscard]] const std::optional<wire::link::Hello>& remote() const noexcept { return m_remote; }

    /// Makes closing discard unacknowledged bytes with a TCP reset. Call it before destroying a connection whose peer
    /// has failed or timed out, so that the kernel does not deliver old frames later.
    void resetOnClose() noexcept;

    /// Checks helloTimeout and frameTimeout. Returns the reason to close the connection, or an empty text.
    [[nodiscard]] std::string timeoutReason(Instant now) const;

    /// Time when the last complete frame was sent or received.
    [[nodiscard]] Instant lastFrame() const noexcept { return m_lastFrame; }

    /// Time when bytes were last received, including those of an incomplete frame.
    [[nodiscard]] Instant lastReceivedAt() const noexcept { return m_lastReceivedAt; }

private:
    struct FreeBuffer {
        void operator()(bufferevent* it) const noexcept;
    };

    static void onRead(bufferevent* buf, void* self);
    static void onWrite(bufferevent* buf, void* self);
    static void onEvent(bufferevent* buf, short what, void* self);

    void readFrames();
    [[nodiscard]] std::string receive(const wire::FrameView& frame);
    void close(const std::string& reason, bool fault);

    std::unique_ptr<bufferevent, FreeBuffer> m_buf;
    LinkCounters& m_counters;
    Handlers m_handlers;
    std::optional<wire::link::Hello> m_remote;
    Instant m_openedAt;
    Instant m_lastFrame;
    Instant m_lastReceivedAt;
    /// Time when the first byte of the incomplete frame was received.
    std::optional<Instant> m_incompleteSince;
    bool m_closed { false };
};

} // namespace rosemarymill::runtime
