#include <rosemarymill/runtime/operator/listener.hpp>

#include <rosemarymill/runtime/base/address.hpp>
#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/wire/digest/sha256.hpp>
#include <rosemarymill/wire/json/object_reader.hpp>
#include <rosemarymill/wire/json/parse.hpp>
#include <rosemarymill/wire/manifest/manifest.hpp>

#include <charconv>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>
#include <netinet/in.h>

namespace rosemarymill::runtime {

namespace {

using nlohmann::ordered_json;

// Ids of operator requests start here, so that they never equal the id of an announcement.
constexpr std::uint64_t firstOperatorRequest = std::uint64_t { 1 } << 63;
constexpr int listenBacklog = 64;
constexpr std::size_t maxSubmissionIdLength = 128;

struct FreeEvhtp {
    void operator()(evhtp_t* it) const noexcept
    {
        evhtp_unbind_socket(it);
        evhtp_free(it);
    }
};

struct FreeEvent {
    void operator()(event* it) const noexcept { event_free(it); }
};

std::string_view header(evhtp_request_t& request, const char* name)
{
    const char* value = evhtp_header_find(request.headers_in, name);
    return value ? value : std::string_view {};
}

std::string bodyOf(evhtp_request_t& request)
{
    std::string body(evbuffer_get_length(request.buffer_in), '\0');
    evbuffer_copyout(request.buffer_in, body.data(), body.size());
    return body;
}

std::string_view pathOf(const evhtp_request_t& request)
{
    return request.uri && request.uri->path && request.uri->path->full ? request.uri->path->full : "";
}

void send(evhtp_request_t& request, const Page& page)
{
    evhtp_headers_add_header(request.headers_out, evhtp_header_new("Content-Type", page.contentType.c_str(), 1, 1));
    if (page.status == EVHTP_RES_SERVUNAVAIL)
        evhtp_headers_add_header(request.headers_out, evhtp_header_new("Retry-After", "1", 0, 0));
    evbuffer_add(request.buffer_out, page.body.data(), page.body.size());
    evhtp_send_reply(&request, static_cast<evhtp_res>(page.status));
}

Page problem(int status, const std::string& title, const std::vector<wire::JsonFault>& faults = {})
{
    auto list = ordered_json::array();
    for (const auto& it : faults)
        list.push_back({ { "path", it.path }, { "value", it.value }, { "rule", it.rule } });
    ordered_json document { { "title", title }, { "status", status } };
    if (!list.empty())
        document["faults"] = std::move(list);
    return { status, "application/problem+json", document.dump(-1, ' ', true, ordered_json::error_handler_t::replace) };
}

Page replyPage(const node::ReplyOperator& effect)
{
    const auto [status, name] = [&]() -> std::pair<int, const char*> {
        switch (effect.result) {
        case node::OperatorResult::Accepted:
            return { EVHTP_RES_OK, "accepted" };
        case node::OperatorResult::AlreadyAccepted:
            return { EVHTP_RES_OK, "already_accepted" };
        case node::OperatorResult::Conflict:
            return { EVHTP_RES_CONFLICT, "conflict" };
        case node::OperatorResult::NotAccepted:
            return { EVHTP_RES_SERVUNAVAIL, "not_accepted" };
        case node::OperatorResult::Invalid:
            break;
        }
        return { EVHTP_RES_BADREQ, "invalid" };
    }();
    const ordered_json document { { "result", name }, { "revision", effect.revision.value },
        { "current", effect.current.value }, { "detail", effect.detail } };
    return { status, "application/json", document.dump(-1, ' ', true, ordered_json::error_handler_t::replace) };
}

Page timeoutPage()
{
    const ordered_json document { { "result", "unknown" }, { "revision", 0 }, { "current", 0 },
        { "detail", "no decision in time; resend with the same submission id" } };
    return { EVHTP_RES_GWTIMEOUT, "application/json", document.dump() };
}

std::optional<Revision> parseRevision(std::string_view text)
{
    Revision revision;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, revision.value);
    if (text.empty() || parsed.ec != std::errc {} || parsed.ptr != end)
        return std::nullopt;
    return revision;
}

bool isSubmissionId(std::string_view text) { return text.empty() || wire::isName(text, ":"); }

} // namespace

struct OperatorListener::Impl {
    Impl(event_base& eventBase, const node::State& nodeState, PostEvent postEvent, MetricsText metricsText)
        : base(eventBase)
        , state(nodeState)
        , post(std::move(postEvent))
        , metrics(std::move(metricsText))
    {
    }

    struct PendingRequest {
        evhtp_request_t* request { nullptr };
        Instant deadline;
    };

    event_base& base;
    const node::State& state;
    PostEvent post;
    MetricsText metrics;
    std::uint64_t lastRequest { firstOperatorRequest };
    std::map<std::uint64_t, PendingRequest> waiting;
    std::unique_ptr<event, FreeEvent> timer;
    std::unique_ptr<evhtp_t, FreeEvhtp> server;
    std::uint16_t port { 0 };

    /// Stores the request until its reply and pauses its connection, so that pipelined requests wait.
    RequestId storeRequest(evhtp_request_t& request)
    {
        const auto id = ++lastRequest;
        waiting[id] = { &request, readClock() + operatorReplyTimeout };
        // In C++ evhtp declares hooks without parameters; it casts them back before the call.
        const auto hook = reinterpret_cast<void (*)()>(&Impl::onRequestFreed);
        evhtp_request_set_hook(&request, evhtp_hook_on_request_fini, reinterpret_cast<evhtp_hook>(hook), this);
        evhtp_request_pause(&request);
        return RequestId { id };
    }

    void answer(std::uint64_t id, const Page& page)
    {
        const auto it = waiting.find(id);
        if (it == waiting.end())
            return;
        auto* request = it->second.request;
        waiting.erase(it);
        send(*request, page);
        evhtp_request_resume(request);
    }

    void submitManifest(evhtp_request_t& request)
    {
        const auto text = bodyOf(request);
        const auto expectedText = header(request, "X-Expect-Revision");
        const auto expected = parseRevision(expectedText);
        if (!expectedText.empty() && !expected) {
            send(request, problem(EVHTP_RES_BADREQ, "X-Expect-Revision must be a revision number"));
            return;
        }
        auto parsed = wire::parseManifest(text);
        if (!parsed.manifest) {
            send(request, problem(EVHTP_RES_BADREQ, "invalid manifest", parsed.faults));
            return;
        }
        const auto digest = wire::sha256Hex(text);
        const auto submission = header(request, "X-Submission-Id");
        const auto id = storeRequest(request);
        post(node::ManifestSubmitted { readClock(), id, expected, submission.empty() ? digest : std::string(submission),
            digest, std::move(*parsed.manifest) });
    }

    void changeAvailability(evhtp_request_t& request, bool takeOut)
    {
        std::vector<wire::JsonFault> faults;
        const auto document = wire::parseJson(bodyOf(request), faults);
        std::string kind;
        std::string name;
        if (document) {
            wire::ObjectReader reader(*document, {}, faults);
            kind = reader.text(
                "kind", [](std::string_view it) { return it == "data-centre" || it == "vm"; }, "data-centre or vm");
            name = reader.name("name");
            reader.finish();
        }
        if (!faults.empty()) {
            send(request, problem(EVHTP_RES_BADREQ, "invalid command", faults));
            return;
        }
        const auto unit = kind == "vm" ? node::ServiceUnit::Vm : node::ServiceUnit::DataCentre;
        const std::string submission(header(request, "X-Submission-Id"));
        const auto id = storeRequest(request);
        // Without a submission id a resend cannot be detected, so every such command is treated as a new one.
        const auto generatedSubmissionId = state.settings.vm.text() + ":" + state.settings.bootId.text() + ":"
            + std::to_string(id.value - firstOperatorRequest);
        post(node::AvailabilityCommand {
            readClock(), id, unit, std::move(name), takeOut, submission.empty() ? generatedSubmissionId : submission });
    }

    void dispatch(evhtp_request_t& request)
    {
        const auto path = pathOf(request);
        const auto method = evhtp_request_get_method(&request);
        if (method == htp_method_GET) {
            if (auto page = monitoringPage(path, state, metrics))
                return send(request, *page);
            if (path == "/v1/status")
                return send(request, { EVHTP_RES_OK, "application/json", statusJson(state) });
            if (path == "/v1/revisions")
                return send(request, { EVHTP_RES_OK, "application/json", revisionsJson(state) });
        }
        if (method == htp_method_POST) {
            if (!isSubmissionId(header(request, "X-Submission-Id")))
                return send(request,
                    problem(EVHTP_RES_BADREQ,
                        "X-Submission-Id must have 1 to " + std::to_string(maxSubmissionIdLength)
                            + " letters, digits, '.', '_', '-' or ':'"));
            if (path == "/v1/manifest")
                return submitManifest(request);
            if (path == "/v1/take-out" || path == "/v1/bring-back")
                return changeAvailability(request, path == "/v1/take-out");
        }
        send(request, problem(EVHTP_RES_NOTFOUND, "no such operation"));
    }

    void answerTimedOutRequests()
    {
        const auto now = readClock();
        std::vector<std::uint64_t> timedOut;
        for (const auto& [id, it] : waiting) {
            if (now >= it.deadline)
                timedOut.push_back(id);
        }
        for (const auto id : timedOut)
            answer(id, timeoutPage());
    }

    static void onRequest(evhtp_request_t* request, void* self) { static_cast<Impl*>(self)->dispatch(*request); }

    static evhtp_res onRequestFreed(evhtp_request_t* request, void* self)
    {
        std::erase_if(
            static_cast<Impl*>(self)->waiting, [&](const auto& entry) { return entry.second.request == request; });
        return EVHTP_RES_OK;
    }

    static void onTimer(evutil_socket_t, short, void* self) { static_cast<Impl*>(self)->answerTimedOutRequests(); }
};

Result<std::unique_ptr<OperatorListener>> OperatorListener::open(
    event_base& base, const std::string& address, const node::State& state, PostEvent post, MetricsText metrics)
{
    auto parsed = parseAddress(address);
    if (!parsed)
        return parsed.error();
    auto impl = std::make_unique<Impl>(base, state, std::move(post), std::move(metrics));
    impl->server.reset(evhtp_new(&base, nullptr));
    auto& server = *impl->server;
    const timeval timeout { 10, 0 };
    evhtp_set_timeouts(&server, &timeout, &timeout);
    evhtp_set_max_body_size(&server, maxOperatorBodyBytes);
    evhtp_set_gencb(&server, &Impl::onRequest, impl.get());
    if (evhtp_bind_sockaddr(&server, parsed.value().get(), parsed.value().length, listenBacklog) != 0)
        return std::error_code(EVUTIL_SOCKET_ERROR(), std::system_category());
    const auto bound = localAddress(evconnlistener_get_fd(server.server));
    if (!bound)
        return bound.error();
    // The port has the same offset in IPv4 and IPv6 addresses.
    impl->port = ntohs(reinterpret_cast<const sockaddr_in*>(bound.value().get())->sin_port);
    const timeval second { 1, 0 };
    impl->timer.reset(event_new(&base, -1, EV_PERSIST, &Impl::onTimer, impl.get()));
    event_add(impl->timer.get(), &second);
    return std::unique_ptr<OperatorListener>(new OperatorListener(std::move(impl)));
}

OperatorListener::OperatorListener(std::unique_ptr<Impl> impl) noexcept
    : m_impl(std::move(impl))
{
}

OperatorListener::~OperatorListener() = default;

void OperatorListener::executeEffect(const node::ReplyOperator& effect)
{
    m_impl->answer(effect.request.value, replyPage(effect));
}

std::uint16_t OperatorListener::port() const noexcept { return m_impl->port; }

} // namespace rosemarymill::runtime
