#include <rosemarymill/daemon/settings.hpp>

#include "support/file.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <sstream>

using namespace rosemarymill;

TEST_CASE("docs/settings.md holds the daemon's usage text; scripts/generate updates it", "[settings]")
{
    const std::vector<const char*> words { "rosemarymilld", "--help" };
    const auto usage = daemon::parseSettings(2, words.data()).usage;
    CHECK(test::readSourceFile("docs/settings.md").find("```text\n" + usage + "```") != std::string::npos);
}

TEST_CASE("The sample settings of the systemd unit are valid", "[settings]")
{
    std::istringstream lines(test::readSourceFile("deploy/rosemarymilld.env"));
    std::vector<std::string> names;
    for (std::string line; std::getline(lines, line);) {
        if (line.empty() || line.starts_with('#'))
            continue;
        names.push_back(line.substr(0, line.find('=')));
        setenv(names.back().c_str(), line.substr(line.find('=') + 1).c_str(), 1);
    }
    // systemd creates the unit's data folder, so the test uses another existing one.
    const std::vector<const char*> words { "rosemarymilld", "--check-settings", "--data-folder", "/tmp" };
    const auto parsed = daemon::parseSettings(static_cast<int>(words.size()), words.data());
    for (const auto& name : names)
        unsetenv(name.c_str());
    CHECK(parsed.errors.empty());
    CHECK(parsed.settings.peers.size() == 5);
    CHECK(test::readSourceFile("deploy/rosemarymilld.service").find("rosemarymilld --check-settings\n")
        != std::string::npos);
}
