#pragma once

#include "Base/TableService.h"
#include "Control/PeerMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief Content of the head row and of a history row: one accepted revision.
struct ConfigRecord
{
    ConfigDigest digest;
    std::string object = {}; ///< Name of the body in the object store.
    std::string changeId = {};
    std::string author = {};
    std::uint64_t acceptedAt = 0; ///< Wall clock in milliseconds.
};

/// \brief Keys and formats of the configuration rows in the table service.
namespace config_rows {

inline constexpr const char *Head = "config/head";
inline constexpr const char *HistoryPrefix = "config/history/";

/// \returns the key of the history row of \a revision; newer revisions sort first.
std::string historyKey(std::uint64_t revision);

/// \returns the key of the row that stores the result of \a changeId.
std::string changeKey(std::string_view changeId);

std::string encode(const ConfigRecord &record);
std::optional<ConfigRecord> decode(const std::string &text);

/// \returns the row with \a key in \a rows; nullptr if it does not exist.
const TableRow *find(const std::vector<TableRow> &rows, std::string_view key);

} // namespace config_rows

} // namespace catkinloft
