#include <rosemarymill/runtime/storage/storage.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/wire/configuration/codec.hpp>

#include <boost/outcome/try.hpp>

namespace rosemarymill::runtime::storage {

namespace {

using Codec = wire::configuration::Codec;

constexpr timeval flushNow { 0, 0 };
constexpr timeval retryDelay { 1, 0 };

} // namespace

Result<std::unique_ptr<Storage>> Storage::open(event_base* base, const std::filesystem::path& folder, PostEvent post)
{
    BOOST_OUTCOME_TRY(dataFolder, DataFolder::open(folder));
    BOOST_OUTCOME_TRY(log, LogFile::open(folder, configuration::logName));
    if (log.truncatedBytes() > 0)
        writeLog(node::LogLevel::Warning, "storage",
            "Removed " + std::to_string(log.truncatedBytes()) + " bytes of an unfinished write.");
    BOOST_OUTCOME_TRY(image, wire::agreement::fromRaw<Codec>(log.takeImage()));
    return std::unique_ptr<Storage>(
        new Storage(base, std::move(dataFolder), std::move(log), std::move(image), std::move(post)));
}

Storage::Storage(event_base* base, DataFolder folder, LogFile log, configuration::LogImage image, PostEvent post)
    : m_folder(std::move(folder))
    , m_log(std::move(log))
    , m_image(std::move(image))
    , m_post(std::move(post))
    , m_flush(event_new(base, -1, 0, onFlush, this))
{
}

void Storage::carryOut(const node::PersistConfiguration& effect)
{
    m_queue.push_back(wire::agreement::toRaw<Codec>(effect.record));
    m_lastSequence = effect.sequence;
    if (m_writable)
        event_add(m_flush.get(), &flushNow);
}

void Storage::onFlush(evutil_socket_t, short, void* self) { static_cast<Storage*>(self)->flush(); }

void Storage::flush()
{
    const auto written = m_log.append(m_queue);
    const bool changed = m_writable != written.has_value();
    m_writable = written.has_value();
    if (m_writable)
        m_queue.clear();
    else
        event_add(m_flush.get(), &retryDelay);
    if (changed) {
        if (!m_writable)
            writeLog(node::LogLevel::Error, "storage", "The log cannot be written: " + written.error().message() + ".");
        m_post(node::ConfigurationStorageChanged { readClock(), m_writable });
    }
    if (m_writable)
        m_post(node::ConfigurationPersisted { readClock(), m_lastSequence });
}

} // namespace rosemarymill::runtime::storage
