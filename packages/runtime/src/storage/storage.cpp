#include <rosemarymill/runtime/storage/storage.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>

#include <boost/outcome/try.hpp>

namespace rosemarymill::runtime::storage {

namespace {

constexpr timeval flushDelay { 0, 0 };
constexpr timeval retryDelay { 1, 0 };

} // namespace

template <typename Log>
Result<std::unique_ptr<Storage<Log>>> Storage<Log>::open(
    event_base* base, const std::filesystem::path& folder, Post post, Log description)
{
    BOOST_OUTCOME_TRY(log, LogFile::open(folder, description.name()));
    if (log.truncatedBytes() > 0)
        writeLog(node::LogLevel::Warning, "storage",
            "Removed " + std::to_string(log.truncatedBytes()) + " bytes of an incomplete write.");
    BOOST_OUTCOME_TRY(persistedState, wire::agreement::fromRaw<typename Log::Codec>(log.takePersistedState()));
    return std::unique_ptr<Storage>(
        new Storage(base, std::move(log), std::move(persistedState), std::move(post), std::move(description)));
}

template <typename Log>
Storage<Log>::Storage(
    event_base* base, LogFile log, typename Log::PersistedState persistedState, Post post, Log description)
    : m_log(std::move(log))
    , m_persistedState(std::move(persistedState))
    , m_post(std::move(post))
    , m_description(std::move(description))
    , m_flush(event_new(base, -1, 0, onFlush, this))
{
}

template <typename Log> void Storage<Log>::executeEffect(const typename Log::Effect& effect)
{
    m_queue.push_back(wire::agreement::toRaw<typename Log::Codec>(effect.record));
    m_lastSequence = effect.sequence;
    if (m_writable)
        event_add(m_flush.get(), &flushDelay);
}

template <typename Log> void Storage<Log>::onFlush(evutil_socket_t, short, void* self)
{
    static_cast<Storage*>(self)->flush();
}

template <typename Log> void Storage<Log>::flush()
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
            writeLog(node::LogLevel::Error, "storage", "Failed to write the log: " + written.error().message() + ".");
        m_post(m_description.writableChanged(readClock(), m_writable));
    }
    if (m_writable)
        m_post(m_description.recordsPersisted(readClock(), m_lastSequence));
}

template class Storage<ConfigurationLog>;
template class Storage<LedgerLog>;
template class Storage<ControlLog>;

} // namespace rosemarymill::runtime::storage
