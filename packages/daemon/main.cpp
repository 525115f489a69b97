#include <rosemarymill/daemon/run.hpp>
#include <rosemarymill/daemon/settings.hpp>

#include <platform/run.hpp>

#include <exception>
#include <iostream>
#include <string_view>

int main(int argc, char** argv)
{
    if (argc == 2 && std::string_view { argv[1] } == "platform")
        return rosemarymill::platform::run();
    const auto parsed = rosemarymill::daemon::parseSettings(argc, argv);
    if (parsed.settings.help) {
        std::cout << parsed.usage;
        return 0;
    }
    for (const auto& error : parsed.errors)
        std::cerr << error << '\n';
    if (!parsed.errors.empty())
        return 2;
    if (parsed.settings.checkOnly)
        return 0;
    try {
        return rosemarymill::daemon::run(parsed.settings);
    } catch (const std::exception& error) {
        std::cerr << "rosemarymilld: " << error.what() << '\n';
        return 1;
    }
}
