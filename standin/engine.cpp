#include "announcer.hpp"
#include "engine_options.hpp"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

/// Stand-in for a model engine: announces itself, executes orders and streams synthetic tokens.
namespace standin {

namespace {

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

/// Bytes in a connection's output buffer beyond which the engine generates no further tokens for it.
constexpr std::size_t outputLimitBytes = 64 * 1024;

/// Tokens generated at once for a stream without a rate limit.
constexpr std::uint64_t burstTokens = 64;

/// Exit code of a simulated crash.
constexpr int crashExitCode = 9;

class Engine;

/// One request in progress.
struct Stream {
    Engine& engine;
    evhttp_request* request;
    std::string requestId;
    /// Text in each token of the answer, by which a test recognises it: the request's `user` member.
    std::string tag;
    bool sse { false };
    std::uint64_t first { 0 };
    std::uint64_t next { 0 };
    std::uint64_t end { 0 };
    std::uint64_t tokensHeld { 0 };
    SteadyClock::time_point startedAt;
    event* timer { nullptr };
    bool skipped { false };
    bool repeated { false };
};

struct Membership {
    std::uint64_t id { 0 };
    std::uint64_t fencing { 0 };
    std::uint32_t rank { 0 };
};

[[noreturn]] void crash(const std::string& reason)
{
    std::cerr << "crash: " << reason << std::endl;
    _exit(crashExitCode);
}

class Engine {
public:
    Engine(event_base* base, EngineOptions options)
        : m_base(base)
        , m_options(std::move(options))
        , m_http(evhttp_new(base))
        , m_cold(m_options.cold)
    {
        std::random_device device;
        m_bootId = "boot-" + std::to_string(device());
        constexpr ev_ssize_t maxBodyBytes = 16 * 1024 * 1024;
        evhttp_set_max_body_size(m_http, maxBodyBytes);
        evhttp_set_allowed_methods(m_http, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
        evhttp_set_gencb(
            m_http, [](evhttp_request* request, void* self) { static_cast<Engine*>(self)->receive(request); }, this);
        m_address = listen(m_http, m_options.address);
        if (!m_options.entries.empty())
            m_announcer = std::make_unique<Announcer>(base, m_options.entries, [this] { return announcement(); });
    }

    /// Announces that the engine is leaving and stops once nothing is running.
    void leave()
    {
        m_leaving = true;
        if (m_announcer)
            m_announcer->announce();
        stopWhenIdle();
    }

    void emit(Stream& stream);
    /// Handles a closed connection, which is being freed and must not be used any more.
    void closed(Stream& stream) { release(stream); }

private:
    json announcement() const
    {
        json document { { "id", m_options.id }, { "boot_id", m_bootId }, { "vm", m_options.vm },
            { "data_centre", m_options.dataCentre }, { "fabric_domain", m_options.fabricDomain },
            { "address", m_address }, { "accelerators", m_options.accelerators }, { "kind", "engine" },
            { "models", json::array() }, { "memory_bytes", m_options.memoryBytes },
            { "token_memory", m_options.tokenMemory }, { "max_requests", m_options.maxRequests }, { "cold", m_cold },
            { "cold_requests", m_options.coldRequests }, { "leaving", m_leaving },
            { "load", { { "running", m_streams.size() }, { "queued", 0 }, { "tokens_held", m_tokensHeld } } },
            { "group", nullptr }, { "fencing_seen", m_fencingSeen }, { "checks_fencing", !m_options.ignoreFencing } };
        for (const auto& [name, version] : m_models)
            document["models"].push_back({ { "name", name }, { "version", version }, { "adapters", json::array() } });
        if (m_group)
            document["group"] = { { "id", m_group->id }, { "fencing", m_group->fencing }, { "rank", m_group->rank } };
        return document;
    }

    void receive(evhttp_request* request)
    {
        const std::string path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
        if (path == "/v1/orders")
            executeOrder(request);
        else if (path == "/v1/cancel")
            cancel(request);
        else if (path == "/stats")
            replyJson(request, 200, stats());
        else if (path.starts_with("/v1/"))
            start(request);
        else
            replyJson(request, 404, { { "reason", "there is no such path" } });
    }

    json stats() const
    {
        return { { "running", m_streams.size() }, { "started", m_started }, { "finished", m_finished },
            { "cancelled", m_cancelled }, { "resumed", m_resumed }, { "tokens", m_tokens },
            { "max_running", m_maxRunning }, { "last_traceparent", m_lastTraceparent },
            { "last_authorization", m_lastAuthorization } };
    }

    void executeOrder(evhttp_request* request)
    {
        const auto order = json::parse(bodyOf(request), nullptr, false);
        if (!order.is_object()) {
            replyJson(request, 400, { { "reason", "the order is not a JSON object" } });
            return;
        }
        const auto fencing = order.value("fencing", std::uint64_t { 0 });
        if (!m_options.ignoreFencing && fencing < m_fencingSeen) {
            replyJson(request, 409, { { "reason", "old fencing number" }, { "fencing_seen", m_fencingSeen } });
            return;
        }
        m_fencingSeen = std::max(m_fencingSeen, fencing);
        const auto action = order.value("action", "");
        if (action == "load")
            loadThen(order, [] {});
        else if (action == "unload")
            m_models.erase(order.value("model", ""));
        else if (action == "join")
            loadThen(order, [this, order, fencing] {
                m_group = Membership { order.value("group", std::uint64_t { 0 }), fencing, order.value("rank", 0U) };
            });
        else if (action == "leave")
            m_group.reset();
        replyJson(request, 200, json::object());
        if (m_announcer)
            m_announcer->announce();
    }

    void loadThen(const json& order, std::function<void()> then)
    {
        const auto model = order.value("model", "");
        const auto version = order.value("version", "");
        const auto it = m_models.find(model);
        const bool loaded = it != m_models.end() && it->second == version;
        after(loaded ? 0 : m_options.loadMs, [this, model, version, then = std::move(then)] {
            m_models[model] = version;
            then();
            if (m_announcer)
                m_announcer->announce();
        });
    }

    void after(std::uint32_t milliseconds, std::function<void()> action)
    {
        auto* stored = new std::function<void()>(std::move(action));
        const timeval delay { milliseconds / 1000, static_cast<suseconds_t>(milliseconds % 1000) * 1000 };
        event_base_once(
            m_base, -1, EV_TIMEOUT,
            [](evutil_socket_t, short, void* arg) {
                const std::unique_ptr<std::function<void()>> run(static_cast<std::function<void()>*>(arg));
                (*run)();
            },
            stored, &delay);
    }

    void cancel(evhttp_request* request)
    {
        const auto document = json::parse(bodyOf(request), nullptr, false);
        const auto id = document.is_object() ? document.value("request_id", "") : std::string {};
        const auto it = std::find_if(
            m_streams.begin(), m_streams.end(), [&](const auto& entry) { return entry.second->requestId == id; });
        if (it != m_streams.end()) {
            auto* cancelled = it->second->request;
            const bool isSse = it->second->sse;
            remove(*it->second);
            if (isSse)
                evhttp_send_reply_end(cancelled);
            else
                replyJson(cancelled, 499, { { "reason", "cancelled" } });
        }
        replyJson(request, 200, { { "cancelled", it != m_streams.end() } });
    }

    void start(evhttp_request* request)
    {
        const auto body = bodyOf(request);
        if (!m_options.crashMarker.empty() && body.find(m_options.crashMarker) != std::string::npos)
            crash("the request contains the crash marker");
        const auto document = json::parse(body, nullptr, false);
        if (!document.is_object()) {
            addHeader(request, "X-Request-Id", headerOf(request, "X-Request-Id"));
            replyJson(request, 400, { { "reason", "the body is not a JSON object" } });
            return;
        }
        auto stream = std::make_unique<Stream>(Stream { *this, request, headerOf(request, "X-Request-Id"),
            document.value("user", ""), document.value("stream", false), 0, 0, 0, 0, {} });
        const auto resumeFrom = headerOf(request, "X-Resume-From");
        stream->first = resumeFrom.empty() ? 0 : std::stoull(resumeFrom);
        stream->next = stream->first;
        stream->end = document.value("max_tokens", m_options.defaultTokens);
        stream->tokensHeld = body.size() / 4 + stream->end;
        m_resumed += resumeFrom.empty() ? 0 : 1;
        m_lastTraceparent = headerOf(request, "traceparent");
        m_lastAuthorization = headerOf(request, "Authorization");
        setNoDelay(request);
        begin(std::move(stream));
    }

    void begin(std::unique_ptr<Stream> owned)
    {
        auto& stream = *owned;
        m_tokensHeld += stream.tokensHeld;
        ++m_started;
        m_streams.emplace(&stream, std::move(owned));
        m_maxRunning = std::max<std::size_t>(m_maxRunning, m_streams.size());
        if (m_options.tokenMemory > 0 && m_tokensHeld > m_options.tokenMemory)
            crash("out of token memory");
        if (m_cold && m_streams.size() > m_options.coldRequests)
            crash("more requests than --cold-requests while cold");
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(stream.request),
            [](evhttp_connection*, void* arg) {
                auto& it = *static_cast<Stream*>(arg);
                it.engine.closed(it);
            },
            &stream);
        stream.timer = event_new(
            m_base, -1, 0,
            [](evutil_socket_t, short, void* arg) {
                auto& it = *static_cast<Stream*>(arg);
                it.engine.emit(it);
            },
            &stream);
        schedule(stream, std::chrono::milliseconds { m_options.firstTokenMs });
    }

    static void schedule(Stream& stream, std::chrono::microseconds delay)
    {
        const timeval it { static_cast<time_t>(delay.count() / 1'000'000),
            static_cast<suseconds_t>(delay.count() % 1'000'000) };
        event_add(stream.timer, &it);
    }

    void remove(Stream& stream)
    {
        evhttp_connection_set_closecb(evhttp_request_get_connection(stream.request), nullptr, nullptr);
        release(stream);
    }

    void release(Stream& stream)
    {
        event_free(stream.timer);
        m_tokensHeld -= stream.tokensHeld;
        m_cancelled += stream.next < stream.end ? 1 : 0;
        m_streams.erase(&stream);
        stopWhenIdle();
    }

    void stopWhenIdle()
    {
        if (m_leaving && m_streams.empty())
            after(100, [this] { event_base_loopexit(m_base, nullptr); });
    }

    std::string responseRequestId(const Stream& stream) const
    {
        if (!m_options.crossAnswers)
            return stream.requestId;
        for (const auto& [key, other] : m_streams) {
            if (other.get() != &stream)
                return other->requestId;
        }
        return "crossed-" + stream.requestId;
    }

    void beginAnswer(Stream& stream)
    {
        addHeader(stream.request, "X-Request-Id", responseRequestId(stream));
        stream.startedAt = SteadyClock::now();
        if (!stream.sse)
            return;
        addHeader(stream.request, "Content-Type", "text/event-stream");
        evhttp_send_reply_start(stream.request, 200, "OK");
    }

    std::uint64_t tokensDue(const Stream& stream) const
    {
        if (m_options.tokensPerSecond <= 0)
            return burstTokens;
        const std::chrono::duration<double> elapsed = SteadyClock::now() - stream.startedAt;
        const auto made = stream.first + 1 + static_cast<std::uint64_t>(elapsed.count() * m_options.tokensPerSecond);
        return made > stream.next ? made - stream.next : 0;
    }

    void appendToken(Stream& stream, std::string& out)
    {
        if (m_options.skipToken != 0 && stream.next == m_options.skipToken && !std::exchange(stream.skipped, true)) {
            ++stream.next;
            return;
        }
        const bool repeat = m_options.repeatToken != 0 && stream.next == m_options.repeatToken
            && !std::exchange(stream.repeated, true);
        const auto index = std::to_string(stream.next);
        for (int i = 0; i < (repeat ? 2 : 1); ++i) {
            const auto begin = out.size();
            out.append("id: ").append(index);
            out.append("\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"");
            out.append(stream.tag).append(":").append(index).append(" ");
            constexpr std::string_view tail = "\"}}]}\n\n";
            const auto size = out.size() - begin + tail.size();
            if (size < m_options.tokenBytes)
                out.append(m_options.tokenBytes - size, 'x');
            out += tail;
        }
        ++stream.next;
        ++m_tokens;
        if (m_options.dieAfterTokens != 0 && m_tokens >= m_options.dieAfterTokens)
            m_crashPending = true;
    }

    void finish(Stream& stream)
    {
        auto* request = stream.request;
        const bool isSse = stream.sse;
        const auto tag = stream.tag;
        const auto end = stream.end;
        stream.next = end;
        ++m_finished;
        if (m_cold && m_finished >= m_options.warmAfter)
            m_cold = false;
        remove(stream);
        if (isSse) {
            sendChunk(request, "data: [DONE]\n\n");
            evhttp_send_reply_end(request);
            return;
        }
        std::string content;
        for (std::uint64_t i = 0; i < end; ++i)
            content += tag + ":" + std::to_string(i) + " ";
        replyJson(request, 200,
            { { "choices", { { { "index", 0 }, { "message", { { "content", content } } } } } },
                { "usage", { { "completion_tokens", end } } } });
    }

    static void sendChunk(evhttp_request* request, std::string_view bytes)
    {
        auto* buf = evbuffer_new();
        evbuffer_add(buf, bytes.data(), bytes.size());
        evhttp_send_reply_chunk(request, buf);
        evbuffer_free(buf);
    }

    event_base* m_base;
    EngineOptions m_options;
    evhttp* m_http;
    std::string m_address;
    std::string m_bootId;
    std::unique_ptr<Announcer> m_announcer;
    std::unordered_map<Stream*, std::unique_ptr<Stream>> m_streams;
    std::map<std::string, std::string> m_models;
    std::optional<Membership> m_group;
    std::uint64_t m_fencingSeen { 0 };
    std::uint64_t m_tokensHeld { 0 };
    std::uint64_t m_started { 0 };
    std::uint64_t m_finished { 0 };
    std::uint64_t m_cancelled { 0 };
    std::uint64_t m_resumed { 0 };
    std::uint64_t m_tokens { 0 };
    std::size_t m_maxRunning { 0 };
    std::string m_lastTraceparent;
    std::string m_lastAuthorization;
    bool m_cold;
    bool m_leaving { false };
    bool m_crashPending { false };
};

void Engine::emit(Stream& stream)
{
    if (stream.startedAt == SteadyClock::time_point {})
        beginAnswer(stream);
    auto* bev = evhttp_connection_get_bufferevent(evhttp_request_get_connection(stream.request));
    const auto unsent = evbuffer_get_length(bufferevent_get_output(bev));
    if (unsent < outputLimitBytes) {
        const auto due = std::min(tokensDue(stream), stream.end - std::min(stream.end, stream.next));
        std::string out;
        for (std::uint64_t i = 0; i < due && out.size() < outputLimitBytes && !m_crashPending; ++i)
            appendToken(stream, out);
        if (stream.sse && !out.empty())
            sendChunk(stream.request, out);
    }
    if (m_crashPending)
        after(50, [] { crash("reached the token count of --die-after-tokens"); });
    else if (stream.next >= stream.end)
        finish(stream);
    else
        schedule(stream,
            std::chrono::microseconds { m_options.tokensPerSecond <= 0
                    ? 1000
                    : std::max(1000L, static_cast<long>(1e6 / m_options.tokensPerSecond)) });
}

} // namespace

} // namespace standin

int main(int argc, char** argv)
{
    try {
        auto options = standin::parseEngineOptions(argc, argv);
        if (!options)
            return 0;
        std::signal(SIGPIPE, SIG_IGN);
        auto* base = event_base_new();
        standin::Engine engine(base, std::move(*options));
        auto* terminate = evsignal_new(
            base, SIGTERM, [](evutil_socket_t, short, void* arg) { static_cast<standin::Engine*>(arg)->leave(); },
            &engine);
        event_add(terminate, nullptr);
        event_base_dispatch(base);
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "standin-engine: " << error.what() << '\n';
        return 1;
    }
}
