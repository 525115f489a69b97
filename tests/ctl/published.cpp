#include <rosemarymill/ctl/arguments.hpp>

#include "support/file.hpp"

#include <catch2/catch.hpp>

TEST_CASE("docs/settings.md holds the usage text of rosemarymillctl; scripts/generate updates it", "[ctl]")
{
    const std::vector<const char*> words { "rosemarymillctl", "--help" };
    const auto usage = rosemarymill::ctl::parseArguments(2, words.data()).usage;
    CHECK(
        rosemarymill::test::readSourceFile("docs/settings.md").find("```text\n" + usage + "```") != std::string::npos);
}
