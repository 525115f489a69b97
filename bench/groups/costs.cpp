#include "costs.hpp"

#include <rosemarymill/wire/frame/frame.hpp>
#include <rosemarymill/wire/membership/codec.hpp>
#include <rosemarymill/wire/placement/codec.hpp>

#include "../../tests/core/membership/cluster.hpp"
#include "../../tests/support/fleet.hpp"
#include "../support/fit.hpp"

#include <array>
#include <cstdio>
#include <ctime>
#include <malloc.h>

namespace rosemarymill::bench {

namespace {

/// Budgets of the design page for all work of a node except calls: bytes per second, and fraction of a core.
constexpr double budgetBytes = 6000;
constexpr double budgetCore = 0.034;
/// Largest number of probes, acknowledgements and digests per node and second.
constexpr double maxMessages = 4;

double cpuSeconds()
{
    timespec it {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &it);
    return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_nsec) / 1e9;
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

int check(bool kept, const char* bound)
{
    if (!kept)
        std::printf("MISSED: %s\n", bound);
    return kept ? 0 : 1;
}

int measureMembership()
{
    std::printf("| members | messages/s per node | bytes/s per node | CPU per node | memory per node |\n");
    std::printf("| ---: | ---: | ---: | ---: | ---: |\n");
    std::array<Sample, 3> memory;
    std::array<Sample, 3> messages;
    int missed = 0;
    std::size_t row = 0;
    for (const std::size_t count : { 10, 53, 100 }) {
        const auto before = heapBytes();
        test::MembershipCluster cluster(count, 1);
        cluster.run(30s);
        const auto perNode = (heapBytes() - before) / static_cast<double>(count);
        std::uint64_t sent = 0;
        std::uint64_t bytes = 0;
        wire::Buffer buf;
        const auto encode = [&](const membership::Message& message) {
            buf.clear();
            wire::membership::encode(message, buf);
            bytes += buf.size() + wire::frameHeaderBytes;
            ++sent;
        };
        cluster.network.onSend = encode;
        const auto start = cpuSeconds();
        cluster.run(60s);
        const auto nodeSeconds = 60.0 * static_cast<double>(count);
        const auto cpu = (cpuSeconds() - start) / nodeSeconds;
        const auto rate = static_cast<double>(sent) / nodeSeconds;
        std::printf("| %zu | %.2f | %.0f | %.4f%% | %.1f KB |\n", count, rate, static_cast<double>(bytes) / nodeSeconds,
            100 * cpu, perNode / 1000);
        memory[row] = { static_cast<double>(count), perNode };
        messages[row++] = { static_cast<double>(count), rate };
        missed += check(rate <= maxMessages, "at most 4 membership messages per node and second");
        missed += check(static_cast<double>(bytes) / nodeSeconds <= budgetBytes, "membership within 6 KB/s");
        missed += check(cpu <= budgetCore, "membership within 3.4% of a core");
    }
    std::printf("\nMemory per further member: %.0f bytes; messages per further member: %.4f/s\n\n",
        fitLine(memory).slope, fitLine(messages).slope);
    return missed;
}

double digestBytes()
{
    placement::HomeDigest digest { 9, 1, 2, 30, 40, {} };
    for (int i = 0; i < 4; ++i)
        digest.demand.push_back({ ModelName { "model-" + std::to_string(i) }, 3, 8 });
    placement::ServerReport report;
    report.digest = digest;
    wire::Buffer buf;
    wire::placement::encode(report, buf);
    return static_cast<double>(buf.size() + wire::frameHeaderBytes);
}

int measurePlacement()
{
    std::printf("| servers | leader CPU | leader memory |\n| ---: | ---: | ---: |\n");
    std::array<Sample, 3> memory;
    std::array<Sample, 3> cpu;
    int missed = 0;
    std::size_t row = 0;
    for (const int count : { 120, 240, 470 }) {
        test::Fleet<placement::WarmSparePolicy> fleet(1);
        fleet.stepSize = 100ms;
        fleet.manifest.weightStoreBytesPerSecond = 0;
        configuration::ModelSpec model;
        model.name = ModelName { "large" };
        model.version = "1";
        model.vmsPerReplica = 8;
        model.replicas[DataCentreId { "mixco" }] = { 200, 200 };
        fleet.manifest.models = { model };
        for (int i = 0; i < count; ++i)
            fleet.add("s" + std::to_string(i), "s" + std::to_string(i), "d" + std::to_string(i / 16));
        fleet.run(10s);
        // Copies the leader's state to measure its heap size.
        const auto before = heapBytes();
        const auto copy = fleet.leader;
        const auto bytes = heapBytes() - before;
        const auto start = cpuSeconds();
        for (int i = 0; i < 600; ++i) {
            fleet.now += 100ms;
            for (auto& [id, record] : fleet.leader.servers)
                record.lastSeen = fleet.now;
            fleet.apply(placement::PlannerTick { fleet.now });
        }
        const auto share = (cpuSeconds() - start) / 60;
        std::printf("| %d | %.3f%% | %.0f KB |\n", count, 100 * share, bytes / 1000);
        memory[row] = { static_cast<double>(count), bytes };
        cpu[row++] = { static_cast<double>(count), share };
        missed += check(share <= budgetCore, "placement within 3.4% of a core");
    }
    std::printf("\nMemory per further server: %.0f bytes; CPU per further server: %.5f%% of a core\n",
        fitLine(memory).slope, 100 * fitLine(cpu).slope);
    const auto digests = digestBytes();
    std::printf(
        "Digest of a home: %.0f bytes/s; received by the leader from 53 homes: %.0f bytes/s\n", digests, 53 * digests);
    missed += check(digests <= budgetBytes, "digest of a home within 6 KB/s");
    return missed;
}

} // namespace

int measureCosts() { return measureMembership() + measurePlacement(); }

} // namespace rosemarymill::bench
