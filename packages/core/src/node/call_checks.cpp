#include "call_handlers.hpp"

#include <algorithm>

namespace rosemarymill::node {

namespace {

using call::Outcome;
using call::Refusal;
using call::RefusalReason;

const configuration::ClientAccount* findAccount(const State& state, const std::string& digest)
{
    for (const auto& account : state.configuration.manifest.accounts) {
        if (std::find(account.tokenDigests.begin(), account.tokenDigests.end(), digest) != account.tokenDigests.end())
            return &account;
    }
    return nullptr;
}

bool hasModel(const State& state, const call::Request& request)
{
    const auto& models = state.configuration.manifest.models;
    return std::any_of(models.begin(), models.end(), [&](const auto& it) {
        return it.name == request.model && (request.version.empty() || request.version == it.version);
    });
}

const configuration::Route* findRoute(const configuration::ServiceSpec& service, const call::Request& request)
{
    const configuration::Route* best = nullptr;
    for (const auto& route : service.routes) {
        if (route.method != request.method || !request.path.starts_with(route.pathPrefix))
            continue;
        if (!best || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

Refusal refusalOf(RefusalReason reason, std::string detail)
{
    return { reason, Outcome::NotRun, {}, std::move(detail) };
}

std::optional<Refusal> checkService(const State& state, const call::Request& request, CallTerms& terms)
{
    const auto& services = state.configuration.manifest.services;
    const auto it = std::find_if(
        services.begin(), services.end(), [&](const auto& service) { return service.name == request.service; });
    if (it == services.end())
        return refusalOf(RefusalReason::UnknownService, "no service '" + request.service.text() + "'");
    const auto* route = findRoute(*it, request);
    if (!route)
        return refusalOf(RefusalReason::UnknownRoute, "no route for " + request.method + " " + request.path);
    terms.idempotent = route->idempotent;
    if (!route->idempotent && request.idempotencyKey.empty())
        return refusalOf(RefusalReason::MissingIdempotencyKey,
            "the route is not idempotent and the request has no Idempotency-Key header");
    return std::nullopt;
}

void setKind(const configuration::ClientAccount& account, const call::Request& request, CallTerms& terms)
{
    const auto it = std::find_if(
        account.kinds.begin(), account.kinds.end(), [&](const auto& kind) { return kind.name == request.kind; });
    if (it != account.kinds.end()) {
        terms.worth = it->worth;
        terms.deadline = it->deadline;
    }
    if (request.deadline > Duration::zero())
        terms.deadline = request.deadline;
}

} // namespace

std::variant<CallTerms, Refusal> checkCall(const State& state, const call::Request& request)
{
    const auto* account = findAccount(state, request.tokenDigest);
    if (!account)
        return refusalOf(RefusalReason::Unauthenticated, "the bearer token belongs to no client account");
    if (!lifecycle::acceptsCalls(state.policy.shutdown, state.now))
        return Refusal { RefusalReason::ShuttingDown, Outcome::NotRun, 1s, "the entry VM is shutting down" };
    CallTerms terms;
    terms.account = account->id;
    terms.weight = account->weight;
    setKind(*account, request, terms);
    if (request.target == call::Target::Service) {
        if (auto refusal = checkService(state, request, terms))
            return std::move(*refusal);
    } else if (!hasModel(state, request)) {
        return refusalOf(RefusalReason::UnknownModel, "no model '" + request.model.text() + "'");
    }
    if (quarantine::verdictOf(state.policy.quarantine, request.fingerprint) == quarantine::Verdict::Refused)
        return refusalOf(
            RefusalReason::Quarantined, "the request was running on two backend servers when they crashed");
    if (hasRefusedPart(state, request))
        return refusalOf(RefusalReason::Quarantined, refusedPartDetail);
    return terms;
}

} // namespace rosemarymill::node
