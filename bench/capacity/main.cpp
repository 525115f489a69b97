#include "deployment.hpp"

#include <support/fit.hpp>

#include <boost/program_options.hpp>

#include <algorithm>
#include <functional>
#include <iomanip>
#include <iostream>
#include <vector>

/// Measures what control costs an idle entry VM process with several numbers of members and of backend servers, fits
/// straight lines to the costs and extrapolates them to the design size.
namespace {

using namespace rosemarymill;
using bench::Cost;
using bench::Sample;

/// Members and backend servers of one data centre at the design size.
constexpr double designMembers = 53;
constexpr double designServers = 470;

/// Budgets of one process for control work.
constexpr double cpuBudgetPercent = 3.4;
constexpr double bytesBudgetPerSecond = 6000;
constexpr double memoryBudgetMib = 32;

struct Figure {
    const char* name;
    double Cost::*value;
    double budget;
};

const std::vector<Figure>& figures()
{
    static const std::vector<Figure> all { { "processor (% of a core)", &Cost::cpuPercent, cpuBudgetPercent },
        { "sent to peers (bytes/s)", &Cost::sentBytesPerSecond, bytesBudgetPerSecond },
        { "sent to peers (messages/s)", &Cost::sentMessagesPerSecond, 0 },
        { "resident memory (MiB)", &Cost::residentMib, memoryBudgetMib } };
    return all;
}

struct Measurement {
    double size { 0 };
    bench::Costs costs;
};

void printFits(const std::string& role, const std::string& unit, double designSize,
    const std::vector<Measurement>& measurements, const std::function<Cost(const bench::Costs&)>& pick)
{
    for (const auto& figure : figures()) {
        std::vector<Sample> samples;
        samples.reserve(measurements.size());
        for (const auto& it : measurements)
            samples.push_back({ it.size, pick(it.costs).*figure.value });
        const auto line = bench::fitLine(samples);
        const double atDesign = line.at(designSize);
        std::cout << "| " << role << " | " << figure.name << " |";
        for (const auto& it : samples)
            std::cout << ' ' << it.cost << " @ " << it.size << ';';
        std::cout << " | " << line.slope << " per " << unit << " | " << line.intercept << " | " << line.error << " | "
                  << atDesign << " @ " << designSize << " | ";
        if (figure.budget > 0)
            std::cout << figure.budget << " | " << (atDesign <= figure.budget ? "kept" : "MISSED") << " |\n";
        else
            std::cout << " |  |\n";
    }
}

void printAll(const std::string& unit, double designSize, const std::vector<Measurement>& measurements)
{
    printFits("entry VM (mean of all)", unit, designSize, measurements, [](const auto& it) { return it.mean; });
    printFits("placement leader or log leader (largest)", unit, designSize, measurements,
        [](const auto& it) { return it.largest; });
}

std::vector<Measurement> measure(const std::vector<std::size_t>& sizes, double seconds,
    const std::function<std::unique_ptr<bench::Deployment>(std::size_t)>& start)
{
    std::vector<Measurement> measurements;
    for (const auto size : sizes) {
        const auto deployment = start(size);
        measurements.push_back({ static_cast<double>(size), deployment->measure(seconds) });
        std::cerr << "measured " << size << '\n';
    }
    return measurements;
}

} // namespace

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::vector<std::size_t> members;
    std::vector<std::size_t> servers;
    double seconds = 10;
    options::options_description description("bench-capacity");
    description.add_options()("help", "print this text")("members",
        options::value(&members)->multitoken()->default_value({ 5, 10, 20, 40 }, "5 10 20 40"),
        "numbers of members without backend servers")("servers",
        options::value(&servers)->multitoken()->default_value({ 8, 16, 32, 64 }, "8 16 32 64"),
        "numbers of backend servers with three members")(
        "seconds", options::value(&seconds)->default_value(seconds), "length of each measurement in seconds");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    std::cout << std::fixed << std::setprecision(3)
              << "| role | figure | measured | slope | intercept | fit error (rms) | at the design size | budget | "
                 "verdict |\n"
                 "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    printAll("member", designMembers,
        measure(members, seconds, [](std::size_t n) { return std::make_unique<bench::Deployment>(n, 0); }));
    printAll("server of the data centre, 3 members", designServers,
        measure(servers, seconds, [](std::size_t n) { return std::make_unique<bench::Deployment>(3, n); }));
    return 0;
}
