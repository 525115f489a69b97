#pragma once

#include <rosemarymill/core/configuration/replica.hpp>
#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/runtime/base/handles.hpp>
#include <rosemarymill/runtime/loop/post_event.hpp>
#include <rosemarymill/runtime/storage/data_folder.hpp>
#include <rosemarymill/runtime/storage/log_file.hpp>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <vector>

namespace rosemarymill::runtime::storage {

/// Carries out PersistConfiguration. Records of one turn of the loop are synced together. On a full disk they stay
/// queued and are tried again every second.
class Storage {
public:
    /// Opens the data folder and reads its log. Errors are those of DataFolder and LogFile, and DecodeError.
    [[nodiscard]] static Result<std::unique_ptr<Storage>> open(
        event_base* base, const std::filesystem::path& folder, PostEvent post);

    /// State read at the opening. It is handed over once.
    [[nodiscard]] configuration::LogImage takeImage() noexcept { return std::move(m_image); }

    void carryOut(const node::PersistConfiguration& effect);

private:
    Storage(event_base* base, DataFolder folder, LogFile log, configuration::LogImage image, PostEvent post);

    static void onFlush(evutil_socket_t, short, void* self);
    void flush();

    DataFolder m_folder;
    LogFile m_log;
    configuration::LogImage m_image;
    PostEvent m_post;
    EventHandle m_flush;
    std::vector<wire::agreement::RawRecord> m_queue;
    std::uint64_t m_lastSequence { 0 };
    bool m_writable { true };
};

} // namespace rosemarymill::runtime::storage
