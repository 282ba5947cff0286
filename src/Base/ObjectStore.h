#pragma once

#include "Base/Error.h"

#include <functional>
#include <optional>
#include <string>

namespace catkinloft {

/// \brief The platform's object store. It stores values by name, without transactions.
///
/// \sa TableService for when callbacks are invoked.
class ObjectStore
{
public:
    template<typename T>
    using Callback = std::function<void(Result<T>)>;

    virtual ~ObjectStore() = default;

    virtual void put(std::string name, std::string body, Callback<void> done) = 0;

    /// \param done gets std::nullopt if the object does not exist.
    virtual void get(std::string name, Callback<std::optional<std::string>> done) = 0;
};

} // namespace catkinloft
