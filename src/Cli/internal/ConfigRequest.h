#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace catkinloft::internal {

/// \brief The configuration in force, as a router gave it.
struct CurrentConfig
{
    int exitCode = 0; ///< Other than 0: it could not be read, and that has been said.
    std::string text = {};
    std::string revision = {};
};

CurrentConfig fetchConfig();

/// \brief Puts a configuration and prints the answer. Where it is not known whether the change was
/// accepted, sends it again under the same change id, which never makes a second revision.
/// \param query appended to the path, as `?rollback=3`.
/// \returns the exit code.
int putConfig(std::string_view query, const std::string &text, const std::string &base);

} // namespace catkinloft::internal
