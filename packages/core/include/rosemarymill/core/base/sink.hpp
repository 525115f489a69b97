#pragma once

#include <concepts>
#include <utility>
#include <vector>

/// Effects as data: reducers append effects to a sink and execute nothing themselves.
namespace rosemarymill {

/// Receiver of the effects of one reducer.
template <typename Sink, typename Effect>
concept EffectSink = std::invocable<Sink&, Effect&&>;

/// Sink that collects effects in order. clear() keeps the capacity, so a reused list does not allocate.
template <typename Effect> class EffectList {
public:
    void operator()(Effect&& effect) { m_effects.push_back(std::move(effect)); }

    [[nodiscard]] auto begin() noexcept { return m_effects.begin(); }
    [[nodiscard]] auto end() noexcept { return m_effects.end(); }
    [[nodiscard]] auto begin() const noexcept { return m_effects.begin(); }
    [[nodiscard]] auto end() const noexcept { return m_effects.end(); }
    [[nodiscard]] bool empty() const noexcept { return m_effects.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return m_effects.size(); }
    [[nodiscard]] const Effect& operator[](std::size_t pos) const noexcept { return m_effects[pos]; }
    void clear() noexcept { m_effects.clear(); }

private:
    std::vector<Effect> m_effects;
};

/// Combines lambdas into one visitor for std::visit.
template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace rosemarymill
