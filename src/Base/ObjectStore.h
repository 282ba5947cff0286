#pragma once

#include "Base/Error.h"

#include <functional>
#include <optional>
#include <string>

namespace catkinloft {

/// \brief The platform's object store: whole values by name, no transactions.
///
/// \sa TableService for the rules of callbacks.
class ObjectStore
{
public:
    template<typename T>
    using Callback = std::function<void(Result<T>)>;

    virtual ~ObjectStore() = default;

    virtual void put(std::string name, std::string body, Callback<void> done) = 0;

    /// \param done gets nothing where there is no such object.
    virtual void get(std::string name, Callback<std::optional<std::string>> done) = 0;
};

} // namespace catkinloft
