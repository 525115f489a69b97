#include <rosemarymill/runtime/nodes/control_calls.hpp>

#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/fleet/machine.hpp>
#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/wire/compress/compress.hpp>

#include <array>
#include <cstdio>
#include <ostream>
#include <utility>

namespace rosemarymill::runtime::nodes {

namespace core = rosemarymill::fleet;

namespace {

constexpr unsigned unavailable = 503;
constexpr unsigned tooLarge = 413;

std::string fingerprint(const core::ControlCall& call)
{
    std::array<char, 17> text {};
    const auto hash = hash64(call.body, hash64(call.path, hash64(call.method)));
    const auto n = std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(hash));
    return { text.data(), static_cast<std::size_t>(n) };
}

std::string errorBody(std::string_view why) { return R"({"error":")" + std::string(why) + "\"}"; }

/// Compresses a body for forwarding. Empty bodies stay empty.
Result<std::string> compressBody(const std::string& body)
{
    if (body.empty())
        return std::string {};
    return wire::compress(body);
}

Result<std::string> decompressBody(const std::string& body)
{
    if (body.empty())
        return std::string {};
    return wire::decompress(body, core::maxDocumentBytes);
}

} // namespace

ControlCalls::ControlCalls(SendToLeader send)
    : m_send(std::move(send))
{
}

core::CallId ControlCalls::accept(core::ControlCall call, ReplyHandler onReply)
{
    const auto id = ++m_lastId;
    auto requestHash = fingerprint(call);
    writeDecision("fleet", "accepted call",
        { { "call", std::to_string(id) }, { "order", requestHash }, { "method", call.method }, { "path", call.path },
            { "bytes", std::to_string(call.body.size()) },
            { "leader",
                m_leads           ? "this VM"
                    : m_connected ? "connected"
                                  : "not connected" } });
    m_callers.emplace(id, Caller { std::move(requestHash), std::move(onReply) });
    if (m_leads) {
        const auto now = readClock();
        const auto arrivedAt = m_forwarder.earliestArrival(now);
        if (now > arrivedAt + core::callTimes(call.body.size()).offerWindow) {
            answer(id, { unavailable, errorBody("the call has waited for too long") }, "waited too long", 0,
                now - arrivedAt);
            return id;
        }
        m_execute(call, [this, id, arrivedAt](const core::ControlAnswer& it) {
            answer(id, it, "answered", 0, readClock() - arrivedAt);
        });
        return id;
    }
    auto body = compressBody(call.body);
    if (!body) {
        writeLog(node::LogLevel::Error, "fleet", "Rejected call, compression failed: " + body.error().message() + '.');
        answer(id, { unavailable, errorBody(body.error().message()) }, "compression failed", 0, {});
        return id;
    }
    if (body.value().size() > core::maxStoredDocumentBytes) {
        answer(id, { tooLarge, errorBody("the body is too long") }, "body too long", 0, {});
        return id;
    }
    call.body = std::move(body.value());
    post(core::event::CallReceived { readClock(), id, std::move(call) });
    return id;
}

void ControlCalls::callerDisconnected(core::CallId id)
{
    const auto it = m_callers.find(id);
    if (it == m_callers.end())
        return;
    writeDecision("fleet", "lost caller", { { "call", std::to_string(id) }, { "order", it->second.requestHash } });
    m_callers.erase(it);
    post(core::event::CallerDisconnected { readClock(), id });
}

void ControlCalls::execute(const core::ControlCall& call, ReplyHandler onReply)
{
    auto body = decompressBody(call.body);
    if (!body) {
        writeLog(node::LogLevel::Error, "fleet",
            "Rejected forwarded call, decompression failed: " + body.error().message() + '.');
        return onReply({ unavailable, errorBody(body.error().message()) });
    }
    m_execute({ call.method, call.path, std::move(body.value()) },
        [onReply = std::move(onReply)](const core::ControlAnswer& it) {
            auto text = compressBody(it.body);
            if (!text) {
                writeLog(node::LogLevel::Error, "fleet",
                    "Failed forwarded call, its answer cannot be compressed: " + text.error().message() + '.');
                return onReply({ unavailable, {} });
            }
            onReply({ it.status, std::move(text.value()) });
        });
}

void ControlCalls::setLeads(bool leads)
{
    m_leads = leads;
    updateReachability();
}

void ControlCalls::setConnected(bool connected)
{
    m_connected = connected;
    updateReachability();
}

void ControlCalls::updateReachability()
{
    const bool reachable = m_leads || m_connected;
    if (reachable == std::exchange(m_leaderReachable, reachable))
        return;
    if (reachable)
        post(core::event::LeaderReached { readClock() });
    else
        post(core::event::LeaderLost { readClock() });
}

void ControlCalls::receive(const core::CallTicket& ticket) { post(core::event::TicketArrived { readClock(), ticket }); }

void ControlCalls::receive(core::ForwardedAnswer answer)
{
    post(core::event::AnswerArrived { readClock(), std::move(answer) });
}

void ControlCalls::tick(Instant now) { post(core::event::ForwarderTick { now }); }

void ControlCalls::post(const core::ForwarderEvent& event)
{
    core::CallForwarder::Effects effects;
    m_forwarder.reduce(event, effects);
    for (auto& it : effects)
        executeEffect(it);
}

void ControlCalls::executeEffect(core::ForwarderEffect& effect)
{
    std::visit(
        Overloaded {
            [&](core::effect::OfferCall& it) {
                if (m_leads)
                    post(core::event::TicketArrived { readClock(), { it.offer.id } });
                else
                    m_send(it.offer);
            },
            [&](core::effect::SendCall& it) {
                if (!m_leads)
                    return m_send(it.call);
                execute(it.call.call, [this, id = it.call.id](const core::ControlAnswer& answer) {
                    post(core::event::AnswerArrived { readClock(), { id, answer } });
                });
            },
            [&](core::effect::AnswerCaller& it) {
                auto body = decompressBody(it.answer.body);
                if (!body) {
                    writeLog(node::LogLevel::Error, "fleet",
                        "Failed call, the leader's answer cannot be decompressed: " + body.error().message() + '.');
                    return answer(it.id, { unavailable, errorBody(body.error().message()) }, "decompression failed",
                        it.offers, it.age);
                }
                answer(it.id, { it.answer.status, std::move(body.value()) }, "answered", it.offers, it.age);
            },
            [&](core::effect::FailCall& it) {
                ++m_failedCalls;
                const auto* why = nameOf(it.failure);
                answer(it.id, { unavailable, errorBody(why) }, why, it.offers, it.age);
            },
        },
        effect);
}

void ControlCalls::answer(
    core::CallId id, const core::ControlAnswer& answer, std::string_view why, unsigned offers, Duration age)
{
    const auto it = m_callers.find(id);
    if (it == m_callers.end())
        return;
    writeDecision("fleet", "answered call",
        { { "call", std::to_string(id) }, { "order", it->second.requestHash },
            { "status", std::to_string(answer.status) }, { "why", std::string(why) },
            { "offers", std::to_string(offers) }, { "age_ms", std::to_string(age / 1ms) } });
    m_answerTimes.add(age);
    const auto onReply = std::move(it->second.onReply);
    m_callers.erase(it);
    onReply(answer);
}

void ControlCalls::writeMetrics(std::ostream& out) const
{
    out << "# TYPE rosemarymill_control_calls_waiting gauge\nrosemarymill_control_calls_waiting " << m_callers.size()
        << "\n# TYPE rosemarymill_control_calls_failed_total counter\nrosemarymill_control_calls_failed_total "
        << m_failedCalls << "\n# TYPE rosemarymill_control_call_seconds summary\n";
    m_answerTimes.write(out, "rosemarymill_control_call_seconds", "");
}

} // namespace rosemarymill::runtime::nodes
