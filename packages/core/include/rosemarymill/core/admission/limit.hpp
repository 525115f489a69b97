#pragma once

#include <rosemarymill/core/base/time.hpp>

#include <cstdint>

/// Adaptive concurrency limit of a backend server, derived from its answers.
namespace rosemarymill::admission {

/// Completed answers without latency growth after which a cold server gets one more slot.
inline constexpr std::uint32_t answersPerSlot = 4;

/// Concurrency limit of one server. It starts at the number of requests that the server sustains while cold and grows
/// with completed answers up to the announced maximum. A jump in latency resets it to the cold limit.
class ServerLimit {
public:
    /// Initializes the limit. A server that already runs more requests than the cold limit starts at that number;
    /// `running` is 0 for a cold server.
    void start(std::uint32_t cold, std::uint32_t maximum, std::uint32_t running) noexcept;

    /// Resets the limit to the cold limit.
    void shrink() noexcept;

    /// Updates the announced bounds of a running server.
    void setBounds(std::uint32_t cold, std::uint32_t maximum) noexcept;

    /// Records the number of answers that started, the mean time to their start, and the number of completed answers.
    void observe(std::uint32_t started, Duration firstResponse, std::uint32_t completed) noexcept;

    [[nodiscard]] std::uint32_t value() const noexcept { return m_limit; }

private:
    /// Updates the latency averages and returns whether the limit may grow. A latency jump shrinks the limit.
    bool observeLatency(std::uint32_t started, Duration firstResponse) noexcept;

    std::uint32_t m_cold { 1 };
    std::uint32_t m_maximum { 1 };
    std::uint32_t m_limit { 1 };
    std::uint32_t m_successes { 0 };
    std::uint32_t m_samples { 0 };
    bool m_mayGrow { true };
    /// Recent and long-term mean time to the start of an answer in microseconds.
    double m_recent { 0.0 };
    double m_baseline { 0.0 };
};

} // namespace rosemarymill::admission
