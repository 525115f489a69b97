#include "announcer.hpp"

#include <boost/program_options.hpp>

#include <unistd.h>

#include <csignal>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <unordered_set>

/// Stand-in for a plain service: counts executions per path and idempotency key.
namespace standin {

namespace {

using nlohmann::json;

constexpr int crashExitCode = 9;

struct ServiceOptions {
    std::string address { "127.0.0.1:0" };
    std::vector<std::string> entries;
    std::string id;
    std::string vm;
    std::string dataCentre;
    std::string service;
    std::uint32_t maxRequests { 16 };
    std::uint32_t delayMs { 0 };
    std::uint64_t dieBefore { 0 };
    std::uint64_t dieAfter { 0 };
    bool crossAnswers { false };
    std::uint32_t answerBytes { 0 };
};

std::optional<ServiceOptions> parseOptions(int argc, char** argv)
{
    namespace options = boost::program_options;
    ServiceOptions it;
    bool help = false;
    options::options_description description("standin-service options");
    auto add = description.add_options();
    add("help", options::bool_switch(&help), "print this text");
    add("address", options::value(&it.address), "ip:port to listen at; port 0 lets the kernel choose");
    add("announce", options::value(&it.entries)->composing(), "entry VM to announce to; repeatable");
    add("id", options::value(&it.id)->required(), "server id");
    add("vm", options::value(&it.vm), "VM name; the id by default");
    add("data-centre", options::value(&it.dataCentre)->required(), "data centre");
    add("service", options::value(&it.service)->required(), "service name");
    add("max-requests", options::value(&it.maxRequests), "requests announced as the limit");
    add("delay-ms", options::value(&it.delayMs), "time that an execution takes");
    add("die-before", options::value(&it.dieBefore), "exit before executing the request of this number; 0: never");
    add("die-after", options::value(&it.dieAfter),
        "exit after executing the request of this number, before the answer; 0: never");
    add("cross-answers", options::bool_switch(&it.crossAnswers), "answer with another request id");
    add("answer-bytes", options::value(&it.answerBytes), "padding of an answer in bytes");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values["help"].as<bool>()) {
        std::cout << description;
        return std::nullopt;
    }
    options::notify(values);
    if (it.vm.empty())
        it.vm = it.id;
    return it;
}

class Service {
public:
    Service(event_base* base, ServiceOptions options)
        : m_base(base)
        , m_options(std::move(options))
        , m_http(evhttp_new(base))
    {
        std::random_device device;
        m_bootId = "boot-" + std::to_string(device());
        evhttp_set_allowed_methods(
            m_http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
        evhttp_set_gencb(
            m_http, [](evhttp_request* request, void* self) { static_cast<Service*>(self)->receive(request); }, this);
        m_address = listen(m_http, m_options.address);
        if (!m_options.entries.empty())
            m_announcer = std::make_unique<Announcer>(base, m_options.entries, [this] { return announcement(); });
    }

    /// Announces that the service is leaving and stops once nothing is running.
    void leave()
    {
        m_leaving = true;
        if (m_announcer)
            m_announcer->announce();
        stopWhenIdle();
    }

private:
    struct Execution {
        Service& service;
        evhttp_request* request;
        std::string path;
        bool connected { true };
    };

    json announcement() const
    {
        return { { "id", m_options.id }, { "boot_id", m_bootId }, { "vm", m_options.vm },
            { "data_centre", m_options.dataCentre }, { "fabric_domain", "" }, { "address", m_address },
            { "accelerators", 0 }, { "kind", "service" }, { "service", m_options.service },
            { "max_requests", m_options.maxRequests }, { "cold", false }, { "cold_requests", 1 },
            { "leaving", m_leaving },
            { "load", { { "running", m_running.size() }, { "queued", 0 }, { "tokens_held", 0 } } },
            { "group", nullptr }, { "fencing_seen", 0 }, { "checks_fencing", false } };
    }

    void receive(evhttp_request* request)
    {
        const std::string path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
        if (path == "/executions") {
            replyJson(request, 200, { { "total", m_total }, { "executions", m_executions } });
            return;
        }
        if (path == "/v1/cancel" || path == "/v1/orders") {
            replyJson(request, 404, { { "reason", "a plain service accepts no orders" } });
            return;
        }
        ++m_received;
        if (m_options.dieBefore != 0 && m_received == m_options.dieBefore)
            _exit(crashExitCode);
        auto* execution = new Execution { *this, request, path };
        m_running.insert(execution);
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(request),
            [](evhttp_connection*, void* arg) { static_cast<Execution*>(arg)->connected = false; }, execution);
        const timeval delay { m_options.delayMs / 1000, static_cast<suseconds_t>(m_options.delayMs % 1000) * 1000 };
        m_executions[path][headerOf(request, "Idempotency-Key")] += 1;
        ++m_total;
        event_base_once(
            m_base, -1, EV_TIMEOUT,
            [](evutil_socket_t, short, void* arg) {
                auto* it = static_cast<Execution*>(arg);
                it->service.executed(it);
            },
            execution, &delay);
    }

    void executed(Execution* execution)
    {
        const std::unique_ptr<Execution> done(execution);
        m_running.erase(execution);
        if (m_options.dieAfter != 0 && m_received >= m_options.dieAfter)
            _exit(crashExitCode);
        stopWhenIdle();
        if (!done->connected)
            return;
        auto* request = done->request;
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
        const auto id = headerOf(request, "X-Request-Id");
        addHeader(request, "X-Request-Id", m_options.crossAnswers ? "crossed-" + id : id);
        replyJson(request, 200,
            { { "service", m_options.service }, { "server", m_options.id }, { "path", done->path },
                { "body", bodyOf(request) }, { "padding", std::string(m_options.answerBytes, 'x') } });
    }

    void stopWhenIdle()
    {
        // The delay lets the last answer leave the socket buffer.
        const timeval delay { 0, 100'000 };
        if (m_leaving && m_running.empty())
            event_base_loopexit(m_base, &delay);
    }

    event_base* m_base;
    ServiceOptions m_options;
    evhttp* m_http;
    std::string m_address;
    std::string m_bootId;
    std::unique_ptr<Announcer> m_announcer;
    std::unordered_set<Execution*> m_running;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_executions;
    std::uint64_t m_total { 0 };
    std::uint64_t m_received { 0 };
    bool m_leaving { false };
};

} // namespace

} // namespace standin

int main(int argc, char** argv)
{
    try {
        auto options = standin::parseOptions(argc, argv);
        if (!options)
            return 0;
        std::signal(SIGPIPE, SIG_IGN);
        auto* base = event_base_new();
        standin::Service service(base, std::move(*options));
        auto* terminate = evsignal_new(
            base, SIGTERM, [](evutil_socket_t, short, void* arg) { static_cast<standin::Service*>(arg)->leave(); },
            &service);
        event_add(terminate, nullptr);
        event_base_dispatch(base);
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "standin-service: " << error.what() << '\n';
        return 1;
    }
}
