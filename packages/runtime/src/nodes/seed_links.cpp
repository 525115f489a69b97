#include <rosemarymill/runtime/nodes/seed_links.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/nodes/control_link.hpp>
#include <rosemarymill/wire/fleet/codec.hpp>

#include <algorithm>

namespace rosemarymill::runtime::nodes {

namespace core = rosemarymill::fleet;

SeedLinks::SeedLinks(event_base* base, wire::link::Hello self, Handlers handlers)
    : m_base(base)
    , m_self(std::move(self))
    , m_handlers(std::move(handlers))
{
}

SeedLinks::~SeedLinks() = default;

void SeedLinks::connect(const std::string& address, Instant now)
{
    const auto entry = m_links.emplace(m_links.end());
    entry->address = address;
    entry->connectedAt = entry->sentAt = now;
    LinkConnection::Handlers handlers;
    handlers.onHello = [this, entry](const wire::link::Hello&) {
        sendMessage(*entry->link, m_handlers.subscription());
        return true;
    };
    handlers.onFrame = [this](wire::FrameKind kind, std::span<const std::byte> payload) {
        const auto message = kind == wire::FrameKind::Fleet
            ? wire::fleet::decode(payload)
            : Result<core::Message> { wire::DecodeError::UnexpectedKind };
        if (message)
            m_handlers.onMessage(message.value());
        return message.has_value();
    };
    handlers.onClosed = [entry](const std::string&) { entry->closed = true; };
    entry->link = connectLink(m_base, address, m_self, m_counters, std::move(handlers));
    entry->closed = !entry->link;
}

void SeedLinks::tick(const std::set<std::string>& controls, Instant now)
{
    const auto wanted = [&](const std::string& address) {
        return std::find(m_seeds.begin(), m_seeds.end(), address) != m_seeds.end() && !controls.contains(address);
    };
    std::erase_if(m_links, [&](const auto& it) {
        const bool idle = it.link && now >= it.link->lastReceivedAt() + ControlLink::idleTimeout;
        return !wanted(it.address) || ((it.closed || idle) && now >= it.connectedAt + retryPause);
    });
    for (auto& it : m_links) {
        if (!it.closed && it.link->remote() && now >= it.sentAt + ControlLink::keepAliveInterval) {
            it.sentAt = now;
            sendMessage(*it.link, core::Alive {});
        }
    }
    for (const auto& seed : m_seeds) {
        const bool linked
            = std::any_of(m_links.begin(), m_links.end(), [&](const auto& it) { return it.address == seed; });
        if (!linked && wanted(seed))
            connect(seed, now);
    }
}

} // namespace rosemarymill::runtime::nodes
