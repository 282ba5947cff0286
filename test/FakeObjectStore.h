#pragma once

#include "Base/ObjectStore.h"

#include <map>

namespace catkinloft {

/// \brief In-memory object store that answers immediately.
class FakeObjectStore final : public ObjectStore
{
public:
    void put(std::string name, std::string body, Callback<void> done) override
    {
        objects[name] = std::move(body);
        done(outcome::success());
    }

    void get(std::string name, Callback<std::optional<std::string>> done) override
    {
        const auto it = objects.find(name);
        done(it == objects.end() ? std::optional<std::string>() : std::optional(it->second));
    }

    std::map<std::string, std::string> objects;
};

} // namespace catkinloft
