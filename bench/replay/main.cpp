// Replays a recorded event trace on the core and compares the effects with those that the trace expects.
//
//   bench-replay FILE [--print]
//
// Exit codes: 0 when all expected effects occurred, 1 on a mismatch, 2 when the trace cannot be read.

#include <rosemarymill/core/node/reduce.hpp>
#include <rosemarymill/wire/trace/trace.hpp>

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <memory>
#include <string>

namespace {

using namespace rosemarymill;

/// Core state to which a trace is replayed, with the effects of its last event.
class Replay {
public:
    explicit Replay(bool print)
        : m_print(print)
    {
    }

    void replayLine(const wire::trace::Line& line, std::size_t number)
    {
        std::visit(Overloaded { [&](const node::Settings& it) { m_state = std::make_unique<node::State>(it); },
                       [&](const node::Event& it) { reduce(it); },
                       [&](const wire::trace::Expectation& it) { compare(it, number); } },
            line);
    }

    [[nodiscard]] std::size_t events() const noexcept { return m_events; }
    [[nodiscard]] std::size_t expectations() const noexcept { return m_expectations; }
    [[nodiscard]] std::size_t mismatches() const noexcept { return m_mismatches; }

private:
    void reduce(const node::Event& event)
    {
        if (!m_state)
            throw std::invalid_argument("an event precedes the settings");
        ++m_events;
        m_effects.clear();
        node::reduce(*m_state, event, m_effects);
        if (!m_print)
            return;
        for (const auto& effect : m_effects)
            std::cout << wire::trace::effectJson(effect).dump() << '\n';
    }

    void compare(const wire::trace::Expectation& expected, std::size_t number)
    {
        ++m_expectations;
        for (const auto& it : differences(expected, m_effects)) {
            ++m_mismatches;
            std::cerr << "line " << number << ": " << it << '\n';
        }
    }

    bool m_print;
    std::unique_ptr<node::State> m_state;
    node::Effects m_effects;
    std::size_t m_events { 0 };
    std::size_t m_expectations { 0 };
    std::size_t m_mismatches { 0 };
};

int run(const std::string& path, bool print)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        std::cerr << path << " cannot be read\n";
        return 2;
    }
    Replay replay(print);
    std::size_t number = 0;
    for (std::string text; std::getline(file, text);) {
        ++number;
        std::vector<wire::JsonFault> faults;
        const auto line = wire::trace::parseLine(text, faults);
        if (!line) {
            std::cerr << "line " << number << ": " << wire::describe(faults) << '\n';
            return 2;
        }
        replay.replayLine(*line, number);
    }
    std::cout << replay.events() << " events, " << replay.expectations() << " statements, " << replay.mismatches()
              << " mismatches\n";
    return replay.mismatches() == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::string path;
    bool print = false;
    options::options_description description("bench-replay FILE");
    auto add = description.add_options();
    add("file", options::value(&path)->required(), "recorded trace");
    add("print", options::bool_switch(&print), "print all effects");
    options::positional_options_description positionalOptions;
    positionalOptions.add("file", 1);
    try {
        options::variables_map values;
        options::store(
            options::command_line_parser(argc, argv).options(description).positional(positionalOptions).run(), values);
        options::notify(values);
        return run(path, print);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n' << description;
        return 2;
    }
}
