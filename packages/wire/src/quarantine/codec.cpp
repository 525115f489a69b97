#include <rosemarymill/wire/quarantine/codec.hpp>

#include <rosemarymill/wire/generated/quarantine_generated.hpp>

namespace rosemarymill::wire::quarantine {

using rosemarymill::quarantine::CrashReport;
using rosemarymill::quarantine::Message;
using rosemarymill::quarantine::ReportKind;

namespace fbs = generated::quarantine;

void encode(const Message& message, Buffer& buf)
{
    const auto& report = std::get<CrashReport>(message);
    flatbuffers::FlatBufferBuilder builder;
    std::vector<fbs::Fingerprint> fingerprints;
    fingerprints.reserve(report.fingerprints.size());
    for (const auto& it : report.fingerprints)
        fingerprints.emplace_back(it.high, it.low);
    builder.Finish(fbs::CreateCrashReportDirect(builder, static_cast<fbs::ReportKind>(report.kind),
        report.crash.server.text().c_str(), report.crash.bootId.text().c_str(), &fingerprints));
    appendTable(builder, buf);
}

Result<Message> decode(std::span<const std::byte> payload)
{
    const auto* table = verifiedTable<fbs::CrashReport>(payload);
    if (!table || table->kind() > fbs::ReportKind::MAX)
        return DecodeError::Malformed;
    CrashReport report;
    report.kind = static_cast<ReportKind>(table->kind());
    report.crash = { ServerId { textOf(table->server()) }, BootId { textOf(table->boot_id()) } };
    if (report.kind != ReportKind::Cleared && (report.crash.server.empty() || report.crash.bootId.empty()))
        return DecodeError::Malformed;
    if (const auto* fingerprints = table->fingerprints()) {
        for (const auto* it : *fingerprints)
            report.fingerprints.push_back({ it->high(), it->low() });
    }
    return Message { std::move(report) };
}

} // namespace rosemarymill::wire::quarantine
