#include <rosemarymill/wire/quarantine/codec.hpp>

#include <rosemarymill/wire/generated/quarantine_generated.hpp>

#include <algorithm>
#include <utility>
#include <vector>

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
    std::vector<flatbuffers::Offset<fbs::Exposure>> parts;
    parts.reserve(report.parts.size());
    for (const auto& it : report.parts) {
        const fbs::Fingerprint part { it.part.high, it.part.low };
        parts.push_back(fbs::CreateExposure(builder, &part, it.request, it.inFlight.count(), it.position));
    }
    builder.Finish(fbs::CreateCrashReportDirect(builder, static_cast<fbs::ReportKind>(report.kind),
        report.crash.server.text().c_str(), report.crash.bootId.text().c_str(), &fingerprints, &parts,
        report.age.count()));
    appendTable(builder, buf);
}

Duration boundedTime(std::int64_t microseconds) noexcept
{
    return std::clamp(
        Duration { microseconds }, Duration::zero(), Duration { rosemarymill::quarantine::recordRetention });
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
    if (const auto* parts = table->parts()) {
        for (const auto* it : *parts) {
            if (it->part())
                report.parts.push_back({ { it->part()->high(), it->part()->low() }, it->request(),
                    boundedTime(it->in_flight_us()), it->position() });
        }
    }
    report.age = boundedTime(table->age_us());
    return Message { std::move(report) };
}

} // namespace rosemarymill::wire::quarantine
