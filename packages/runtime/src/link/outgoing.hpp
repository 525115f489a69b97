#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/runtime/base/address.hpp>
#include <rosemarymill/runtime/link/connection.hpp>
#include <rosemarymill/runtime/link/send_queue.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>

struct event_base;

/// Outgoing link to one process.
namespace rosemarymill::runtime {

/// State that all outgoing links of a process share.
struct OutgoingContext {
    event_base& base;
    wire::link::Hello self;
    LinkCounters& counters;
    std::mt19937_64& random;
    std::function<void(const VmId&, const std::string& reason)> onLost;
};

/// Connects on demand, queues frames up to a limit, and reconnects with exponential backoff while frames are queued.
class OutgoingLink {
public:
    OutgoingLink(OutgoingContext& context, VmId to, std::string address);

    /// Queues a frame and connects if needed. Returns false when the frame was dropped.
    bool send(SendQueue::Frame&& frame, Instant now);

    /// Closes a connection that has timed out, and reconnects when the backoff has passed and frames are queued.
    void tick(Instant now);

    /// Whether the link has no queued frames and was unused for linkIdleTimeout, so that it can be removed.
    [[nodiscard]] bool idle(Instant now) const;

    [[nodiscard]] bool connected() const noexcept { return m_connection != nullptr; }
    [[nodiscard]] const std::string& address() const noexcept { return m_address; }

private:
    void connect(Instant now);
    void flush();
    void handleClosed(const std::string& reason);

    OutgoingContext& m_context;
    VmId m_to;
    std::string m_address;
    SendQueue m_queue;
    std::unique_ptr<LinkConnection> m_connection;
    Instant m_lastUse;
    Instant m_connectAt;
    Duration m_reconnectDelay { 0 };
};

} // namespace rosemarymill::runtime
