#pragma once

#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/core/node/event.hpp>
#include <rosemarymill/core/node/state.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>
#include <rosemarymill/runtime/loop/post_event.hpp>

#include <deque>
#include <functional>
#include <tuple>
#include <variant>

/// One process: the event loop, the node state and the hand-over of effects to adapters.
namespace rosemarymill::runtime {

namespace detail {

template <typename Variant> struct HandlersOf;
template <typename... Effects> struct HandlersOf<std::variant<Effects...>> {
    using Type = std::tuple<std::function<void(Effects&)>...>;
    using Interceptors = std::tuple<std::function<bool(Effects&)>...>;
};

} // namespace detail

/// Owns the libevent base and the node state. Adapters register a handler for each effect type that they carry out.
class Process {
public:
    /// Time between two Tick events.
    static constexpr timeval tickInterval { 0, 100'000 };

    explicit Process(node::Settings settings);

    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    [[nodiscard]] event_base* base() noexcept { return m_base.get(); }
    [[nodiscard]] const node::State& state() const noexcept { return m_state; }

    /// Sets the address at which backend servers announce themselves. It is known only once the listener is bound.
    void setAnnounceAddress(std::string address) { m_state.settings.announceAddress = std::move(address); }

    /// Hands over the configuration log read from the data folder, before run().
    /// Hands over the state of a ledger home's log before the start.
    void recoverLedger(const DataCentreId& home, ledger::PersistedLog persistedState)
    {
        if (const auto it = m_state.ledger.homes.find(home); it != m_state.ledger.homes.end())
            it->second.persistedState = std::move(persistedState);
    }

    void recoverConfiguration(configuration::PersistedLog persistedState)
    {
        m_state.configurationLog.persistedState = std::move(persistedState);
    }

    /// Registers the handler of one effect type. A second registration replaces the first.
    template <typename Effect> void onEffect(std::function<void(Effect&)> handler)
    {
        std::get<std::function<void(Effect&)>>(m_handlers) = std::move(handler);
    }

    /// Registers a function that sees the effects of one type first and returns true for those it has carried out.
    template <typename Effect> void interceptEffect(std::function<bool(Effect&)> interceptor)
    {
        std::get<std::function<bool(Effect&)>>(m_interceptors) = std::move(interceptor);
    }

    /// Sees each event after its reduction, before the effects are carried out.
    using Observer = std::function<void(const node::Event&, const node::State&, const node::Effects&)>;

    /// Registers the observer. A second registration replaces the first.
    void observe(Observer observer) { m_observer = std::move(observer); }

    /// Reduces an event and carries out its effects. An event posted meanwhile is queued and reduced afterwards.
    void post(node::Event&& event);

    /// Runs until the core asks to exit or stop() is called. Reacts to SIGTERM and SIGINT with ShutdownRequested.
    void run();

    /// Ends run() after the current event.
    void stop() noexcept;

private:
    void reduceAndExecute(const node::Event& event);

    EventBaseHandle m_base;
    node::State m_state;
    node::Effects m_effects;
    std::deque<node::Event> m_queue;
    bool m_reducing { false };
    Observer m_observer;
    detail::HandlersOf<node::Effect>::Type m_handlers;
    detail::HandlersOf<node::Effect>::Interceptors m_interceptors;
};

} // namespace rosemarymill::runtime
