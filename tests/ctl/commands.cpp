#include <rosemarymill/ctl/commands.hpp>

#include "support/http.hpp"
#include "support/malformed_responses.hpp"
#include "support/raw_server.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

#include <unistd.h>

using namespace rosemarymill;

namespace {

/// HTTP server on its own thread that gives one fixed answer and records the requests.
class Server {
public:
    Server(int status, std::string body)
        : m_status(status)
        , m_body(std::move(body))
        , m_base(event_base_new())
        , m_http(evhttp_new(m_base.get()))
    {
        auto* socket = evhttp_bind_socket_with_handle(m_http, "127.0.0.1", 0);
        m_address = "127.0.0.1:" + std::to_string(portOf(evhttp_bound_socket_get_fd(socket)));
        evhttp_set_gencb(m_http, &Server::onRequest, this);
        m_thread = std::thread([this] {
            const timeval slice { 0, 10'000 };
            while (!m_stop) {
                event_base_loopexit(m_base.get(), &slice);
                event_base_dispatch(m_base.get());
            }
        });
    }

    ~Server()
    {
        m_stop = true;
        m_thread.join();
        evhttp_free(m_http);
    }

    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    [[nodiscard]] const std::string& address() const { return m_address; }

    std::vector<std::string> requests;

private:
    static int portOf(int socket)
    {
        sockaddr_in it {};
        socklen_t length = sizeof(it);
        getsockname(socket, reinterpret_cast<sockaddr*>(&it), &length);
        return ntohs(it.sin_port);
    }

    static void onRequest(evhttp_request* request, void* arg)
    {
        auto& self = *static_cast<Server*>(arg);
        const auto* id = evhttp_find_header(evhttp_request_get_input_headers(request), "X-Submission-Id");
        self.requests.push_back(std::string(evhttp_request_get_uri(request)) + " " + (id ? id : "-"));
        evbuffer_add(evhttp_request_get_output_buffer(request), self.m_body.data(), self.m_body.size());
        evhttp_send_reply(request, self.m_status, "", nullptr);
    }

    int m_status;
    std::string m_body;
    test::EventBase m_base;
    evhttp* m_http;
    std::string m_address;
    std::atomic<bool> m_stop { false };
    std::thread m_thread;
};

struct TemporaryFile {
    explicit TemporaryFile(const std::string& text)
    {
        const int file = mkstemp(name.data());
        REQUIRE(file >= 0);
        close(file);
        std::ofstream(name) << text;
    }
    ~TemporaryFile() { unlink(name.c_str()); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;

    std::string name { "/tmp/rosemarymill-test-XXXXXX" };
};

struct RunResult {
    int code { 0 };
    std::string out;
    std::string err;
};

RunResult runCommand(std::vector<const char*> words)
{
    words.insert(words.begin(), "rosemarymillctl");
    const auto parsed = ctl::parseArguments(static_cast<int>(words.size()), words.data());
    std::ostringstream out;
    std::ostringstream err;
    for (const auto& error : parsed.errors)
        err << error << '\n';
    const auto code = parsed.errors.empty() ? ctl::run(parsed.arguments, out, err) : ctl::ExitCode::Usage;
    return { static_cast<int>(code), out.str(), err.str() };
}

constexpr const char* validManifest
    = R"({"data_centres": ["mixco"], "weight_store_bytes_per_second": 1, "models": [], "accounts": []})";
constexpr const char* accepted = R"({"result": "accepted", "revision": 12, "current": 13, "detail": ""})";
// Nothing listens on the discard port of the loopback address.
constexpr const char* closedAddress = "127.0.0.1:9";

} // namespace

TEST_CASE("A wrong command line is refused with one error line per fault", "[ctl]")
{
    CHECK(runCommand({}).code == 2);
    CHECK(runCommand({ "reboot" }).err.starts_with("unknown command 'reboot'\n"));
    CHECK(runCommand({ "take-out", "rack", "r1", "--address", "127.0.0.1:1" }).err
        == "take-out: 'rack' must be data-centre or vm\n");
    CHECK(runCommand({ "apply", "--address", "127.0.0.1:1" }).err == "apply: 1 operands are required, 0 are given\n");
    CHECK(runCommand({ "status" }).err == "--address: a value is required\n");
    CHECK(runCommand({ "status", "--address", "127.0.0.1:1", "--expect-revision", "3", "--timeout-ms", "0" }).err
        == "--timeout-ms: 0: must be from 1 to 600000\n--expect-revision: only for apply\n");
    CHECK(runCommand({ "status", "--expect-revision", "x" }).code == 2);
    CHECK(runCommand({ "status", "--force" }).code == 2);
}

TEST_CASE("A flag takes precedence over its variable", "[ctl]")
{
    setenv("ROSEMARYMILL_ADDRESS", "127.0.0.1:1,127.0.0.1:2", 1);
    const std::vector<const char*> fromVariable { "ctl", "status" };
    CHECK(ctl::parseArguments(2, fromVariable.data()).arguments.addresses.size() == 2);
    const std::vector<const char*> fromFlag { "ctl", "status", "--address", "127.0.0.1:3" };
    CHECK(ctl::parseArguments(4, fromFlag.data()).arguments.addresses == std::vector<std::string> { "127.0.0.1:3" });
    unsetenv("ROSEMARYMILL_ADDRESS");
}

TEST_CASE("check reports the faults of a manifest without an entry VM", "[ctl]")
{
    const TemporaryFile validFile(validManifest);
    const TemporaryFile invalidFile(R"({"data_centres": []})");
    CHECK(runCommand({ "check", validFile.name.c_str() }).code == 0);
    const auto result = runCommand({ "check", invalidFile.name.c_str() });
    CHECK(result.code == 3);
    CHECK(result.err.starts_with("/data_centres: []: must name at least one data centre\n"));
    CHECK(runCommand({ "check", invalidFile.name.c_str(), "--json" }).out.starts_with(R"({"valid":false,"faults":[)"));
    CHECK(runCommand({ "check", "/nonexistent/file" }).code == 2);
}

TEST_CASE("A resend to the next entry VM has the same submission id", "[ctl]")
{
    const TemporaryFile file(validManifest);
    Server unavailable(503, R"({"result": "not_accepted", "detail": "no leader"})");
    Server accepting(200, accepted);
    const auto result = runCommand({ "take-out", "vm", "entry-2", "--address", closedAddress, "--address",
        unavailable.address().c_str(), "--address", accepting.address().c_str() });
    CHECK(result.code == 0);
    CHECK(result.out == "accepted as revision 12, superseded by 13\n");
    REQUIRE(unavailable.requests.size() == 1);
    CHECK(unavailable.requests == accepting.requests);
    CHECK(unavailable.requests[0].starts_with("/v1/take-out "));
    CHECK_FALSE(unavailable.requests[0].ends_with(" -"));
}

TEST_CASE("Each status of an entry VM's answer maps to an exit code", "[ctl]")
{
    const TemporaryFile file(validManifest);
    const auto apply = [&](int status, const char* body) {
        Server server(status, body);
        return runCommand({ "apply", file.name.c_str(), "--address", server.address().c_str() });
    };
    CHECK(apply(200, accepted).code == 0);
    CHECK(apply(400, "{}").code == 3);
    const auto conflict = apply(409, R"({"result": "conflict", "revision": 4, "current": 4, "detail": "from b-7"})");
    CHECK(conflict.code == 4);
    CHECK(conflict.err == "conflict with revision 4: from b-7\n");
    CHECK(apply(503, "{}").code == 5);
    CHECK(apply(504, "{}").code == 6);
    const auto unreachable = runCommand({ "apply", file.name.c_str(), "--address", closedAddress });
    CHECK(unreachable.code == 6);
    CHECK(unreachable.err.find("--submission-id") != std::string::npos);
}

TEST_CASE("The outcome is unknown after an entry VM gave no answer, even if a later one refuses", "[ctl]")
{
    Server unavailable(503, "{}");
    CHECK(runCommand({ "take-out", "vm", "v", "--address", closedAddress, "--address", unavailable.address().c_str() })
              .code
        == 6);
}

TEST_CASE("Status is printed as text or as the entry VM's JSON", "[ctl]")
{
    const std::string body = R"({"vm": "entry-1", "data_centre": "mixco", "ready": true, "reason": "",)"
                             R"("configuration": {"revision": 3, "submission_id": "b"}, "calls": {"active": 2,)"
                             R"("waiting": 1}, "groups": [{"id": 7, "model": "planner", "version": "1",)"
                             R"("phase": "serving", "members": ["a", "b"]}], "servers": []})";
    Server server(200, body);
    CHECK(runCommand({ "status", "--address", server.address().c_str(), "--json" }).out == body + "\n");
    CHECK(runCommand({ "status", "--address", server.address().c_str() }).out
        == "vm entry-1 in mixco, ready true\nrevision 3 from submission b\ncalls 2 active, 1 waiting\n"
           "group 7 planner@1 serving, 2 members\n");
}

TEST_CASE("A malformed answer counts as no answer", "[ctl]")
{
    const TemporaryFile file(validManifest);
    for (const auto& response : test::malformedResponses()) {
        CAPTURE(response);
        const test::RawServer server(response);
        CHECK(runCommand({ "apply", file.name.c_str(), "--address", server.address().c_str(), "--timeout-ms", "3000" })
                  .code
            == 6);
    }
}

TEST_CASE("An answer without a length that is reset counts as no answer", "[ctl]")
{
    const TemporaryFile file(validManifest);
    const test::RawServer server(std::string("HTTP/1.1 200 OK\r\n\r\n") + accepted, test::RawServer::Ending::Reset);
    CHECK(runCommand({ "apply", file.name.c_str(), "--address", server.address().c_str(), "--timeout-ms", "3000" }).code
        == 6);
}
