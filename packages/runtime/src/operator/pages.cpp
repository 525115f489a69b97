#include <rosemarymill/runtime/operator/pages.hpp>

#include <rosemarymill/core/node/load.hpp>

#include <nlohmann/json.hpp>

namespace rosemarymill::runtime {

namespace {

using nlohmann::ordered_json;

std::string_view phaseName(placement::GroupPhase phase) noexcept
{
    switch (phase) {
    case placement::GroupPhase::Forming:
        return "forming";
    case placement::GroupPhase::Confirming:
        return "confirming";
    case placement::GroupPhase::Serving:
        return "serving";
    case placement::GroupPhase::Degraded:
        return "degraded";
    case placement::GroupPhase::Dissolving:
        return "dissolving";
    }
    return "unknown";
}

ordered_json configurationOf(const node::State& state)
{
    const auto& it = state.configuration;
    return { { "revision", it.revision.value }, { "submission_id", it.submissionId }, { "digest", it.digest } };
}

ordered_json groupsOf(const node::State& state)
{
    auto groups = ordered_json::array();
    for (const auto& [id, group] : state.groups) {
        auto members = ordered_json::array();
        for (const auto& member : group.members)
            members.push_back(member.server.text());
        groups.push_back({ { "id", id.value }, { "model", group.model.text() }, { "version", group.version },
            { "phase", phaseName(group.phase) }, { "fencing", group.fencing.value },
            { "fabric_domain", group.fabricDomain.text() }, { "members", std::move(members) } });
    }
    return groups;
}

ordered_json serversOf(const node::State& state)
{
    auto servers = ordered_json::array();
    for (const auto& [id, record] : state.servers) {
        const auto& it = record.announcement;
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(state.now - record.lastSeen);
        servers.push_back({ { "id", id.text() }, { "vm", it.vm.text() }, { "address", it.address },
            { "kind", it.kind == backend::Kind::Engine ? "engine" : "service" }, { "service", it.service.text() },
            { "fabric_domain", it.fabricDomain.text() }, { "cold", it.cold }, { "leaving", it.leaving },
            { "running", it.load.running }, { "queued", it.load.queued },
            { "in_flight", node::requestsInFlight(state, id) }, { "age_ms", age.count() } });
    }
    return servers;
}

} // namespace

Readiness readiness(const node::State& state)
{
    if (state.shuttingDown)
        return { false, "shutting down" };
    const auto& log = state.configurationLog;
    const bool confirmed = state.settings.configurationVoters.empty() || (log.readiness && log.readiness->ready());
    if (!confirmed)
        return { false, "the revision is not confirmed by the quorum, a majority of peers or the local disk" };
    if (!state.configuration.revision)
        return { false, "no configuration is in force" };
    if (log.readiness && log.readiness->unconfirmed())
        return { true, "revision unconfirmed" };
    return { true, {} };
}

std::string statusJson(const node::State& state)
{
    const auto ready = readiness(state);
    const ordered_json document { { "vm", state.settings.vm.text() },
        { "data_centre", state.settings.dataCentre.text() }, { "boot_id", state.settings.bootId.text() },
        { "ready", ready.ready }, { "reason", ready.reason }, { "shutting_down", state.shuttingDown },
        { "configuration", configurationOf(state) },
        { "calls", { { "active", state.calls.active.size() }, { "waiting", node::waitingCalls(state) } } },
        { "groups", groupsOf(state) }, { "servers", serversOf(state) } };
    return document.dump();
}

std::string revisionsJson(const node::State& state)
{
    auto revisions = ordered_json::array();
    if (state.configuration.revision)
        revisions.push_back(configurationOf(state));
    return ordered_json { { "revisions", std::move(revisions) } }.dump();
}

std::optional<Page> monitoringPage(std::string_view path, const node::State& state, const MetricsText& metrics)
{
    if (path == "/healthz")
        return Page { 200, "text/plain", "ok\n" };
    if (path == "/readyz") {
        const auto it = readiness(state);
        return Page { it.ready ? 200 : 503, "text/plain",
            (it.ready ? "ready" : "not ready") + (it.reason.empty() ? std::string {} : ": " + it.reason) + "\n" };
    }
    if (path == "/metrics" && metrics)
        return Page { 200, "text/plain; version=0.0.4", metrics() };
    return std::nullopt;
}

} // namespace rosemarymill::runtime
