#include <rosemarymill/runtime/trace/spans.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <sstream>

using namespace rosemarymill;
using nlohmann::json;

namespace {

constexpr const char* parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

struct Fixture {
    void observe(const node::Event& event, std::vector<node::Effect> list = {})
    {
        node::Effects effects;
        for (auto& it : list)
            effects(std::move(it));
        recorder.observe(event, effects);
    }

    void arrive(const std::string& traceparent)
    {
        call::Request request;
        request.traceparent = traceparent;
        observe(node::CallArrived { Instant { 1s }, CallId { 1 }, request });
    }

    [[nodiscard]] std::vector<json> spans() const
    {
        std::vector<json> found;
        std::istringstream lines(out.str());
        for (std::string line; std::getline(lines, line);)
            found.push_back(json::parse(line)["resourceSpans"][0]["scopeSpans"][0]["spans"][0]);
        return found;
    }

    std::ostringstream out;
    runtime::SpanRecorder recorder { out, "entry-1", 100s, 7 };
};

} // namespace

TEST_CASE("traceparent is parsed as the W3C specification requires", "[trace]")
{
    const auto context = runtime::parseTraceparent(parent);
    REQUIRE(context.has_value());
    CHECK(context->traceId == "0af7651916cd43dd8448eb211c80319c");
    CHECK(context->parentId == "b7ad6b7169203331");
    CHECK(context->sampled);
    const std::string text(parent);
    CHECK_FALSE(runtime::parseTraceparent(text.substr(0, 53) + "00")->sampled);
    CHECK(runtime::parseTraceparent("01" + text.substr(2) + "-more").has_value());
    CHECK_FALSE(runtime::parseTraceparent(text + "-more").has_value());
    CHECK_FALSE(runtime::parseTraceparent("ff" + text.substr(2)).has_value());
    CHECK_FALSE(runtime::parseTraceparent("").has_value());
    CHECK_FALSE(runtime::parseTraceparent("00-00000000000000000000000000000000-b7ad6b7169203331-01").has_value());
    CHECK_FALSE(runtime::parseTraceparent("00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01").has_value());
}

TEST_CASE("A retried call has one caller, one queue and two backend spans in the caller's trace", "[trace]")
{
    Fixture it;
    it.arrive(parent);
    it.observe(node::Tick { Instant { 2s } },
        { node::Dispatch { AttemptId { 1 }, CallId { 1 }, ServerId { "s-1" }, "", {}, {}, 0 } });
    it.observe(node::AttemptFailed { Instant { 3s }, AttemptId { 1 }, node::AttemptError::ConnectionLost, true },
        { node::Dispatch { AttemptId { 2 }, CallId { 1 }, ServerId { "s-2" }, "", {}, {}, 0 } });
    it.observe(node::ResponseFinished { Instant { 5s }, AttemptId { 2 } },
        { node::FinishCall { CallId { 1 }, AttemptId { 2 } } });
    const auto spans = it.spans();
    REQUIRE(spans.size() == 4);
    const std::vector<std::string> names { "queue", "backend", "backend", "caller" };
    for (std::size_t i = 0; i < spans.size(); ++i) {
        CHECK(spans[i]["name"] == names[i]);
        CHECK(spans[i]["traceId"] == "0af7651916cd43dd8448eb211c80319c");
    }
    CHECK(spans[3]["parentSpanId"] == "b7ad6b7169203331");
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(spans[i]["parentSpanId"] == spans[3]["spanId"]);
    CHECK(spans[0]["startTimeUnixNano"] == "101000000000");
    CHECK(spans[0]["endTimeUnixNano"] == "102000000000");
    CHECK(spans[1]["status"]["code"] == 2);
    CHECK(spans[2]["status"]["code"] == 1);
    CHECK(spans[2]["attributes"][0]["value"]["stringValue"] == "s-2");
    CHECK(spans[3]["endTimeUnixNano"] == "105000000000");
}

TEST_CASE("A call that is not sampled has no span; a call without a trace context starts a trace", "[trace]")
{
    Fixture unsampled;
    unsampled.arrive(std::string(parent).substr(0, 53) + "00");
    unsampled.observe(node::CallerGone { Instant { 2s }, CallId { 1 } });
    CHECK(unsampled.out.str().empty());
    Fixture withoutContext;
    withoutContext.arrive("");
    withoutContext.observe(node::CallerGone { Instant { 2s }, CallId { 1 } });
    const auto spans = withoutContext.spans();
    REQUIRE(spans.size() == 2);
    CHECK_FALSE(spans[1].contains("parentSpanId"));
    CHECK(spans[1]["traceId"].get<std::string>().size() == 32);
    CHECK(spans[1]["status"]["code"] == 2);
}
