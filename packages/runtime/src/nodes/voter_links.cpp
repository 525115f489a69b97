#include <rosemarymill/runtime/nodes/voter_links.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/runtime/nodes/control_link.hpp>
#include <rosemarymill/wire/agreement/codec.hpp>
#include <rosemarymill/wire/fleet/codec.hpp>

namespace rosemarymill::runtime::nodes {

VoterLinks::VoterLinks(event_base* base, wire::link::Hello self)
    : m_base(base)
    , m_self(std::move(self))
{
}

VoterLinks::~VoterLinks() = default;

void VoterLinks::send(const VmId& to, const fleet::LogMessage& message, Instant now)
{
    auto& link = m_links[to];
    if (!link.connection) {
        if (now < link.retryAt)
            return;
        link.retryAt = now + retryPause;
        LinkConnection::Handlers handlers;
        handlers.onHello = [to](const wire::link::Hello& it) { return it.vm == to; };
        handlers.onFrame = [](wire::FrameKind, std::span<const std::byte>) { return true; };
        // A connection that was replaced may still call onClosed.
        handlers.onClosed = [this, to, generation = ++link.generation](const std::string&) {
            auto& current = m_links[to];
            if (generation != current.generation || !current.connection)
                return;
            current.retryAt = readClock() + retryPause;
            m_closed.push_back(std::move(current.connection));
        };
        link.connection = connectLink(m_base, to.text(), m_self, m_counters, std::move(handlers));
        if (!link.connection)
            return;
    }
    if (!link.connection->timeoutReason(now).empty() || link.connection->unsentBytes() > maxUnsentBytes) {
        link.connection->resetOnClose();
        m_closed.push_back(std::move(link.connection));
        return;
    }
    wire::Buffer payload;
    wire::agreement::encode(wire::agreement::LogMessage { agreement::LogId { fleet::logName },
                                wire::agreement::toRaw<wire::fleet::Codec>(message) },
        payload);
    if (payload.size() > wire::maxFramePayloadBytes) {
        writeLog(node::LogLevel::Error, "fleet",
            "Dropped log message of " + std::to_string(payload.size()) + " bytes to " + to.text()
                + ": it is longer than a frame.");
        return;
    }
    std::vector<std::byte> frame;
    wire::appendFrame(wire::FrameKind::Agreement, payload, frame);
    link.connection->write(wire::FrameKind::Agreement, frame);
}

} // namespace rosemarymill::runtime::nodes
