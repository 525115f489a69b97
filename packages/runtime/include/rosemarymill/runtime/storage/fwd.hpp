#pragma once

/// Forward declarations of the storage types.
namespace rosemarymill::runtime::storage {

class DataFolder;
class LogFile;
struct ConfigurationLog;
struct LedgerLog;

template <typename Log> class Storage;

} // namespace rosemarymill::runtime::storage
