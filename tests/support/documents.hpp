#pragma once

#include <rosemarymill/core/routes/document_table.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <utility>

/// Documents for tests.
namespace rosemarymill::test {

/// Document with many routes over 20 hosts. Versions differ in their first route.
inline routes::Document largeDocument(std::uint64_t version, std::size_t routeCount)
{
    routes::Document document;
    document.version = version;
    for (std::size_t i = 0; i < routeCount; ++i) {
        routes::Route route;
        route.name = "route-" + std::to_string(i) + (i == 0 ? "-" + std::to_string(version) : "");
        route.host = "host-" + std::to_string(i % 20) + ".example";
        route.pathPrefix = "/path-" + std::to_string(i) + "/";
        route.timeout = 8s;
        route.shares = { { ServiceName { "desk" }, 1 } };
        document.routes.push_back(std::move(route));
    }
    document.services.push_back({ ServiceName { "desk" }, "/health", 100, {}, 0, {} });
    return document;
}

/// Generates random documents, each of which differs from the one before in a few entries: added, changed, removed and
/// moved. Some hosts differ only in case; pairs of host and prefix, services and accounts may be duplicates.
class DocumentGenerator {
public:
    explicit DocumentGenerator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// The next document, whose version is higher by 1 to 5.
    const routes::Document& next()
    {
        m_document.version += 1 + below(5);
        for (auto n = below(6); n > 0; --n)
            change(m_document.routes, [this] { return route(); });
        for (auto n = below(3); n > 0; --n)
            change(m_document.services, [this] { return service(); });
        for (auto n = below(3); n > 0; --n)
            change(m_document.accounts, [this] { return account(); });
        if (below(5) == 0)
            m_document.limits.bodyBytes = below(1000);
        return m_document;
    }

    std::size_t below(std::size_t n) { return m_random() % n; }

private:
    std::string name(const char* prefix, std::size_t n) { return prefix + std::to_string(below(n)); }
    Duration duration() { return Duration { static_cast<std::int64_t>(below(10'000'000)) }; }

    routes::Route route()
    {
        routes::Route it;
        it.name = name("route-", 100);
        it.host = name(below(4) == 0 ? "Host-" : "host-", 4);
        it.pathPrefix = name("/path-", 10) + "/";
        it.kind = static_cast<routes::RequestKind>(below(3));
        it.timeout = duration();
        it.latencyGoal = duration();
        it.interEventLatencyGoal = duration();
        it.priority = static_cast<unsigned>(below(3));
        for (auto n = below(3) + 1; n > 0; --n)
            it.shares.push_back({ ServiceName { name("service-", 5) }, static_cast<double>(below(100)) / 7 });
        it.maxServers = static_cast<unsigned>(below(4));
        it.isPublic = below(2) == 0;
        it.resumable = below(2) == 0;
        return it;
    }

    routes::Service service()
    {
        routes::Service it { ServiceName { name("service-", 5) }, name("/health-", 3),
            static_cast<unsigned>(below(100)), duration(), static_cast<double>(below(100)) / 3, {} };
        if (below(2) == 0) {
            auto& engine = it.engine.emplace();
            engine.slots = static_cast<unsigned>(below(50));
            for (auto n = below(3); n > 0; --n)
                engine.models.push_back({ ModelName { name("model-", 3) }, static_cast<unsigned>(below(12)),
                    static_cast<double>(below(10)) / 10, static_cast<double>(below(10)) / 9, duration(), duration() });
            engine.loadsPerSecond = static_cast<double>(below(100)) / 3;
            engine.concurrentLoads = static_cast<unsigned>(below(9));
            engine.formation = duration();
            engine.step = duration();
            engine.stepPerRequest = duration();
            engine.stepsPerPass = static_cast<unsigned>(below(9));
            engine.meanAnswerTokens = static_cast<double>(below(1000));
            engine.promptTokensPerSecond = static_cast<double>(below(100'000)) / 3;
        }
        return it;
    }

    routes::Account account()
    {
        routes::Account it { AccountId { name("account-", 6) }, {}, {} };
        for (auto n = below(3); n > 0; --n)
            it.keys.push_back(name("key-", 20));
        if (below(2) == 0)
            it.priority = static_cast<unsigned>(below(3));
        return it;
    }

    template <typename List, typename Make> void change(List& list, Make&& make)
    {
        const auto at = list.begin() + static_cast<std::ptrdiff_t>(below(list.size() + 1));
        const auto kind = list.empty() ? 0 : below(4);
        if (kind == 0)
            list.insert(at, make());
        else if (kind == 1)
            list[below(list.size())] = make();
        else if (kind == 2)
            list.erase(list.begin() + static_cast<std::ptrdiff_t>(below(list.size())));
        else
            std::rotate(list.begin(), at, list.end());
    }

    std::mt19937_64 m_random;
    routes::Document m_document;
};

} // namespace rosemarymill::test
