#include <rosemarymill/runtime/http/problem.hpp>

#include <rosemarymill/runtime/http/server.hpp>

#include <nlohmann/json.hpp>

#include <chrono>

namespace rosemarymill::runtime::http {

namespace {

using call::Outcome;
using call::RefusalReason;

const char* nameOf(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Failed:
        return "failed";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

struct StatusAndTitle {
    int status;
    const char* title;
};

StatusAndTitle describe(RefusalReason reason) noexcept
{
    switch (reason) {
    case RefusalReason::BadRequest:
        return { 400, "Bad request" };
    case RefusalReason::Unauthenticated:
        return { 401, "Unauthenticated" };
    case RefusalReason::UnknownModel:
        return { 404, "Unknown model" };
    case RefusalReason::UnknownService:
        return { 404, "Unknown service" };
    case RefusalReason::UnknownRoute:
        return { 404, "Unknown route" };
    case RefusalReason::MissingIdempotencyKey:
        return { 400, "Missing Idempotency-Key" };
    case RefusalReason::KeyReused:
        return { 422, "Idempotency-Key reused" };
    case RefusalReason::DeadlineUnreachable:
        return { 503, "Deadline unreachable" };
    case RefusalReason::QueueFull:
        return { 429, "Queue full" };
    case RefusalReason::NoCapacity:
        return { 503, "No capacity" };
    case RefusalReason::LedgerUnreachable:
        return { 503, "Ledger unreachable" };
    case RefusalReason::Quarantined:
        return { 422, "Request quarantined" };
    case RefusalReason::ServerFailed:
        return { 502, "Backend server failed" };
    case RefusalReason::AnswerLost:
        return { 502, "Answer lost" };
    case RefusalReason::ShuttingDown:
        return { 503, "Shutting down" };
    case RefusalReason::NotReady:
        break;
    }
    return { 503, "Not ready" };
}

} // namespace

Problem problemOf(const call::Refusal& refusal)
{
    const auto [status, title] = describe(refusal.reason);
    return { status, title, nameOf(refusal.outcome), refusal.detail, refusal.retryAfter };
}

std::string formatProblem(const Problem& problem)
{
    const nlohmann::json document { { "type", "about:blank" }, { "title", problem.title }, { "status", problem.status },
        { "detail", problem.detail }, { "outcome", problem.outcome } };
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void replyProblem(Exchange& exchange, const Problem& problem)
{
    Headers headers;
    if (problem.retryAfter > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(problem.retryAfter);
        headers.emplace_back("Retry-After", std::to_string(seconds.count()));
    }
    if (problem.status == 401)
        headers.emplace_back("WWW-Authenticate", "Bearer");
    exchange.reply(problem.status, "application/problem+json", formatProblem(problem), headers);
}

} // namespace rosemarymill::runtime::http
