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

/// Event loop of a process: it owns the node state and dispatches effects to adapters.
namespace rosemarymill::runtime {

namespace detail {

template <typename Variant> struct HandlersOf;
template <typename... Effects> struct HandlersOf<std::variant<Effects...>> {
    using Type = std::tuple<std::function<void(Effects&)>...>;
    using Interceptors = std::tuple<std::function<bool(Effects&)>...>;
};

} // namespace detail

/// Owns the libevent base and the node state. Adapters register a handler for each effect type that they execute.
class Process {
public:
    /// Time between two Tick events.
    static constexpr timeval tickInterval { 0, 100'000 };

    explicit Process(node::Settings settings);

    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    [[nodiscard]] event_base* base() noexcept { return m_base.get(); }
    [[nodiscard]] const node::State& state() const noexcept { return m_state; }

    /// Sets the address to which backend servers send their announcements. It is available only once the listener is
    /// bound.
    void setAnnounceAddress(std::string address) { m_state.settings.announceAddress = std::move(address); }

    /// Sets the recovered log of a ledger home. Call it before run(). Without that home in the state it has no effect.
    void recoverLedger(const DataCentreId& home, ledger::PersistedLog persistedState)
    {
        if (const auto it = m_state.ledger.homes.find(home); it != m_state.ledger.homes.end())
            it->second.persistedState = std::move(persistedState);
    }

    /// Sets the configuration log recovered from the data folder. Call it before run().
    void recoverConfiguration(configuration::PersistedLog persistedState)
    {
        m_state.configurationLog.persistedState = std::move(persistedState);
    }

    /// Registers the handler of one effect type. A second registration replaces the first.
    template <typename Effect> void onEffect(std::function<void(Effect&)> handler)
    {
        std::get<std::function<void(Effect&)>>(m_handlers) = std::move(handler);
    }

    /// Registers a function that is called before the handler of one effect type. It returns true if it has executed
    /// the effect, so that the handler is skipped.
    template <typename Effect> void interceptEffect(std::function<bool(Effect&)> interceptor)
    {
        std::get<std::function<bool(Effect&)>>(m_interceptors) = std::move(interceptor);
    }

    /// Called with each event after its reduction, before its effects are executed.
    using Observer = std::function<void(const node::Event&, const node::State&, const node::Effects&)>;

    /// Registers the observer. A second registration replaces the first.
    void observe(Observer observer) { m_observer = std::move(observer); }

    /// Reduces an event and executes its effects. An event posted meanwhile is queued and processed afterwards.
    void post(node::Event&& event);

    /// Runs until stop() is called, as by the handler of node::Exit. SIGTERM and SIGINT post ShutdownRequested.
    void run();

    /// Ends run() after the current event.
    void stop() noexcept;

private:
    void reduceAndExecute(const node::Event& event);

    EventBaseHandle m_base;
    node::State m_state;
    node::Effects m_effects;
    std::deque<node::Event> m_queue;
    bool m_processing { false };
    Observer m_observer;
    detail::HandlersOf<node::Effect>::Type m_handlers;
    detail::HandlersOf<node::Effect>::Interceptors m_interceptors;
};

} // namespace rosemarymill::runtime
