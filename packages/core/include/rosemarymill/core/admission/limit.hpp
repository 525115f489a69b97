#pragma once

#include <rosemarymill/core/base/time.hpp>

#include <cstdint>

/// Number of requests that a backend server may run at once, learned from its answers.
namespace rosemarymill::admission {

/// Completed answers without latency growth after which a cold server gets one more slot.
inline constexpr std::uint32_t answersPerSlot = 4;

/// Limit of one server. It starts at the load that the server sustains while cold and grows with measured success up to
/// the announced maximum. A jump in latency sets it back to the cold load.
class ServerLimit {
public:
    /// Starts a server. A server that is not cold and already runs requests starts at that load.
    void start(std::uint32_t cold, std::uint32_t maximum, std::uint32_t running) noexcept;

    /// Sets the limit back to the cold load.
    void shrink() noexcept;

    /// Updates the announced bounds of a running server.
    void setBounds(std::uint32_t cold, std::uint32_t maximum) noexcept;

    /// Takes in completed answers with the mean time to the start of their answers.
    void observe(std::uint32_t completed, Duration firstResponse) noexcept;

    [[nodiscard]] std::uint32_t value() const noexcept { return m_limit; }

private:
    std::uint32_t m_cold { 1 };
    std::uint32_t m_maximum { 1 };
    std::uint32_t m_limit { 1 };
    std::uint32_t m_successes { 0 };
    std::uint32_t m_samples { 0 };
    /// Recent and long-term mean time to the start of an answer in microseconds.
    double m_recent { 0.0 };
    double m_baseline { 0.0 };
};

} // namespace rosemarymill::admission
