#include <platform/decode.hpp>
#include <platform/document.hpp>

#include <rosemarymill/core/routes/table.hpp>
#include <rosemarymill/wire/compress/compress.hpp>

#include <boost/program_options.hpp>

#include <ctime>
#include <functional>
#include <iomanip>
#include <iostream>
#include <random>
#include <string>

/// Measures the processor time that a control VM needs for one version of the document: decoding, compression and the
/// routing table.
namespace {

using namespace rosemarymill;
using platform::Json;

/// Random name of lower-case letters and digits, like those that operators' tools generate.
std::string randomName(std::mt19937_64& random, std::size_t length)
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz0123456789";
    std::uniform_int_distribution<std::size_t> pick { 0, letters.size() - 1 };
    std::string name;
    while (name.size() < length)
        name.push_back(letters[pick(random)]);
    return name;
}

/// Document with streaming routes of two services, and two keys for each of 24 client accounts.
Json generateDocument(std::size_t routes)
{
    constexpr std::size_t accounts = 24;
    std::mt19937_64 random { 1 };
    const auto primaryService = randomName(random, 7);
    const auto secondaryService = randomName(random, 7);
    Json document { { "version", 7 }, { "routes", Json::array() }, { "services", Json::array() },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } },
        { "tenants", Json::array() } };
    for (std::size_t i = 0; i < routes; ++i) {
        document["routes"].push_back({ { "name", "r-" + randomName(random, 7) },
            { "host", randomName(random, 6) + ".example" }, { "path_prefix", "/" + randomName(random, 7) + "/" },
            { "route_kind", "streaming" }, { "timeout_ms", 8000 }, { "latency_goal_ms", 400 }, { "priority", 1 },
            { "split",
                { { { "service", primaryService }, { "weight", 90 } },
                    { { "service", secondaryService }, { "weight", 10 } } } },
            { "max_attempts", 2 }, { "public", false }, { "sticky", true }, { "resumable", true },
            { "itl_target_ms", 250 } });
    }
    for (const auto& it : { primaryService, secondaryService })
        document["services"].push_back({ { "name", it }, { "health_path", "/healthz" }, { "max_conns", 374 } });
    for (std::size_t i = 0; i < accounts; ++i)
        document["tenants"].push_back({ { "name", randomName(random, 7) },
            { "api_keys", { randomName(random, 20), randomName(random, 20) } }, { "priority", 1 } });
    return document;
}

/// Mean processor time of a call in milliseconds.
double meanMs(const std::function<void()>& call)
{
    constexpr int calls = 50;
    const auto before = std::clock();
    for (int i = 0; i < calls; ++i)
        call();
    return static_cast<double>(std::clock() - before) * 1000.0 / CLOCKS_PER_SEC / calls;
}

} // namespace

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::size_t routes = 0;
    options::options_description description("Options");
    description.add_options()("help", "show the options")(
        "routes", options::value(&routes)->default_value(1400), "routes of the document");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help")) {
        std::cout << description;
        return 0;
    }
    const auto text = generateDocument(routes).dump();
    const auto document = platform::decodeDocument(text).document;
    std::cout << std::fixed << std::setprecision(2) << "document: " << document.routes.size() << " routes, "
              << text.size() << " bytes\n";
    std::cout << "parse JSON: " << meanMs([&] { (void)platform::parseObject(text); }) << " ms\n";
    std::cout << "decode and validate: " << meanMs([&] { (void)platform::decodeDocument(text); }) << " ms\n";
    platform::DocumentDecoder decoder;
    (void)decoder.decode(text);
    std::cout << "decode and validate the next version: " << meanMs([&] { (void)decoder.decode(text); }) << " ms\n";
    std::cout << "validate: " << meanMs([&] { (void)routes::validate(document); }) << " ms\n";
    std::cout << "routing table: " << meanMs([&] { const routes::Table table(routes::Document { document }); })
              << " ms\n";
    const auto compressed = wire::compress(text).value();
    std::cout << "compressed: " << compressed.size() << " bytes\n"
              << "compress: " << meanMs([&] { (void)wire::compress(text); }) << " ms\n"
              << "decompress: " << meanMs([&] { (void)wire::decompress(compressed, text.size()); }) << " ms\n";
    return 0;
}
