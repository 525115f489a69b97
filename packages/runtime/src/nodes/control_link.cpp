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
        writeLog(node::LogLevel::Warning, "fleet", "Rejected address " + address + ": it is malformed.");
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
    const auto tried = [this](const std::string& address) {
        return std::any_of(m_attempts.begin(), m_attempts.end(), [&](const auto& it) { return it.address == address; });
    };
    if (auto redirect = std::exchange(m_redirect, {}); !redirect.empty() && !tried(redirect))
        return redirect;
    std::vector<std::string> candidates = m_seeds;
    for (const auto& it : m_discovered) {
        if (std::find(candidates.begin(), candidates.end(), it) == candidates.end())
            candidates.push_back(it);
    }
    // A hash of the VM's name spreads the first connections over the control VMs.
    if (m_next == 0)
        m_next = std::hash<std::string> {}(m_self.vm.text());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& address = candidates[m_next++ % candidates.size()];
        if (!tried(address))
            return address;
    }
    return {};
}

void ControlLink::connect(const std::string& address)
{
    const auto attempt = m_attempts.emplace(m_attempts.end());
    attempt->address = address;
    LinkConnection::Handlers handlers;
    handlers.onHello = [this, attempt](const wire::link::Hello&) {
        if (!attempt->closed)
            sendMessage(*attempt->link, m_handlers.subscription());
        return !attempt->closed;
    };
    handlers.onFrame = [this, attempt](wire::FrameKind kind, std::span<const std::byte> payload) {
        if (attempt->closed)
            return true;
        const auto message = kind == wire::FrameKind::Fleet
            ? wire::fleet::decode(payload)
            : Result<core::Message> { wire::DecodeError::UnexpectedKind };
        if (message)
            receive(attempt, message.value());
        return message.has_value();
    };
    handlers.onClosed = [this, attempt](const std::string& reason) { close(attempt, reason); };
    attempt->link = connectLink(m_base, address, m_self, m_counters, std::move(handlers));
    if (!attempt->link)
        m_attempts.erase(attempt);
}

void ControlLink::close(std::list<Attempt>::iterator attempt, const std::string& reason)
{
    if (std::exchange(attempt->closed, true))
        return;
    attempt->link->resetOnClose();
    if (m_leader == &*attempt) {
        writeDecision("fleet", "lost control link", { { "control", attempt->address }, { "why", reason } });
        m_leader = nullptr;
        if (m_handlers.onConnected)
            m_handlers.onConnected(false);
    }
    m_closed.splice(m_closed.end(), m_attempts, attempt);
    if (m_attempts.empty())
        m_retryAt = readClock() + retryPause;
}

void ControlLink::closeOthers(const Attempt* kept, const std::string& reason)
{
    for (auto it = m_attempts.begin(); it != m_attempts.end();) {
        const auto attempt = it++;
        if (&*attempt != kept)
            close(attempt, reason);
    }
}

void ControlLink::receive(std::list<Attempt>::iterator attempt, const core::Message& message)
{
    attempt->received = true;
    if (const auto* members = std::get_if<core::Members>(&message)) {
        m_members = *members;
        m_discovered.insert(members->controls.begin(), members->controls.end());
        const bool leads = !members->leader.empty() && members->leader == attempt->address;
        if (leads && m_leader != &*attempt) {
            m_leader = &*attempt;
            m_sentAt = readClock();
            closeOthers(m_leader, "another control VM leads");
            writeDecision("fleet", "established control link",
                { { "control", attempt->address }, { "term", std::to_string(members->term) } });
            if (m_handlers.onConnected)
                m_handlers.onConnected(true);
        } else if (!leads) {
            m_redirect = members->leader == attempt->address ? std::string {} : members->leader;
            close(attempt, "the VM does not lead");
        }
    }
    m_handlers.onMessage(message);
}

void ControlLink::tick(Instant now)
{
    m_closed.clear();
    const bool idle = m_attempts.empty();
    for (auto it = m_attempts.begin(); it != m_attempts.end();) {
        const auto attempt = it++;
        if (now >= attempt->link->lastReceivedAt() + (attempt->received ? idleTimeout : firstMessageTimeout))
            close(attempt, "silent");
    }
    if (m_leader) {
        if (now >= m_sentAt + keepAliveInterval)
            send(core::Alive {});
        return;
    }
    if (now < m_retryAt || m_attempts.size() >= maxAttempts || (!idle && m_attempts.empty()))
        return;
    m_retryAt = now + retryPause;
    if (const auto address = nextAddress(); !address.empty())
        connect(address);
}

void ControlLink::follow(const std::string& leader)
{
    if (leader.empty() || (m_leader && m_leader->address == leader))
        return;
    if (m_leader) {
        const auto attempt
            = std::find_if(m_attempts.begin(), m_attempts.end(), [this](const auto& it) { return &it == m_leader; });
        close(attempt, "another control VM leads");
    }
    m_redirect = leader;
    if (std::exchange(m_lastFollowed, leader) != leader)
        m_retryAt = {};
}

void ControlLink::disconnect()
{
    m_closed.clear();
    closeOthers(nullptr, "connection not needed");
}

bool ControlLink::hasLiveLeader(Instant now) const noexcept
{
    return m_leader && now < m_leader->link->lastReceivedAt() + 2 * keepAliveInterval;
}

void ControlLink::send(const core::Message& message)
{
    if (!m_leader)
        return;
    m_sentAt = readClock();
    sendMessage(*m_leader->link, message);
}

} // namespace rosemarymill::runtime::nodes
