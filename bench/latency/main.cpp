#include <support/deployment.hpp>
#include <support/process_usage.hpp>
#include <support/stream_caller.hpp>

#include <rosemarymill/runtime/base/libevent_handles.hpp>

#include <boost/program_options.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <vector>

/// Measures the latency that one entry VM process adds, its throughput and its memory. The baseline calls the stand-in
/// engine directly, in the same run and with the same number of callers.
namespace {

using namespace rosemarymill;
using bench::SteadyClock;
using bench::StreamCaller;

/// Bounds of section 1.6 of the design page; requests and tokens are per second.
constexpr double firstTokenBoundMs = 26.5;
constexpr double betweenTokensBoundMs = 3.45;
constexpr double requestsBound = 1540;
constexpr double tokensBound = 540'000;

struct Samples {
    std::vector<double> firstMs;
    std::vector<double> betweenMs;

    static double percentile(std::vector<double>& values, double fraction)
    {
        if (values.empty())
            return 0;
        const auto at = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + at, values.end());
        return values[static_cast<std::size_t>(at)];
    }
};

double msBetween(SteadyClock::time_point from, SteadyClock::time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

void runLoop(event_base* base, double seconds)
{
    const timeval time { static_cast<time_t>(seconds),
        static_cast<suseconds_t>((seconds - static_cast<double>(static_cast<time_t>(seconds))) * 1e6) };
    event_base_loopexit(base, &time);
    event_base_dispatch(base);
}

std::string request(const std::string& user, std::uint64_t tokens)
{
    return test::chatRequest(test::chatBody(user, tokens), "X-Request-Id: " + user + "\r\n");
}

/// Measures streams at the token rate of the engine. Each caller sends its next request when its answer is complete.
Samples measureLatency(const std::string& address, std::size_t callers, double seconds)
{
    runtime::EventBaseHandle base(event_base_new());
    Samples samples;
    std::vector<std::unique_ptr<StreamCaller>> all;
    for (std::size_t i = 0; i < callers; ++i) {
        auto caller = std::make_unique<StreamCaller>(base.get(), address);
        const auto text = request("c" + std::to_string(i), 40);
        caller->onTokens = [&](StreamCaller& it, std::uint64_t count, bool first) {
            const auto now = SteadyClock::now();
            (first ? samples.firstMs : samples.betweenMs)
                .push_back(msBetween(first ? it.sentAt : it.lastTokensAt, now));
            samples.betweenMs.insert(samples.betweenMs.end(), count - 1, 0.0);
        };
        caller->onEnd = [text](StreamCaller& it) { it.send(text); };
        caller->send(text);
        all.push_back(std::move(caller));
        // Spreads the starts over 0.8 s, so that the callers don't send their requests at the same time.
        runLoop(base.get(), 0.8 / static_cast<double>(callers));
    }
    samples = {};
    runLoop(base.get(), seconds);
    return samples;
}

struct Throughput {
    double requestsPerSecond { 0 };
    double tokensPerSecond { 0 };
    double processorShare { 0 };
    bool consecutive { true };
};

/// Measures answers of a fixed length in a closed loop.
Throughput measureThroughput(
    const std::string& address, pid_t server, std::size_t callers, std::uint64_t tokens, double seconds)
{
    runtime::EventBaseHandle base(event_base_new());
    std::uint64_t tokenCount = 0;
    std::uint64_t answers = 0;
    std::vector<std::unique_ptr<StreamCaller>> all;
    for (std::size_t i = 0; i < callers; ++i) {
        auto caller = std::make_unique<StreamCaller>(base.get(), address);
        const auto text = request("t" + std::to_string(i), tokens);
        caller->onTokens = [&](StreamCaller&, std::uint64_t count, bool) { tokenCount += count; };
        caller->onEnd = [&answers, text](StreamCaller& it) {
            ++answers;
            it.send(text);
        };
        caller->send(text);
        all.push_back(std::move(caller));
    }
    runLoop(base.get(), 1);
    tokenCount = 0;
    answers = 0;
    const auto used = bench::processorSeconds(server);
    const auto start = SteadyClock::now();
    runLoop(base.get(), seconds);
    const double elapsed = msBetween(start, SteadyClock::now()) / 1000;
    Throughput result { static_cast<double>(answers) / elapsed, static_cast<double>(tokenCount) / elapsed,
        (bench::processorSeconds(server) - used) / elapsed };
    for (const auto& it : all)
        result.consecutive = result.consecutive && it->consecutive && !it->closed();
    return result;
}

bool print(const char* what, double value, const char* unit, double bound, bool atMost)
{
    const bool kept = atMost ? value <= bound : value >= bound;
    std::cout << std::left << std::setw(44) << what << std::right << std::setw(12) << std::fixed << std::setprecision(2)
              << value << ' ' << unit << (atMost ? ", at most " : ", at least ") << bound
              << (kept ? ", kept" : ", MISSED") << std::endl;
    return kept;
}

void printPair(const char* what, double direct, double proxied)
{
    std::cout << std::left << std::setw(44) << what << std::right << std::fixed << std::setprecision(3) << "direct "
              << std::setw(9) << direct << " ms, via entry VM " << std::setw(9) << proxied << " ms, added "
              << proxied - direct << " ms" << std::endl;
}

bool latency(std::size_t callers, double seconds)
{
    test::Deployment it;
    const auto engine = it.startEngine("engine-1", { "--max-requests", "100000", "--cold-requests", "100000" });
    if (!it.serve(1))
        throw std::runtime_error("no group serves");
    auto direct = measureLatency(engine, callers, seconds);
    auto proxied = measureLatency(it.callers(), callers, seconds);
    std::cout << "latency: " << callers << " callers, 50 tokens/s each, first token after 20 ms; "
              << proxied.firstMs.size() << " answers, " << proxied.betweenMs.size() << " tokens\n";
    double first = 0;
    double between = 0;
    for (const double fraction : { 0.5, 0.95, 0.99 }) {
        const auto name = "p" + std::to_string(static_cast<int>(fraction * 100));
        const auto directFirst = Samples::percentile(direct.firstMs, fraction);
        const auto proxiedFirst = Samples::percentile(proxied.firstMs, fraction);
        const auto directBetween = Samples::percentile(direct.betweenMs, fraction);
        const auto proxiedBetween = Samples::percentile(proxied.betweenMs, fraction);
        printPair(("  first token " + name).c_str(), directFirst, proxiedFirst);
        printPair(("  between tokens " + name).c_str(), directBetween, proxiedBetween);
        if (fraction == 0.95) {
            first = proxiedFirst - directFirst;
            between = proxiedBetween - directBetween;
        }
    }
    const bool firstKept = print("  added to first token, p95", first, "ms", firstTokenBoundMs, true);
    return print("  added between tokens, p95", between, "ms", betweenTokensBoundMs, true) && firstKept;
}

bool throughput(double seconds)
{
    constexpr std::uint32_t engines = 3;
    test::Deployment it;
    for (std::uint32_t i = 1; i <= engines; ++i)
        it.startEngine("engine-" + std::to_string(i),
            { "--max-requests", "100000", "--cold-requests", "100000", "--tokens-per-second", "0", "--first-token-ms",
                "0" });
    if (!it.serve(engines))
        throw std::runtime_error("no group serves");
    const auto tokens = measureThroughput(it.callers(), it.daemon().pid(), 96, 20'000, seconds);
    const auto requests = measureThroughput(it.callers(), it.daemon().pid(), 64, 1, seconds);
    std::cout << "throughput: " << engines << " engines, closed loop\n";
    std::cout << "  tokens: " << tokens.processorShare << " of a core, every answer complete: " << tokens.consecutive
              << "\n  requests: " << requests.processorShare
              << " of a core, every answer complete: " << requests.consecutive << '\n';
    const bool kept = print("  token events, 96 streams", tokens.tokensPerSecond, "/s", tokensBound, false);
    return print("  requests, 64 callers", requests.requestsPerSecond, "/s", requestsBound, false) && kept
        && tokens.consecutive && requests.consecutive;
}

void memory()
{
    constexpr std::size_t count = 1000;
    test::Deployment it;
    it.startEngine("engine-1", { "--max-requests", "100000", "--cold-requests", "100000", "--tokens-per-second", "1" });
    if (!it.serve(1))
        throw std::runtime_error("no group serves");
    const auto pid = it.daemon().pid();
    const auto base = bench::memoryKiB(pid, "VmRSS");
    runtime::EventBaseHandle loop(event_base_new());
    std::vector<std::unique_ptr<StreamCaller>> callers;
    for (std::size_t i = 0; i < count; ++i)
        callers.push_back(std::make_unique<StreamCaller>(loop.get(), it.callers()));
    runLoop(loop.get(), 1);
    const auto idle = bench::memoryKiB(pid, "VmRSS");
    for (std::size_t i = 0; i < count; ++i)
        callers[i]->send(request("m" + std::to_string(i), 100));
    runLoop(loop.get(), 4);
    const auto streams = bench::memoryKiB(pid, "VmRSS");
    std::cout << "memory: base " << base << " KiB, with " << count << " idle connections " << idle << " KiB ("
              << (idle - base) / count << " KiB each), with " << count << " streams " << streams << " KiB ("
              << (streams - base) / count << " KiB each)" << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::string part = "all";
    std::size_t callers = 200;
    double seconds = 5;
    options::options_description description("bench-latency options");
    auto add = description.add_options();
    add("help", "print this text");
    add("part", options::value(&part), "latency, throughput, memory or all");
    add("callers", options::value(&callers), "callers of the latency part");
    add("seconds", options::value(&seconds), "time of each measurement, at most 60");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        seconds = std::min(seconds, 60.0);
        bool kept = true;
        if (part == "all" || part == "latency")
            kept = latency(callers, seconds) && kept;
        if (part == "all" || part == "throughput")
            kept = throughput(seconds) && kept;
        if (part == "all" || part == "memory")
            memory();
        return kept ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "bench-latency: " << error.what() << '\n';
        return 2;
    }
}
