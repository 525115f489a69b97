#include <rosemarymill/core/node/reduce.hpp>
#include <rosemarymill/wire/trace/trace.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using nlohmann::json;
using wire::trace::parseLine;

namespace {

/// Formats an event, parses the line and formats the parsed event.
std::string reformat(const node::Event& event)
{
    std::vector<wire::JsonFault> faults;
    const auto line = parseLine(wire::trace::formatEvent(event), faults);
    CAPTURE(wire::describe(faults));
    REQUIRE(line.has_value());
    return wire::trace::formatEvent(std::get<node::Event>(*line));
}

call::Request sampleRequest()
{
    call::Request it;
    it.tokenDigest = "d";
    it.model = ModelName { "planner" };
    it.fingerprint = { 0xffffffffffffffff, 2 };
    it.prefixHashes = { 3, 0xfffffffffffffffe };
    it.deadline = 2500ms;
    it.traceparent = "00-1-2-01";
    it.stream = true;
    return it;
}

backend::Announcement sampleAnnouncement()
{
    backend::Announcement it;
    it.id = ServerId { "s-1" };
    it.models = { { ModelName { "planner" }, "1", { "tone" } } };
    it.group = backend::GroupMembership { GroupId { 1 }, FencingNumber { 2 }, 3 };
    it.cacheEvents = { 7, { 8 }, { 9 } };
    return it;
}

} // namespace

// Guards against members that are missing in a trace line: a replay would then differ from the recorded process.
TEST_CASE("Events are unchanged after formatting and parsing", "[trace]")
{
    const Instant now { 1500ms };
    const std::vector<node::Event> events { node::Started { now }, node::Tick { now },
        node::AnnouncementReceived { now, RequestId { 1 }, sampleAnnouncement() },
        node::CallArrived { now, CallId { 2 }, sampleRequest() }, node::TokenReceived { now, AttemptId { 3 }, 4, 5 },
        node::AttemptFailed { now, AttemptId { 3 }, node::AttemptError::MismatchedResponse, true },
        node::PeerMessageReceived { now, VmId { "entry-2" }, std::monostate {} },
        node::AvailabilityCommand { now, RequestId { 4 }, node::ServiceUnit::Vm, "entry-1", false, "id" } };
    for (const auto& event : events)
        CHECK(reformat(event) == wire::trace::formatEvent(event));
    std::vector<wire::JsonFault> faults;
    const auto arrived = std::get<node::Event>(*parseLine(wire::trace::formatEvent(events[3]), faults));
    const auto& request = std::get<node::CallArrived>(arrived).request;
    CHECK(request.fingerprint == sampleRequest().fingerprint);
    CHECK(request.prefixHashes == sampleRequest().prefixHashes);
    CHECK(request.deadline == 2500ms);
    const auto announced = std::get<node::Event>(*parseLine(wire::trace::formatEvent(events[2]), faults));
    CHECK(std::get<node::AnnouncementReceived>(announced).announcement == sampleAnnouncement());
}

TEST_CASE("An invalid trace line is rejected with the reason", "[trace]")
{
    const auto rejectionOf = [](const char* text) {
        std::vector<wire::JsonFault> faults;
        CHECK_FALSE(parseLine(text, faults).has_value());
        return wire::describe(faults);
    };
    CHECK(rejectionOf(R"({"event": "Ticks"})").find("unknown event 'Ticks'") != std::string::npos);
    CHECK(rejectionOf(R"({"event": "Tick", "now": "soon"})").find("type must be number") != std::string::npos);
    CHECK(rejectionOf(R"({"event": "Tick", "later": 1})").find("unknown member") != std::string::npos);
    CHECK(rejectionOf(R"({"event": "Tick")").find("malformed JSON") != std::string::npos);
    CHECK_FALSE(rejectionOf(R"([1])").empty());
    CHECK_FALSE(rejectionOf(R"({})").empty());
}

TEST_CASE("Expected effects are compared only by the members that they contain", "[trace]")
{
    node::Effects effects;
    effects(node::FinishCall { CallId { 1 }, AttemptId { 2 } });
    const auto differ = [&](const json& expected) {
        return differences(wire::trace::Expectation { expected.get<std::vector<json>>() }, effects);
    };
    CHECK(differ({ { { "effect", "FinishCall" } } }).empty());
    CHECK(differ({ { { "effect", "FinishCall" }, { "call", 1 }, { "attempt", 2 } } }).empty());
    CHECK(differ({ { { "effect", "FinishCall" }, { "call", 3 } } }).size() == 1);
    CHECK(differ({ { { "effect", "RefuseCall" } } }).size() == 1);
    CHECK(differ(json::array()).size() == 1);
}

TEST_CASE("A replay of the same events yields the same effects", "[trace]")
{
    node::Settings settings;
    settings.vm = VmId { "entry-1" };
    settings.dataCentre = DataCentreId { "mixco" };
    settings.seed = 5;
    std::vector<wire::JsonFault> faults;
    const auto read = parseLine(wire::trace::formatSettings(settings), faults);
    REQUIRE(read.has_value());
    node::State first { settings };
    node::State second { std::get<node::Settings>(*read) };
    for (const auto& event : { node::Event { node::Started { Instant { 1s } } },
             node::Event { node::CallArrived { Instant { 2s }, CallId { 1 }, sampleRequest() } },
             node::Event { node::Tick { Instant { 3s } } } }) {
        node::Effects recorded;
        node::reduce(first, event, recorded);
        const auto expectation = parseLine(wire::trace::formatEffects(recorded), faults);
        node::Effects replayed;
        node::reduce(second, event, replayed);
        CHECK(differences(std::get<wire::trace::Expectation>(*expectation), replayed).empty());
    }
}
