#pragma once

/// Forward declarations of the storage types.
namespace rosemarymill::runtime::storage {

class DataFolder;
class LogFile;
class Storage;

} // namespace rosemarymill::runtime::storage
