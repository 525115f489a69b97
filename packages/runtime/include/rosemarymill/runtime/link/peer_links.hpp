#pragma once

#include <rosemarymill/core/base/result.hpp>
#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/core/node/state.hpp>
#include <rosemarymill/runtime/base/address.hpp>
#include <rosemarymill/runtime/link/counters.hpp>
#include <rosemarymill/runtime/loop/post_event.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <span>

struct event_base;

/// Links between the system's processes. Each process sends over links that it opened itself and receives over links
/// opened by its peers, so that the two directions fail independently.
namespace rosemarymill::runtime {

/// Idle timeout: a link without frames for this long is closed.
inline constexpr Duration linkIdleTimeout = 60s;

/// Bounds of the exponential backoff between two attempts to connect.
inline constexpr Duration minReconnectDelay = 50ms;
inline constexpr Duration maxReconnectDelay = 1s;

/// TCP_USER_TIMEOUT: bytes that stay unacknowledged for this long break the connection, as when the peer VM is gone.
inline constexpr Duration linkSendTimeout = 3s;

/// Listener for other processes and the outgoing links, which are opened on demand.
class PeerLinks {
public:
    /// Receives the payload of Forward frames. Returns false when it is malformed.
    using ForwardHandler = std::function<bool(const VmId& from, std::span<const std::byte> payload)>;
    /// Called when the outgoing link to a process failed: frames queued for that process may be lost.
    using LostHandler = std::function<void(const VmId& to)>;

    /// Listens on the address; port 0 picks a free port. Errors are those of bind(2).
    [[nodiscard]] static Result<std::unique_ptr<PeerLinks>> open(
        event_base& base, const SocketAddress& address, const node::Settings& self, PostEvent post);

    ~PeerLinks();
    PeerLinks(const PeerLinks&) = delete;
    PeerLinks& operator=(const PeerLinks&) = delete;

    /// Sends a message of the core, without a delivery guarantee.
    void executeEffect(const node::SendPeer& effect);

    /// Sends one frame. Returns false when it was dropped at once; true does not guarantee delivery.
    bool send(const VmId& to, const std::string& address, wire::FrameKind kind, std::span<const std::byte> payload);

    void onForward(ForwardHandler handler);
    void onLost(LostHandler handler);

    /// Bound address.
    [[nodiscard]] const SocketAddress& address() const noexcept;
    [[nodiscard]] const LinkCounters& counters() const noexcept;
    /// Open connections in both directions.
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    struct Impl;
    explicit PeerLinks(std::unique_ptr<Impl> impl) noexcept;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rosemarymill::runtime
