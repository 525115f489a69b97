#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>
#include <span>

/// Placement policies of the planner.
namespace rosemarymill::placement {

/// Free server that can join a group.
struct Spare {
    /// Whether the server already holds the weights.
    bool warm { false };
    /// Held models that would have to be unloaded.
    std::uint32_t modelsToUnload { 0 };
};

/// Fabric domain in which a new group fits.
struct DomainOption {
    std::uint32_t freeServers { 0 };
    /// Free servers that already hold the weights.
    std::uint32_t warmServers { 0 };
    std::uint32_t needed { 0 };
};

/// Weights that wait to be loaded.
struct LoadOption {
    /// Requests that wait for the model.
    std::uint32_t demand { 0 };
    /// Bytes still to be loaded before the group can serve.
    std::uint64_t bytes { 0 };
    /// Order in which the groups were created.
    std::uint64_t sequence { 0 };
};

/// Choices of a placement policy.
template <typename P>
concept PlacementPolicy = requires(std::span<const DomainOption> domains, const Spare& spare, const LoadOption& load)
{
    // Whether a group that lost members keeps the others and gets new members.
    {
        P::repairs
        } -> std::convertible_to<bool>;
    // Whether free servers load weights in advance, and groups of models in less demand are preempted.
    {
        P::preparesSpares
        } -> std::convertible_to<bool>;
    // Domain for a new group; all options have enough free servers.
    {
        P::chooseDomain(domains)
        } -> std::same_as<std::optional<std::size_t>>;
    // Whether the first spare is preferred to the second.
    {
        P::prefers(spare, spare)
        } -> std::same_as<bool>;
    // Whether the first load goes before the second.
    {
        P::loadsBefore(load, load)
        } -> std::same_as<bool>;
};

/// Default policy: warm spares, repair in place, best fit, loads in the order of waiting requests per byte.
struct WarmSparePolicy {
    static constexpr bool repairs = true;
    static constexpr bool preparesSpares = true;

    [[nodiscard]] static std::optional<std::size_t> chooseDomain(std::span<const DomainOption> domains)
    {
        const auto better = [](const DomainOption& a, const DomainOption& b) {
            const auto warmA = std::min(a.warmServers, a.needed);
            const auto warmB = std::min(b.warmServers, b.needed);
            // Fewest bytes to load first, then best fit, so that domains with many free servers stay for large groups.
            return warmA != warmB ? warmA > warmB : a.freeServers < b.freeServers;
        };
        const auto it = std::min_element(domains.begin(), domains.end(), better);
        return it == domains.end() ? std::nullopt : std::optional<std::size_t> { it - domains.begin() };
    }

    [[nodiscard]] static bool prefers(const Spare& a, const Spare& b)
    {
        return a.warm != b.warm ? a.warm : a.modelsToUnload < b.modelsToUnload;
    }

    [[nodiscard]] static bool loadsBefore(const LoadOption& a, const LoadOption& b)
    {
        const auto valueA
            = static_cast<double>(a.demand + 1) / static_cast<double>(std::max<std::uint64_t>(a.bytes, 1));
        const auto valueB
            = static_cast<double>(b.demand + 1) / static_cast<double>(std::max<std::uint64_t>(b.bytes, 1));
        return valueA != valueB ? valueA > valueB : a.sequence < b.sequence;
    }
};

/// Baseline: no spares, no repair, first fit, loads in the order in which the groups were created.
struct FirstFitPolicy {
    static constexpr bool repairs = false;
    static constexpr bool preparesSpares = false;

    [[nodiscard]] static std::optional<std::size_t> chooseDomain(std::span<const DomainOption> domains)
    {
        return domains.empty() ? std::nullopt : std::optional<std::size_t> { 0 };
    }

    [[nodiscard]] static bool prefers(const Spare&, const Spare&) { return false; }

    [[nodiscard]] static bool loadsBefore(const LoadOption& a, const LoadOption& b) { return a.sequence < b.sequence; }
};

} // namespace rosemarymill::placement
