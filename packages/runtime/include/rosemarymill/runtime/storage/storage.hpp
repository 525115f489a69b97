#pragma once

#include <rosemarymill/core/configuration/replica.hpp>
#include <rosemarymill/core/fleet/machine.hpp>
#include <rosemarymill/core/ledger/replica.hpp>
#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/core/node/event.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>
#include <rosemarymill/runtime/loop/post_event.hpp>
#include <rosemarymill/runtime/storage/log_file.hpp>
#include <rosemarymill/wire/configuration/codec.hpp>
#include <rosemarymill/wire/fleet/codec.hpp>
#include <rosemarymill/wire/ledger/codec.hpp>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemarymill::runtime::storage {

/// Codec, file name and events of the configuration log.
struct ConfigurationLog {
    using Codec = wire::configuration::Codec;
    using PersistedState = configuration::PersistedLog;
    using Effect = node::PersistConfiguration;
    using Event = node::Event;

    [[nodiscard]] static std::string name() { return configuration::logName; }
    [[nodiscard]] static node::Event recordsPersisted(Instant now, std::uint64_t sequence)
    {
        return node::ConfigurationPersisted { now, sequence };
    }
    [[nodiscard]] static node::Event writableChanged(Instant now, bool writable)
    {
        return node::ConfigurationStorageChanged { now, writable };
    }
};

/// Codec, file name and events of the log of one ledger home.
struct LedgerLog {
    using Codec = wire::ledger::Codec;
    using PersistedState = ledger::PersistedLog;
    using Effect = node::PersistLedger;
    using Event = node::Event;

    DataCentreId home;

    [[nodiscard]] std::string name() const { return ledger::logName(home); }
    [[nodiscard]] node::Event recordsPersisted(Instant now, std::uint64_t sequence) const
    {
        return node::LedgerPersisted { now, home, sequence };
    }
    [[nodiscard]] node::Event writableChanged(Instant now, bool writable) const
    {
        return node::LedgerStorageChanged { now, home, writable };
    }
};

/// Codec, file name and events of the control log.
struct ControlLog {
    using Codec = wire::fleet::Codec;
    using PersistedState = fleet::PersistedLog;
    using Effect = agreement::Persist<fleet::Command, fleet::Snapshot>;
    using Event = fleet::Replica::Event;

    [[nodiscard]] static std::string name() { return fleet::logName; }
    [[nodiscard]] static Event recordsPersisted(Instant now, std::uint64_t sequence)
    {
        return agreement::Persisted { now, sequence };
    }
    [[nodiscard]] static Event writableChanged(Instant now, bool writable)
    {
        return agreement::StorageChanged { now, writable };
    }
};

/// Executes the persist effects of one log. Records queued in one iteration of the event loop are synced together. When
/// a write fails, e.g. on a full disk, they stay queued and the write is retried every second.
template <typename Log> class Storage {
public:
    using Post = std::function<void(typename Log::Event&&)>;

    /// Reads the log in a data folder that this process has locked. Errors are those of LogFile, and DecodeError.
    [[nodiscard]] static Result<std::unique_ptr<Storage>> open(
        event_base* base, const std::filesystem::path& folder, Post post, Log description = {});

    /// Moves out the state that open() read. Call it once.
    [[nodiscard]] typename Log::PersistedState takePersistedState() noexcept { return std::move(m_persistedState); }

    void executeEffect(const typename Log::Effect& effect);

private:
    Storage(event_base* base, LogFile log, typename Log::PersistedState persistedState, Post post, Log description);

    static void onFlush(evutil_socket_t, short, void* self);
    void flush();

    LogFile m_log;
    typename Log::PersistedState m_persistedState;
    Post m_post;
    Log m_description;
    EventHandle m_flush;
    std::vector<wire::agreement::RawRecord> m_queue;
    std::uint64_t m_lastSequence { 0 };
    bool m_writable { true };
};

extern template class Storage<ConfigurationLog>;
extern template class Storage<LedgerLog>;
extern template class Storage<ControlLog>;

} // namespace rosemarymill::runtime::storage
