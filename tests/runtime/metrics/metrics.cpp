#include <rosemarymill/runtime/metrics/calls.hpp>
#include <rosemarymill/runtime/metrics/process.hpp>

#include <catch2/catch.hpp>

#include <sstream>

using namespace rosemarymill;

namespace {

bool hasLine(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

struct Fixture {
    Fixture()
    {
        configuration::ClientAccount account;
        account.id = AccountId { "brand-1" };
        account.tokenDigests = { "digest-1" };
        state.configuration.manifest.accounts = { account };
    }

    template <typename... Effects> void observe(const node::Event& event, Effects&&... list)
    {
        node::Effects effects;
        (effects(node::Effect { std::forward<Effects>(list) }), ...);
        metrics.observe(event, state, effects);
    }

    void arrive(std::uint64_t call, Duration at, const char* digest = "digest-1")
    {
        call::Request request;
        request.tokenDigest = digest;
        observe(node::CallArrived { Instant { at }, CallId { call }, request });
    }

    void tick(Duration at, node::Effect effect) { observe(node::Tick { Instant { at } }, std::move(effect)); }

    [[nodiscard]] std::string text() const
    {
        std::ostringstream out;
        metrics.write(out);
        return out.str();
    }

    node::State state { node::Settings {} };
    runtime::CallMetrics metrics;
};

} // namespace

TEST_CASE("Quantiles match the samples and are not published for too few samples", "[metrics]")
{
    runtime::TimeSummary summary;
    std::ostringstream few;
    summary.add(1s);
    summary.write(few, "x", "account=\"a\"");
    CHECK(few.str() == "x_sum{account=\"a\"} 1\nx_count{account=\"a\"} 1\n");
    // 7 is coprime to 1000, so the samples 1 to 1000 ms are added in a mixed order.
    for (int i = 0; i < 1000; ++i)
        summary.add(std::chrono::milliseconds { i * 7 % 1000 + 1 });
    CHECK(summary.quantile(0) == Approx(0.5).margin(0.02));
    CHECK(summary.quantile(1) == Approx(0.95).margin(0.02));
    CHECK(summary.quantile(2) == Approx(0.99).margin(0.02));
}

TEST_CASE("Each call is counted once for its account, with its times", "[metrics]")
{
    Fixture it;
    const CallId call { 1 };
    const AttemptId attempt { 1 };
    it.arrive(1, 1s);
    it.tick(1250ms, node::Dispatch { attempt, call, ServerId { "s" }, "", {}, {}, 0 });
    it.tick(1500ms, node::ForwardToken { call, attempt });
    // A second dispatch after a failure does not count as a second wait in the queue.
    it.tick(1600ms, node::Dispatch { attempt, call, ServerId { "t" }, "", {}, {}, 1 });
    it.tick(1750ms, node::ForwardToken { call, attempt });
    it.tick(2s, node::FinishCall { call, attempt });
    it.tick(2s, node::FinishCall { call, attempt });
    it.arrive(2, 2s);
    it.tick(3s, node::RefuseCall { CallId { 2 }, { call::RefusalReason::NoCapacity, call::Outcome::NotRun, {}, "" } });
    it.arrive(3, 3s, "nobody");
    it.tick(
        3s, node::RefuseCall { CallId { 3 }, { call::RefusalReason::Unauthenticated, call::Outcome::NotRun, {}, "" } });
    const auto text = it.text();
    CAPTURE(text);
    CHECK(hasLine(text, R"(rosemarymill_calls_total{account="brand-1",outcome="finished"} 1)"));
    CHECK(hasLine(text, R"(rosemarymill_calls_total{account="brand-1",outcome="not_run"} 1)"));
    CHECK(hasLine(text, R"(rosemarymill_calls_total{account="",outcome="not_run"} 1)"));
    CHECK(hasLine(text, R"(rosemarymill_queue_seconds_count{account="brand-1"} 1)"));
    CHECK(hasLine(text, R"(rosemarymill_queue_seconds_sum{account="brand-1"} 0.25)"));
    CHECK(hasLine(text, R"(rosemarymill_first_token_seconds_sum{account="brand-1"} 0.5)"));
    CHECK(hasLine(text, R"(rosemarymill_between_tokens_seconds_sum{account="brand-1"} 0.25)"));
}

TEST_CASE("A summary without labels is published with the quantile as its only label", "[metrics]")
{
    runtime::TimeSummary summary;
    for (std::size_t i = 0; i < runtime::minQuantileSamples; ++i)
        summary.add(1s);
    std::ostringstream out;
    summary.write(out, "time_seconds", {});
    CHECK(out.str().starts_with("time_seconds{quantile=\"0.5\"} 1\n"));
    CHECK(out.str().ends_with("time_seconds_count{} 10\n"));
}

TEST_CASE("Link and process metrics are published", "[metrics]")
{
    runtime::LinkCounters counters;
    counters.sent[runtime::LinkCounters::slot(wire::FrameKind::Agreement)].add(60);
    std::ostringstream out;
    runtime::writeLinkMetrics(out, counters);
    runtime::writeProcessMetrics(out);
    CHECK(hasLine(out.str(), R"(rosemarymill_link_bytes_total{kind="agreement",direction="sent"} 60)"));
    CHECK(out.str().find("\nrosemarymill_process_resident_bytes ") != std::string::npos);
    CHECK(out.str().find("\nrosemarymill_process_cpu_seconds_total ") != std::string::npos);
}
