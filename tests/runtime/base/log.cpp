#include <rosemarymill/runtime/base/log.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

using namespace rosemarymill;

// Guards against quotes, line breaks or invalid UTF-8 in a text that break the one-object-per-line format of
// collectors.
TEST_CASE("Log lines contain level, part and text in both formats", "[log]")
{
    std::ostringstream text;
    runtime::setUpLog(text, node::LogLevel::Info, runtime::LogFormat::Text);
    runtime::writeLog(node::LogLevel::Debug, "link", "Not shown.");
    runtime::writeLog(node::LogLevel::Warning, "link", "Link to entry-2 closed.");
    CHECK(text.str().ends_with(" warning link: Link to entry-2 closed.\n"));
    CHECK(text.str().find("Not shown") == std::string::npos);

    std::ostringstream lines;
    runtime::setUpLog(lines, node::LogLevel::Debug, runtime::LogFormat::Json);
    runtime::writeLog(node::LogLevel::Error, "node", "a \"quoted\"\ntext \xff");
    runtime::setUpLog(node::LogLevel::Error);
    const auto written = lines.str();
    const auto line = nlohmann::json::parse(written);
    CHECK(line.at("level") == "error");
    CHECK(line.at("part") == "node");
    CHECK(line.at("text").get<std::string>().starts_with("a \"quoted\"\ntext "));
    CHECK(std::count(written.begin(), written.end(), '\n') == 1);
}
