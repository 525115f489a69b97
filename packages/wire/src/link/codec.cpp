#include <rosemarymill/wire/link/codec.hpp>

#include <rosemarymill/wire/generated/link_generated.hpp>

namespace rosemarymill::wire::link {

void encode(const Hello& hello, Buffer& buf)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(generated::link::CreateHelloDirect(
        builder, hello.vm.text().c_str(), hello.dataCentre.text().c_str(), hello.bootId.text().c_str(), hello.version));
    appendTable(builder, buf);
}

Result<Hello> decode(std::span<const std::byte> payload)
{
    const auto* table = verifiedTable<generated::link::Hello>(payload);
    if (!table)
        return DecodeError::Malformed;
    Hello hello { VmId { textOf(table->vm()) }, DataCentreId { textOf(table->data_centre()) },
        BootId { textOf(table->boot_id()) }, table->version() };
    if (hello.vm.empty() || hello.dataCentre.empty() || hello.bootId.empty())
        return DecodeError::Malformed;
    return hello;
}

} // namespace rosemarymill::wire::link
