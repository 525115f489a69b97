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

/// One TCP connection that carries frames.
namespace rosemarymill::runtime {

/// Time in which a new connection has to be established and the other end's Hello has to arrive.
inline constexpr Duration helloTimeout = 2s;

/// Time after which a frame that has begun to arrive must be complete. It bounds the memory held for a stopped sender.
inline constexpr Duration frameTimeout = 10s;

/// Connection in which both ends send Hello first. Its owner destroys it after onClosed.
class LinkConnection {
public:
    struct Handlers {
        /// The other end has introduced itself. Returns false to close the connection.
        std::function<bool(const wire::link::Hello&)> onHello;
        /// A frame other than Hello arrived. Returns false to close the connection.
        std::function<bool(wire::FrameKind, std::span<const std::byte>)> onFrame;
        /// There is room for further frames.
        std::function<void()> onWritable;
        /// The connection is closed, with the reason. Called once, never from within a member function.
        std::function<void(const std::string&)> onClosed;
    };

    /// Takes over a bufferevent whose socket is connected or connecting, and sends Hello.
    LinkConnection(bufferevent* buf, const wire::link::Hello& self, LinkCounters& counters, Handlers handlers);
    ~LinkConnection();
    LinkConnection(const LinkConnection&) = delete;
    LinkConnection& operator=(const LinkConnection&) = delete;

    /// Hands bytes of whole frames to the socket.
    void write(wire::FrameKind kind, std::span<const std::byte> frame);

    /// Whether the other end has introduced itself and little is waiting in the socket's buffer.
    [[nodiscard]] bool writable() const;

    /// Bytes that wait in the socket's buffer.
    [[nodiscard]] std::size_t unsentBytes() const;

    [[nodiscard]] const std::optional<wire::link::Hello>& remote() const noexcept { return m_remote; }

    /// To be called before a connection is destroyed whose other end is taken for lost: what has not arrived by then
    /// does not arrive later.
    void resetOnClose() noexcept;

    /// Checks the time limits. Returns the reason when the connection has to be closed, or an empty text.
    [[nodiscard]] std::string timeoutReason(Instant now) const;

    /// Time of the last whole frame in either direction.
    [[nodiscard]] Instant lastFrame() const noexcept { return m_lastFrame; }

    /// Time when bytes last arrived, also those of a frame that is not complete.
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
    /// When the oldest byte of an incomplete frame arrived.
    std::optional<Instant> m_incompleteSince;
    bool m_closed { false };
};

} // namespace rosemarymill::runtime
