#include <rosemarymill/daemon/settings.hpp>

#include <iostream>

int main(int argc, char** argv)
{
    const auto parsed = rosemarymill::daemon::parseSettings(argc, argv);
    if (parsed.settings.help) {
        std::cout << parsed.usage;
        return 0;
    }
    for (const auto& error : parsed.errors)
        std::cerr << error << '\n';
    return parsed.errors.empty() ? 0 : 2;
}
