#include <rosemarymill/runtime/forward/forwarder.hpp>

#include "support/http.hpp"

#include <catch2/catch.hpp>

#include <chrono>

using namespace rosemarymill;
using runtime::forward::Forwarder;

namespace {

/// Process without a core; records the posted events.
struct Process {
    Process(event_base& base, const char* vm)
    {
        self.vm = VmId { vm };
        self.dataCentre = DataCentreId { "mixco" };
        self.bootId = BootId { std::string("boot-") + vm };
        links = runtime::PeerLinks::open(base, runtime::parseAddress("127.0.0.1:0").value(), self, [](node::Event&&) {
        }).value();
        forwarder = std::make_unique<Forwarder>(
            &base, *links, self, address(),
            [this](node::Event&& event) {
                if (std::holds_alternative<node::TokenReceived>(event))
                    tokens.emplace_back(forwarder->currentToken());
                if (const auto* finished = std::get_if<node::ResponseFinished>(&event))
                    recordAnswer(finished->attempt);
                events.push_back(std::move(event));
            },
            [this](CallId) { return &request; }, [this](CallId) { return std::optional(callRequest); });
        request.target = "/v1/chat/completions";
        request.body = "body";
        callRequest.tokenDigest = "digest";
        callRequest.deadline = 2500ms;
        callRequest.prefixHashes = { 1, 2 };
    }

    [[nodiscard]] std::string address() const { return formatAddress(links->address()); }

    void recordAnswer(AttemptId attempt)
    {
        const auto whole = forwarder->answer(attempt);
        answer.resize(evbuffer_get_length(whole.body));
        evbuffer_copyout(whole.body, answer.data(), answer.size());
        answerStatus = whole.status;
    }

    template <typename Event> [[nodiscard]] const Event* last() const
    {
        for (auto it = events.rbegin(); it != events.rend(); ++it) {
            if (const auto* event = std::get_if<Event>(&*it))
                return event;
        }
        return nullptr;
    }

    node::Settings self;
    std::unique_ptr<runtime::PeerLinks> links;
    std::unique_ptr<Forwarder> forwarder;
    std::vector<node::Event> events;
    std::vector<std::string> tokens;
    std::string answer;
    int answerStatus { 0 };
    runtime::backend::OutgoingRequest request;
    call::Request callRequest;
};

struct Fixture {
    CallId open(std::uint64_t resumeFrom = 0)
    {
        origin.forwarder->forward({ AttemptId { 7 }, CallId { 1 }, VmId { "server" }, server->address(), resumeFrom });
        REQUIRE(wait([&] { return server->last<node::CallArrived>() != nullptr; }));
        return server->last<node::CallArrived>()->call;
    }

    bool wait(const std::function<bool()>& done) const
    {
        const auto deadline = std::chrono::steady_clock::now() + 20s;
        while (!done() && std::chrono::steady_clock::now() < deadline) {
            const timeval slice { 0, 5'000 };
            event_base_loopexit(base.get(), &slice);
            event_base_dispatch(base.get());
        }
        return done();
    }

    test::EventBase base { event_base_new() };
    Process origin { *base, "origin" };
    std::unique_ptr<Process> server { std::make_unique<Process>(*base, "server") };
};

} // namespace

TEST_CASE("A forwarded stream is complete from its resume index", "[forward]")
{
    Fixture it;
    const auto call = it.open(1);
    const auto& arrived = *it.server->last<node::CallArrived>();
    CHECK(arrived.request.forwarded);
    CHECK(arrived.request.deadline == 2500ms);
    CHECK(arrived.request.prefixHashes == std::vector<std::uint64_t> { 1, 2 });
    CHECK(it.server->forwarder->find(call)->body == "body");
    it.server->forwarder->begin({ call, AttemptId { 1 }, 200, true });
    for (const auto* token : { "t0", "t1", "t2" })
        it.server->forwarder->append(call, token);
    it.server->forwarder->finish(call, {});
    REQUIRE(it.wait([&] { return it.origin.last<node::ResponseFinished>() != nullptr; }));
    CHECK(it.origin.last<node::ResponseStarted>()->stream);
    CHECK(it.origin.tokens == std::vector<std::string> { "t1", "t2" });
    CHECK(it.origin.last<node::TokenReceived>()->index == 2);
    CHECK(it.server->forwarder->calls() == 0);
    CHECK_FALSE(it.origin.forwarder->owns(AttemptId { 7 }));
}

TEST_CASE("A forwarded non-streaming response keeps its status and body", "[forward]")
{
    Fixture it;
    const auto call = it.open();
    const runtime::BufferHandle body(evbuffer_new());
    evbuffer_add(body.get(), "answer", 6);
    it.server->forwarder->finish(call, { 404, "application/json", body.get() });
    REQUIRE(it.wait([&] { return it.origin.last<node::ResponseFinished>() != nullptr; }));
    CHECK(it.origin.answer == "answer");
    CHECK(it.origin.answerStatus == 404);
}

// I6: only a refusal with outcome NotRun may be reported as a request that was not sent.
TEST_CASE("A forwarded refusal preserves whether the call may have run", "[forward]")
{
    for (const auto outcome : { call::Outcome::NotRun, call::Outcome::Failed, call::Outcome::Unknown }) {
        Fixture it;
        it.server->forwarder->refuse({ it.open(), { call::RefusalReason::NoCapacity, outcome, {}, "" } });
        REQUIRE(it.wait([&] { return it.origin.last<node::AttemptFailed>() != nullptr; }));
        CHECK(it.origin.last<node::AttemptFailed>()->requestSent == (outcome != call::Outcome::NotRun));
    }
}

TEST_CASE("Flow control and cancellation of an attempt reach the call at the server", "[forward]")
{
    Fixture it;
    const auto call = it.open();
    it.origin.forwarder->setReading({ AttemptId { 7 }, false });
    REQUIRE(it.wait([&] { return it.server->last<node::CallerBacklogChanged>() != nullptr; }));
    CHECK(it.server->last<node::CallerBacklogChanged>()->bytes > 64 * 1024);
    it.origin.forwarder->cancel({ AttemptId { 7 }, true });
    REQUIRE(it.wait([&] { return it.server->last<node::CallerGone>() != nullptr; }));
    CHECK(it.server->last<node::CallerGone>()->call == call);
}

// Guards against calls that hang because their attempt at a stopped or restarted server never fails.
TEST_CASE("An attempt fails when its server stops or no longer holds its call", "[forward]")
{
    Fixture stopped;
    (void)stopped.open();
    stopped.server.reset();
    REQUIRE(stopped.wait([&] { return stopped.origin.last<node::AttemptFailed>() != nullptr; }));
    CHECK(stopped.origin.last<node::AttemptFailed>()->requestSent);

    Fixture restarted;
    (void)restarted.open();
    restarted.server->forwarder = std::make_unique<Forwarder>(
        restarted.base.get(), *restarted.server->links, restarted.server->self, restarted.server->address(),
        [](node::Event&&) {}, [](CallId) { return nullptr; }, [](CallId) { return std::nullopt; });
    REQUIRE(restarted.wait([&] { return restarted.origin.last<node::AttemptFailed>() != nullptr; }));
    CHECK(restarted.origin.last<node::AttemptFailed>()->requestSent);
}
