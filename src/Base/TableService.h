#pragma once

#include "Base/Error.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief A row of the platform's table service.
struct TableRow
{
    std::string key = {};
    std::string value = {};
    std::uint64_t version = 0; ///< Rises with every write of the row; 0: the row does not exist.
};

/// \brief A transaction: all writes take effect if every expected version matches, else none.
struct TableTransaction
{
    struct Expect
    {
        std::string key;
        std::uint64_t version = 0; ///< 0: the row must not exist.
    };
    struct Write
    {
        std::string key;
        std::optional<std::string> value; ///< Nothing: the row is removed.
    };

    std::vector<Expect> expects;
    std::vector<Write> writes;
};

/// \brief The table service's answer to a transaction that it decided on.
struct TableCommit
{
    bool committed = false;
    std::vector<TableRow> current = {}; ///< The rows named in `expects`, as they stand now.
};

/// \brief The platform's transactional table service.
///
/// Every call is asynchronous and calls back exactly once, on the thread of the event loop. An
/// error with Verdict::MayHaveRun means that a commit may have taken effect; only reading back
/// settles it.
class TableService
{
public:
    template<typename T>
    using Callback = std::function<void(Result<T>)>;

    virtual ~TableService() = default;

    virtual void read(std::vector<std::string> keys, Callback<std::vector<TableRow>> done) = 0;
    virtual void scan(std::string prefix, std::size_t limit,
                      Callback<std::vector<TableRow>> done) = 0;
    virtual void commit(TableTransaction transaction, Callback<TableCommit> done) = 0;
};

} // namespace catkinloft
