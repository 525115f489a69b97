#include <rosemarymill/wire/ledger/codec.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using namespace rosemarymill::ledger;
namespace codec = rosemarymill::wire::ledger;

namespace {

const Key key { AccountId { "brand-1" }, "order-1" };
const Token token { VmId { "entry-1" }, BootId { "boot-1" }, 7 };
const DataCentreId home { "mixco" };
const Answer answer { 201, "text/plain", std::string("a\0b", 3) };

} // namespace

TEST_CASE("Ledger messages are unchanged after encoding and decoding, and truncated payloads are rejected or equal",
    "[ledger]")
{
    const std::vector<Message> messages { Request { home, Reserve { key, { 1, 2 }, token } },
        Request { home, Complete { key, token, answer } }, Request { home, Abort { key, token } },
        Request { home, Lose { key, token } }, Request { home, Advance { 60 } },
        Reply { home, token, { Decision::Answered, answer } },
        Reply { home, token, { Decision::NotHeld, std::nullopt } }, NotLeader { home, token, VmId { "entry-2" } },
        Check { home, key, token } };
    for (const auto& it : messages) {
        wire::Buffer buf;
        codec::encode(it, buf);
        REQUIRE(codec::decode(buf).has_value());
        CHECK(codec::decode(buf).value() == it);
        for (std::size_t n = 0; n < buf.size(); ++n) {
            const auto truncated = codec::decode(std::span(buf).first(n));
            CHECK((!truncated.has_value() || truncated.value() == it));
        }
    }
}

TEST_CASE("A ledger snapshot restores every record", "[ledger]")
{
    Machine machine;
    (void)machine.apply(1, Reserve { key, { 1, 2 }, token });
    (void)machine.apply(2, Complete { key, token, answer });
    (void)machine.apply(3, Advance { 60 });
    (void)machine.apply(4, Reserve { { AccountId { "brand-2" }, "order-2" }, { 3, 4 }, token });
    wire::Buffer buf;
    codec::Codec::encodeSnapshot(machine.snapshot(), buf);
    REQUIRE(codec::Codec::decodeSnapshot(buf).has_value());
    CHECK(codec::Codec::decodeSnapshot(buf).value() == machine.snapshot());
    buf[buf.size() / 2] ^= std::byte { 0xff };
    const auto damaged = codec::Codec::decodeSnapshot(buf);
    CHECK((!damaged.has_value() || damaged.value() != machine.snapshot()));
}
