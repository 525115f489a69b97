#pragma once

#include <rosemarymill/core/node/reduce.hpp>

#include <utility>
#include <vector>

/// One process with one backend server of the service "kit-desk", for tests of the top reducer.
namespace rosemarymill::test {

class ProcessFixture {
public:
    ProcessFixture()
        : m_state(settings())
    {
        configuration::Manifest manifest;
        manifest.dataCentres = { DataCentreId { "mixco" } };
        configuration::ClientAccount account;
        account.id = AccountId { "brand-1" };
        account.tokenDigests = { "digest-1" };
        manifest.accounts = { account };
        configuration::ServiceSpec service;
        service.name = ServiceName { "kit-desk" };
        service.routes = { { "POST", "/orders", false } };
        manifest.services = { service };
        apply(node::ManifestSubmitted { m_now, RequestId { 1 }, std::nullopt, "s", "d", manifest });
        announce();
    }

    void announce()
    {
        backend::Announcement it;
        it.id = ServerId { "desk-1" };
        it.bootId = BootId { "boot-1" };
        it.vm = VmId { "vm-1" };
        it.dataCentre = DataCentreId { "mixco" };
        it.address = "127.0.0.1:9001";
        it.kind = backend::Kind::Service;
        it.service = ServiceName { "kit-desk" };
        it.maxRequests = 4;
        apply(node::AnnouncementReceived { m_now, RequestId { 2 }, it });
    }

    void order(std::uint64_t call, std::uint64_t fingerprintLow = 7)
    {
        call::Request request;
        request.tokenDigest = "digest-1";
        request.target = call::Target::Service;
        request.service = ServiceName { "kit-desk" };
        request.method = "POST";
        request.path = "/orders";
        request.idempotencyKey = "order-1";
        request.fingerprint = { 1, fingerprintLow };
        apply(node::CallArrived { m_now, CallId { call }, request });
    }

    void finish(AttemptId attempt)
    {
        apply(node::ResponseStarted { m_now, attempt, 201, false });
        apply(node::ResponseFinished { m_now, attempt, ledger::Answer { 201, "text/plain", "ordered" } });
    }

    void wait(Duration duration)
    {
        for (const auto end = m_now + duration; m_now < end;) {
            m_now += 100ms;
            apply(node::Tick { m_now });
            if (m_now.time_since_epoch() % 1s == Duration::zero())
                announce();
        }
    }

    void apply(const node::Event& event) { node::reduce(m_state, event, m_effects); }

    template <typename T> std::vector<T> effectsOf()
    {
        std::vector<T> found;
        for (const auto& it : m_effects) {
            if (const auto* effect = std::get_if<T>(&it))
                found.push_back(*effect);
        }
        return found;
    }

    void clearEffects() { m_effects.clear(); }
    [[nodiscard]] Instant now() const { return m_now; }

private:
    static node::Settings settings()
    {
        node::Settings it;
        it.vm = VmId { "entry-1" };
        it.dataCentre = DataCentreId { "mixco" };
        it.bootId = BootId { "boot-a" };
        it.announceAddress = "127.0.0.1:7000";
        return it;
    }

    Instant m_now { 100s };
    node::State m_state;
    node::Effects m_effects;
};

} // namespace rosemarymill::test
