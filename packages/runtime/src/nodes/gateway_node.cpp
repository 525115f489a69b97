#include <rosemarymill/runtime/nodes/gateway_node.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>

#include <algorithm>
#include <ostream>

#include <event2/event.h>

namespace rosemarymill::runtime::nodes {

namespace core = rosemarymill::fleet;

namespace {

/// Interval at which the connection to the leader and the calls are checked.
constexpr timeval tickInterval { 0, 50'000 };

} // namespace

GatewayNode::GatewayNode(event_base* base, GatewayNodeSettings settings)
    : m_settings(std::move(settings))
    , m_self { VmId { m_settings.address }, m_settings.dataCentre, BootId { std::to_string(m_settings.seed) } }
    , m_subscribers(base, m_settings.address, m_self,
          { [this](Subscriber& it) { onSubscribed(it); }, [](const Subscriber&, const core::Report&) {},
              [](const Subscriber&, std::uint64_t) {}, [](const VmId&, std::span<const std::byte>) { return false; },
              [](const Subscriber&) {}, {}, {} })
    , m_link(base, m_self,
          { [this](const core::Message& message) {
               if (const auto* ticket = std::get_if<core::CallTicket>(&message))
                   m_calls.receive(*ticket);
               else if (const auto* answer = std::get_if<core::ForwardedAnswer>(&message))
                   m_calls.receive(*answer);
           },
              [this] {
                  return core::Subscribe { m_settings.address, false, 0, true, false };
              },
              [this](bool connected) { m_calls.setConnected(connected); } })
    , m_calls([this](const core::Message& message) { m_link.send(message); })
    , m_tick(event_new(
          base, -1, EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<GatewayNode*>(self)->tick(); },
          this))
{
    setSeeds(m_settings.seeds);
    event_add(m_tick.get(), &tickInterval);
}

void GatewayNode::setSeeds(const std::vector<std::string>& seeds)
{
    std::vector<std::string> others;
    std::copy_if(seeds.begin(), seeds.end(), std::back_inserter(others),
        [&](const auto& it) { return it != m_settings.address; });
    m_link.setSeeds(std::move(others));
}

std::string GatewayNode::leader() const
{
    return m_link.hasLiveLeader(readClock()) ? m_link.members().leader : std::string {};
}

core::Members GatewayNode::members() const
{
    core::Members members;
    if (m_link.connected()) {
        members = m_link.members();
        // Entry VMs accept the list of entry VMs that share limits from the leader only.
        members.entryVms.clear();
    }
    members.controls.assign(m_link.discovered().begin(), m_link.discovered().end());
    return members;
}

void GatewayNode::onSubscribed(Subscriber& subscriber)
{
    const auto& it = subscriber.subscription;
    if (it.control) {
        m_link.addDiscovered(it.address);
        const auto first = std::min_element(m_settings.seeds.begin(), m_settings.seeds.end());
        const bool choosesBootstrapVm = m_settings.bootstrap && it.mayBootstrap && *first == m_settings.address;
        if (choosesBootstrapVm && m_bootstrapVm.empty()) {
            m_bootstrapVm = it.address;
            writeDecision("fleet", "chose bootstrap VM", { { "vm", m_bootstrapVm } });
        }
        if (choosesBootstrapVm && m_bootstrapVm == it.address)
            m_subscribers.send(subscriber, core::Bootstrap {});
    }
    m_subscribers.send(subscriber, members());
}

void GatewayNode::tick()
{
    const auto now = readClock();
    m_subscribers.tick(now);
    m_link.tick(now);
    m_calls.tick(now);
    if (m_onFinished && !m_calls.hasPendingCalls())
        m_onFinished();
}

void GatewayNode::shutDown(std::function<void()> finished) { m_onFinished = std::move(finished); }

void GatewayNode::writeMetrics(std::ostream& out) const
{
    out << "# TYPE rosemarymill_control_connected gauge\nrosemarymill_control_connected "
        << (m_link.connected() ? 1 : 0) << '\n';
    m_calls.writeMetrics(out);
}

} // namespace rosemarymill::runtime::nodes
