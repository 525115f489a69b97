#include <catch2/catch.hpp>

#include "process_fixture.hpp"

using namespace rosemarymill;
using test::ProcessFixture;

namespace {

node::AvailabilityCommand command(
    const ProcessFixture& fixture, node::ServiceUnit unit, const std::string& name, bool takeOut)
{
    return { fixture.now(), RequestId { takeOut ? 11U : 12U }, unit, name, takeOut, takeOut ? "out" : "back" };
}

} // namespace

// Guards against an accepted take-out without effect, after which the data centre or VM still gets calls (I4).
TEST_CASE("A data centre or VM out of service gets no dispatch until it is brought back", "[node][lifecycle]")
{
    const auto [unit, name]
        = GENERATE(std::pair { node::ServiceUnit::Vm, "vm-1" }, std::pair { node::ServiceUnit::DataCentre, "mixco" });
    ProcessFixture fixture;
    fixture.apply(command(fixture, unit, name, true));
    fixture.order(1);
    fixture.wait(5s);
    CHECK(fixture.effectsOf<node::Dispatch>().empty());
    fixture.apply(command(fixture, unit, name, false));
    fixture.wait(1s);
    CHECK(fixture.effectsOf<node::Dispatch>().size() == 1);
}
