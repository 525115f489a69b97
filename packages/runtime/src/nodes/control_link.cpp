#include <rosemarymill/runtime/nodes/control_link.hpp>

#include <rosemarymill/runtime/base/address.hpp>
#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/wire/fleet/codec.hpp>

#include "socket.hpp"

#include <algorithm>
#include <functional>
#include <utility>

#include <event2/bufferevent.h>

namespace rosemarymill::runtime::nodes {

namespace core = rosemarymill::fleet;

std::unique_ptr<LinkConnection> connectLink(event_base* base, const std::string& address, const wire::link::Hello& self,
    LinkCounters& counters, LinkConnection::Handlers handlers)
{
    auto parsed = parseAddress(address);
    if (!parsed) {
        writeLog(node::LogLevel::Warning, "fleet", "The address " + address + " is malformed.");
        return nullptr;
    }
    auto* buf = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    auto link = std::make_unique<LinkConnection>(buf, self, counters, std::move(handlers));
    ++counters.connects;
    if (bufferevent_socket_connect(buf, parsed.value().get(), static_cast<int>(parsed.value().length)) != 0)
        bufferevent_trigger_event(buf, BEV_EVENT_ERROR, BEV_TRIG_DEFER_CALLBACKS);
    else
        setFleetSocketOptions(bufferevent_getfd(buf));
    return link;
}

void sendMessage(LinkConnection& link, const core::Message& message)
{
    wire::Buffer payload;
    wire::fleet::encode(message, payload);
    std::vector<std::byte> frame;
    wire::appendFrame(wire::FrameKind::Fleet, payload, frame);
    link.write(wire::FrameKind::Fleet, frame);
}

ControlLink::ControlLink(event_base* base, wire::link::Hello self, Handlers handlers)
    : m_base(base)
    , m_self(std::move(self))
    , m_handlers(std::move(handlers))
{
}

ControlLink::~ControlLink() = default;

void ControlLink::setSeeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }

std::string ControlLink::nextAddress()
{
    if (!m_redirect.empty())
        return std::exchange(m_redirect, {});
    std::vector<std::string> candidates = m_seeds;
    for (const auto& it : m_learned) {
        if (std::find(candidates.begin(), candidates.end(), it) == candidates.end())
            candidates.push_back(it);
    }
    if (candidates.empty())
        return {};
    // Processes begin at different control VMs.
    if (m_next == 0)
        m_next = std::hash<std::string> {}(m_self.vm.text());
    return candidates[m_next++ % candidates.size()];
}

void ControlLink::connect(const std::string& address, Instant now)
{
    // A connection that was given up may still receive frames and report its end until it is destroyed.
    const auto current = [this, generation = ++m_generation] { return generation == m_generation && m_link; };
    LinkConnection::Handlers handlers;
    handlers.onHello = [this, current](const wire::link::Hello&) {
        if (current())
            sendMessage(*m_link, m_handlers.subscription());
        return current();
    };
    handlers.onFrame = [this, current](wire::FrameKind kind, std::span<const std::byte> payload) {
        if (!current())
            return true;
        const auto message = kind == wire::FrameKind::Fleet
            ? wire::fleet::decode(payload)
            : Result<core::Message> { wire::DecodeError::UnexpectedKind };
        if (message)
            receive(message.value());
        return message.has_value();
    };
    handlers.onClosed = [this, current](const std::string& reason) {
        if (current())
            close(reason);
    };
    m_address = address;
    m_sentAt = now;
    m_received = m_subscribed = false;
    m_link = connectLink(m_base, address, m_self, m_counters, std::move(handlers));
}

void ControlLink::close(const std::string& reason)
{
    if (m_subscribed)
        writeDecision("fleet", "control link lost", { { "control", m_address }, { "why", reason } });
    m_subscribed = false;
    if (m_link)
        m_closed.push_back(std::move(m_link));
    m_retryAt = readClock() + retryPause;
}

void ControlLink::receive(const core::Message& message)
{
    m_received = true;
    if (const auto* members = std::get_if<core::Members>(&message)) {
        m_members = *members;
        m_learned.insert(members->controls.begin(), members->controls.end());
        const bool leads = !members->leader.empty() && members->leader == m_address;
        if (leads && !m_subscribed) {
            m_subscribed = true;
            writeDecision("fleet", "control link established",
                { { "control", m_address }, { "term", std::to_string(members->term) } });
        } else if (!leads) {
            m_redirect = members->leader == m_address ? std::string {} : members->leader;
            close("it does not lead");
        }
    }
    m_handlers.onMessage(message);
}

void ControlLink::tick(Instant now)
{
    m_closed.clear();
    if (!m_link) {
        if (now < m_retryAt)
            return;
        if (const auto address = nextAddress(); !address.empty())
            connect(address, now);
        if (!m_link)
            m_retryAt = now + retryPause;
        return;
    }
    if (now >= m_link->heardAt() + (m_received ? silenceLimit : connectLimit))
        return close("silent");
    if (now >= m_sentAt + aliveInterval)
        send(core::Alive {});
}

void ControlLink::disconnect()
{
    m_closed.clear();
    if (m_link)
        close("not needed");
}

void ControlLink::send(const core::Message& message)
{
    if (!m_subscribed || !m_link)
        return;
    m_sentAt = readClock();
    sendMessage(*m_link, message);
}

} // namespace rosemarymill::runtime::nodes
