// Stand-in for the network between two data centres: a TCP relay on loopback whose faults are set over HTTP.
//
//   standin-relay --listen 127.0.0.1:7100 --target 127.0.0.1:7200 --control 127.0.0.1:7300 [--delay-ms 2]
//
// POST /set with any of {"delay_ms": N, "drop_forward": bool, "drop_backward": bool, "cut": bool}. Forward is from the
// connecting side to the target. A dropped direction discards its bytes, as a one-way partition does. A cut breaks the
// connections and refuses new ones. When a dropped direction heals, its connections are broken, because a TCP stream
// cannot go on after a gap. A close takes effect at once, also for bytes that are still delayed. GET /counters returns
// the totals.

#include <boost/program_options.hpp>

#include <cstdint>
#include <deque>
#include <iostream>
#include <list>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace {

using nlohmann::json;

// Bytes in flight in one direction beyond which the relay stops reading.
constexpr std::size_t maxInFlight = 4 * 1024 * 1024;
constexpr std::uint64_t maxDelayMs = 60'000;

struct Free {
    void operator()(event_base* it) const noexcept { event_base_free(it); }
    void operator()(evbuffer* it) const noexcept { evbuffer_free(it); }
    void operator()(event* it) const noexcept { event_free(it); }
    void operator()(bufferevent* it) const noexcept { bufferevent_free(it); }
    void operator()(evconnlistener* it) const noexcept { evconnlistener_free(it); }
    void operator()(evhttp* it) const noexcept { evhttp_free(it); }
};

template <typename T> using Handle = std::unique_ptr<T, Free>;

struct Faults {
    std::uint64_t delayMs { 0 };
    bool dropForward { false };
    bool dropBackward { false };
    bool cut { false };
};

struct Counters {
    std::uint64_t connections { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t bytesForward { 0 };
    std::uint64_t bytesBackward { 0 };
    std::uint64_t bytesDropped { 0 };
};

class Relay;

/// One direction of a connection: bytes are queued for the delay and then forwarded.
struct Direction {
    bufferevent* from { nullptr };
    bufferevent* to { nullptr };
    bool forward { true };
    bool gap { false };
    struct Chunk {
        Handle<evbuffer> bytes;
        timeval due {};
    };
    std::deque<Chunk> chunks;
    std::size_t inFlight { 0 };
    Handle<event> timer;
};

struct Connection {
    Relay* relay { nullptr };
    std::list<Connection>::iterator position;
    Handle<bufferevent> clientSide;
    Handle<bufferevent> targetSide;
    Direction forward;
    Direction backward;
};

class Relay {
public:
    Relay(event_base* base, const sockaddr_storage& target, int targetLength)
        : m_base(base)
        , m_target(target)
        , m_targetLength(targetLength)
    {
    }

    Faults faults;
    Counters counters;

    void accept(evutil_socket_t socket)
    {
        if (faults.cut) {
            ++counters.refused;
            evutil_closesocket(socket);
            return;
        }
        ++counters.connections;
        const auto position = m_connections.emplace(m_connections.end());
        position->relay = this;
        position->position = position;
        position->clientSide.reset(
            bufferevent_socket_new(m_base, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
        position->targetSide.reset(bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
        prepare(position->forward, position->clientSide.get(), position->targetSide.get(), true);
        prepare(position->backward, position->targetSide.get(), position->clientSide.get(), false);
        for (auto* it : { position->clientSide.get(), position->targetSide.get() }) {
            bufferevent_setcb(it, &Relay::onRead, nullptr, &Relay::onEvent, &*position);
            bufferevent_enable(it, EV_READ | EV_WRITE);
        }
        if (bufferevent_socket_connect(
                position->targetSide.get(), reinterpret_cast<sockaddr*>(&m_target), m_targetLength)
            != 0)
            m_connections.erase(position);
    }

    void apply(const Faults& requested)
    {
        const auto before = faults;
        faults = requested;
        for (auto it = m_connections.begin(); it != m_connections.end();) {
            const bool healed = (before.dropForward && !requested.dropForward && it->forward.gap)
                || (before.dropBackward && !requested.dropBackward && it->backward.gap);
            it = requested.cut || healed ? m_connections.erase(it) : std::next(it);
        }
    }

private:
    void prepare(Direction& it, bufferevent* from, bufferevent* to, bool forward)
    {
        it.from = from;
        it.to = to;
        it.forward = forward;
        it.timer.reset(event_new(m_base, -1, 0, &Relay::onDue, &it));
    }

    void transfer(Direction& it)
    {
        auto* input = bufferevent_get_input(it.from);
        const auto n = evbuffer_get_length(input);
        if (it.forward ? faults.dropForward : faults.dropBackward) {
            counters.bytesDropped += n;
            it.gap = it.gap || n > 0;
            evbuffer_drain(input, n);
            return;
        }
        (it.forward ? counters.bytesForward : counters.bytesBackward) += n;
        if (faults.delayMs == 0 && it.chunks.empty()) {
            bufferevent_write_buffer(it.to, input);
            return;
        }
        Direction::Chunk chunk { Handle<evbuffer>(evbuffer_new()), {} };
        evbuffer_add_buffer(chunk.bytes.get(), input);
        timeval now {};
        evutil_gettimeofday(&now, nullptr);
        const timeval delay { static_cast<time_t>(faults.delayMs / 1000),
            static_cast<suseconds_t>(faults.delayMs % 1000 * 1000) };
        evutil_timeradd(&now, &delay, &chunk.due);
        it.chunks.push_back(std::move(chunk));
        it.inFlight += n;
        if (it.inFlight > maxInFlight)
            bufferevent_disable(it.from, EV_READ);
        if (it.chunks.size() == 1)
            event_add(it.timer.get(), &delay);
    }

    static void sendDueChunks(Direction& it)
    {
        timeval now {};
        evutil_gettimeofday(&now, nullptr);
        while (!it.chunks.empty() && !evutil_timercmp(&it.chunks.front().due, &now, >)) {
            it.inFlight -= evbuffer_get_length(it.chunks.front().bytes.get());
            bufferevent_write_buffer(it.to, it.chunks.front().bytes.get());
            it.chunks.pop_front();
        }
        if (it.inFlight <= maxInFlight)
            bufferevent_enable(it.from, EV_READ);
        if (it.chunks.empty())
            return;
        timeval wait {};
        evutil_timersub(&it.chunks.front().due, &now, &wait);
        event_add(it.timer.get(), &wait);
    }

    static void onRead(bufferevent* buf, void* arg)
    {
        auto& connection = *static_cast<Connection*>(arg);
        connection.relay->transfer(buf == connection.clientSide.get() ? connection.forward : connection.backward);
    }

    static void onDue(evutil_socket_t, short, void* arg) { sendDueChunks(*static_cast<Direction*>(arg)); }

    static void onEvent(bufferevent*, short what, void* arg)
    {
        if (what & BEV_EVENT_CONNECTED)
            return;
        auto& connection = *static_cast<Connection*>(arg);
        connection.relay->m_connections.erase(connection.position);
    }

    event_base* m_base;
    sockaddr_storage m_target;
    int m_targetLength;
    std::list<Connection> m_connections;
};

void reply(evhttp_request* request, int status, const json& document)
{
    const auto text = document.dump(-1, ' ', true, json::error_handler_t::replace);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), text.data(), text.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

json describe(const Faults& it)
{
    return { { "delay_ms", it.delayMs }, { "drop_forward", it.dropForward }, { "drop_backward", it.dropBackward },
        { "cut", it.cut } };
}

void onSet(evhttp_request* request, void* arg)
{
    auto& relay = *static_cast<Relay*>(arg);
    auto* buf = evhttp_request_get_input_buffer(request);
    std::string text(evbuffer_get_length(buf), '\0');
    evbuffer_copyout(buf, text.data(), text.size());
    const json document = json::parse(text, nullptr, false);
    auto requested = relay.faults;
    bool valid = document.is_object();
    const json members = valid ? document : json::object();
    for (const auto& [key, value] : members.items()) {
        if (key == "delay_ms" && value.is_number_unsigned() && value <= maxDelayMs)
            requested.delayMs = value;
        else if (key == "drop_forward" && value.is_boolean())
            requested.dropForward = value;
        else if (key == "drop_backward" && value.is_boolean())
            requested.dropBackward = value;
        else if (key == "cut" && value.is_boolean())
            requested.cut = value;
        else
            valid = false;
    }
    if (!valid)
        return reply(request, 400, { { "title", "unknown member or invalid value" } });
    relay.apply(requested);
    reply(request, 200, describe(relay.faults));
}

void onCounters(evhttp_request* request, void* arg)
{
    const auto& it = static_cast<Relay*>(arg)->counters;
    reply(request, 200,
        { { "connections", it.connections }, { "refused", it.refused }, { "bytes_forward", it.bytesForward },
            { "bytes_backward", it.bytesBackward }, { "bytes_dropped", it.bytesDropped } });
}

struct SocketAddress {
    sockaddr_storage storage {};
    int length { sizeof(sockaddr_storage) };
};

SocketAddress parse(const std::string& text)
{
    SocketAddress address;
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&address.storage), &address.length) != 0)
        throw std::runtime_error("'" + text + "' is not ip:port");
    return address;
}

void onAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* relay)
{
    static_cast<Relay*>(relay)->accept(socket);
}

int run(const std::string& listen, const std::string& target, const std::string& control, std::uint64_t delayMs)
{
    const Handle<event_base> base(event_base_new());
    const auto targetAddress = parse(target);
    Relay relay(base.get(), targetAddress.storage, targetAddress.length);
    relay.faults.delayMs = delayMs;
    auto listenAddress = parse(listen);
    const Handle<evconnlistener> listener(
        evconnlistener_new_bind(base.get(), &onAccept, &relay, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
            reinterpret_cast<sockaddr*>(&listenAddress.storage), listenAddress.length));
    const Handle<evhttp> http(evhttp_new(base.get()));
    const auto colon = control.rfind(':');
    if (!listener || colon == std::string::npos
        || evhttp_bind_socket(http.get(), control.substr(0, colon).c_str(),
               static_cast<std::uint16_t>(std::stoul(control.substr(colon + 1))))
            != 0)
        throw std::runtime_error("the listen or control address cannot be bound");
    evhttp_set_cb(http.get(), "/set", &onSet, &relay);
    evhttp_set_cb(http.get(), "/counters", &onCounters, &relay);
    std::cout << "relay ready" << std::endl;
    event_base_dispatch(base.get());
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::string listen;
    std::string target;
    std::string control;
    std::uint64_t delayMs = 0;
    options::options_description description("standin-relay");
    auto add = description.add_options();
    add("listen", options::value(&listen)->required(), "ip:port that is relayed");
    add("target", options::value(&target)->required(), "ip:port that it is relayed to");
    add("control", options::value(&control)->required(), "ip:port of the control interface");
    add("delay-ms", options::value(&delayMs)->default_value(0), "delay in each direction");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        return run(listen, target, control, delayMs);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n' << description;
        return 2;
    }
}
