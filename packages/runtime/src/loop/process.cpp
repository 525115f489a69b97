#include <rosemarymill/runtime/loop/process.hpp>

#include <rosemarymill/core/node/reduce.hpp>
#include <rosemarymill/runtime/base/clock.hpp>

#include <csignal>
#include <stdexcept>

namespace rosemarymill::runtime {

namespace {

void onTick(evutil_socket_t, short, void* process) { static_cast<Process*>(process)->post(node::Tick { readClock() }); }

void onShutdownSignal(evutil_socket_t, short, void* process)
{
    static_cast<Process*>(process)->post(node::ShutdownRequested { readClock() });
}

} // namespace

Process::Process(node::Settings settings)
    : m_base(event_base_new())
    , m_state(std::move(settings))
{
    if (!m_base)
        throw std::runtime_error("the event loop could not be created");
}

void Process::post(node::Event&& event)
{
    if (m_processing) {
        m_queue.push_back(std::move(event));
        return;
    }
    m_processing = true;
    reduceAndExecute(event);
    while (!m_queue.empty()) {
        const auto next = std::move(m_queue.front());
        m_queue.pop_front();
        reduceAndExecute(next);
    }
    m_processing = false;
}

void Process::reduceAndExecute(const node::Event& event)
{
    m_effects.clear();
    node::reduce(m_state, event, m_effects);
    if (m_observer)
        m_observer(event, m_state, m_effects);
    for (auto& effect : m_effects) {
        std::visit(
            [this](auto& it) {
                using Effect = std::remove_reference_t<decltype(it)>;
                auto& interceptor = std::get<std::function<bool(Effect&)>>(m_interceptors);
                auto& handler = std::get<std::function<void(Effect&)>>(m_handlers);
                if (!(interceptor && interceptor(it)) && handler)
                    handler(it);
            },
            effect);
    }
}

void Process::run()
{
    EventHandle tick(event_new(m_base.get(), -1, EV_PERSIST, onTick, this));
    EventHandle terminate(evsignal_new(m_base.get(), SIGTERM, onShutdownSignal, this));
    EventHandle interrupt(evsignal_new(m_base.get(), SIGINT, onShutdownSignal, this));
    std::signal(SIGPIPE, SIG_IGN);
    if (event_add(tick.get(), &tickInterval) != 0 || event_add(terminate.get(), nullptr) != 0
        || event_add(interrupt.get(), nullptr) != 0)
        throw std::runtime_error("the timer and signal events could not be added");
    post(node::Started { readClock() });
    event_base_dispatch(m_base.get());
}

void Process::stop() noexcept { event_base_loopbreak(m_base.get()); }

} // namespace rosemarymill::runtime
