#include <catch2/catch.hpp>

#include "desk.hpp"

using namespace rosemarymill;
using test::Desk;

namespace {

node::AvailabilityCommand command(const Desk& desk, node::ServiceUnit unit, const std::string& name, bool takeOut)
{
    return { desk.now(), RequestId { takeOut ? 11U : 12U }, unit, name, takeOut, takeOut ? "out" : "back" };
}

} // namespace

// I4: an accepted take-out that no part acts on lets work go on to the data centre or VM.
TEST_CASE("A data centre or VM out of service gets no dispatch until it is brought back", "[node][lifecycle]")
{
    const auto [unit, name]
        = GENERATE(std::pair { node::ServiceUnit::Vm, "vm-1" }, std::pair { node::ServiceUnit::DataCentre, "mixco" });
    Desk desk;
    desk.apply(command(desk, unit, name, true));
    desk.order(1);
    desk.wait(5s);
    CHECK(desk.take<node::Dispatch>().empty());
    desk.apply(command(desk, unit, name, false));
    desk.wait(1s);
    CHECK(desk.take<node::Dispatch>().size() == 1);
}
