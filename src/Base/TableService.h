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
    std::uint64_t version = 0; ///< Increases with every write of the row; 0: it does not exist.
};

/// \brief A transaction. All of its writes take effect if every expected version matches, otherwise
/// none does.
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
        std::optional<std::string> value; ///< std::nullopt removes the row.
    };

    std::vector<Expect> expects;
    std::vector<Write> writes;
};

/// \brief The table service's answer to a transaction, whether or not it was committed.
struct TableCommit
{
    bool committed = false;
    std::vector<TableRow> current = {}; ///< Current rows of the keys in `expects`.
};

/// \brief The platform's transactional table service.
///
/// Every call is asynchronous and invokes its callback exactly once, on the event loop's thread.
/// After an error with Verdict::MayHaveRun a commit may or may not have taken effect; only reading
/// the rows shows which.
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
