#include <rosemarymill/ctl/arguments.hpp>
#include <rosemarymill/ctl/commands.hpp>

#include <csignal>
#include <iostream>

int main(int argc, char** argv)
{
    namespace ctl = rosemarymill::ctl;
    // Writing to a connection that the entry VM has closed must not end the process; it is reported as no answer.
    std::signal(SIGPIPE, SIG_IGN);
    const auto parsed = ctl::parseArguments(argc, argv);
    if (parsed.arguments.help) {
        std::cout << parsed.usage;
        return 0;
    }
    for (const auto& error : parsed.errors)
        std::cerr << error << '\n';
    if (!parsed.errors.empty())
        return static_cast<int>(ctl::ExitCode::Usage);
    return static_cast<int>(ctl::run(parsed.arguments, std::cout, std::cerr));
}
