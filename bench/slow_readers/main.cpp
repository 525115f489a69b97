#include <support/deployment.hpp>
#include <support/process_usage.hpp>
#include <support/stream_caller.hpp>

#include <rosemarymill/runtime/base/libevent_handles.hpp>

#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>
#include <vector>

/// Measures the memory of one entry VM process while callers don't read their answers, and checks that every caller
/// receives its complete answer after it resumes reading. The baseline in the same run buffers without limit.
namespace {

using namespace rosemarymill;
using bench::SteadyClock;
using bench::StreamCaller;

constexpr double streamBudgetMiB = 16;
constexpr std::uint64_t tokenBytes = 1000;
constexpr std::uint64_t answerTokens = 1000;

struct Result {
    double baseMiB { 0 };
    double pausedMiB { 0 };
    double peakMiB { 0 };
    std::size_t completeAnswers { 0 };
    double suspended { 0 };
};

void runLoop(event_base* base, int milliseconds)
{
    const timeval time { milliseconds / 1000, (milliseconds % 1000) * 1000 };
    event_base_loopexit(base, &time);
    event_base_dispatch(base);
}

/// Waits until the resident memory of the process grows by at most 0.5% in a second, for 60 s at most.
void waitUntilSteady(event_base* base, pid_t pid)
{
    double last = 0;
    for (int i = 0; i < 60; ++i) {
        runLoop(base, 1000);
        const auto now = bench::memoryKiB(pid, "VmRSS");
        if (now <= last * 1.005)
            return;
        last = now;
    }
}

Result run(std::size_t count, const std::vector<std::string>& limits)
{
    test::Deployment it(limits);
    for (const auto* id : { "engine-1", "engine-2" })
        it.startEngine(id,
            { "--max-requests", "100000", "--cold-requests", "100000", "--tokens-per-second", "0", "--first-token-ms",
                "0", "--token-bytes", std::to_string(tokenBytes) });
    if (!it.serve(2))
        throw std::runtime_error("no group serves");
    const auto pid = it.daemon().pid();
    Result result;
    result.baseMiB = bench::memoryKiB(pid, "VmRSS") / 1024;
    runtime::EventBaseHandle base(event_base_new());
    std::vector<std::unique_ptr<StreamCaller>> callers;
    constexpr int receiveBufferBytes = 4096;
    for (std::size_t i = 0; i < count; ++i) {
        auto caller = std::make_unique<StreamCaller>(base.get(), it.callers(), receiveBufferBytes);
        caller->onTokens = [](StreamCaller&, std::uint64_t, bool) {};
        caller->onEnd = [&result](StreamCaller& done) {
            result.completeAnswers += done.consecutive && done.tokens == answerTokens ? 1 : 0;
        };
        caller->setReading(false);
        caller->send(test::chatRequest(test::chatBody("s" + std::to_string(i), answerTokens)));
        callers.push_back(std::move(caller));
    }
    waitUntilSteady(base.get(), pid);
    result.pausedMiB = bench::memoryKiB(pid, "VmRSS") / 1024;
    for (auto& caller : callers)
        caller->setReading(true);
    for (int i = 0; i < 120 && result.completeAnswers < count; ++i)
        runLoop(base.get(), 500);
    result.peakMiB = bench::memoryKiB(pid, "VmHWM") / 1024;
    result.suspended = it.metric("rosemarymill_streams_parked");
    return result;
}

void print(const char* what, const Result& it, std::size_t count)
{
    std::cout << what << ": base " << it.baseMiB << " MiB, while no caller reads " << it.pausedMiB << " MiB, peak "
              << it.peakMiB << " MiB, suspended streams " << it.suspended << ", complete answers " << it.completeAnswers
              << " of " << count << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::size_t count = 1000;
    double connectionKiB = 24;
    options::options_description description("bench-slow_readers options");
    auto add = description.add_options();
    add("help", "print this text");
    add("callers", options::value(&count), "callers that stop reading, at most 2000");
    add("connection-kib", options::value(&connectionKiB),
        "memory of a stream without its buffered bytes, from bench-latency");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        count = std::min<std::size_t>(count, 2000);
        const std::string unlimited = "100000000000";
        const auto baseline = run(count,
            { "--stream-high-water-bytes", unlimited, "--stream-low-water-bytes", "1000", "--stream-budget-bytes",
                unlimited, "--stream-stall-ms", "100000000" });
        print("without limit", baseline, count);
        const auto limited = run(count, {});
        print("with limits", limited, count);
        const double bound = limited.baseMiB + streamBudgetMiB + static_cast<double>(count) * connectionKiB / 1024;
        const bool kept = limited.pausedMiB <= bound && limited.completeAnswers == count;
        std::cout << "bound while no caller reads: " << bound << " MiB (base, 16 MiB of stream data, " << connectionKiB
                  << " KiB for each connection), " << (kept ? "kept" : "MISSED") << std::endl;
        return kept ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "bench-slow_readers: " << error.what() << '\n';
        return 2;
    }
}
