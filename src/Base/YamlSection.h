#pragma once

#include "Base/Clock.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief An error in a YAML file.
struct YamlProblem
{
    std::string file;
    int line = 0; ///< Counted from 1; 0 if the error concerns the whole file.
    std::string key; ///< Path from the root, separated by dots.
    std::string message; ///< The expected value with its unit, and the value found.

    /// \returns `file:line: key: message`.
    std::string text() const;
};

using YamlProblems = std::vector<YamlProblem>;

/// \brief Reads a YAML mapping key by key and collects all errors instead of stopping at the first
/// one. finish() reports unknown keys, which are those that were not read.
class YamlSection
{
public:
    /// \param node the mapping; an undefined node is treated as an empty mapping.
    /// \param path path of \a node from the root, separated by dots, for messages.
    /// \param line line to report if \a node is missing.
    YamlSection(YAML::Node node, std::string file, std::string path, YamlProblems &problems,
                int line = 1);

    bool has(std::string_view key) const;

    std::string text(std::string_view key, std::optional<std::string> fallback = std::nullopt);
    std::int64_t integer(std::string_view key, std::int64_t min, std::int64_t max,
                         std::string_view unit,
                         std::optional<std::int64_t> fallback = std::nullopt);
    double number(std::string_view key, double min, double max, std::string_view unit,
                  std::optional<double> fallback = std::nullopt);
    bool flag(std::string_view key, std::optional<bool> fallback = std::nullopt);

    /// \brief Reads a duration such as `250ms`, `4s`, `2m` or `1h`.
    Duration duration(std::string_view key, Duration min, Duration max,
                      std::optional<Duration> fallback = std::nullopt);

    /// \brief Reads `ip:port`. The platform routes no other form of address.
    std::string address(std::string_view key, std::optional<std::string> fallback = std::nullopt);

    std::vector<std::string> textList(std::string_view key);

    /// \returns the mapping under \a key; empty if it is missing.
    YamlSection section(std::string_view key);

    /// \returns the mappings of the list under \a key; empty if it is missing.
    std::vector<YamlSection> sections(std::string_view key);

    /// \brief Adds a problem at \a key, or at this mapping if \a key is empty.
    void problem(std::string_view key, std::string message);

    /// \brief Adds a problem for each key that was not read.
    void finish();

    const std::string &path() const { return m_path; }

private:
    /// \returns the scalar under \a key. If it is missing, which is a problem where it is
    /// \a required, or no scalar, returns nothing.
    std::optional<YAML::Node> scalar(std::string_view key, bool required,
                                     std::string_view expected);
    std::string pathOf(std::string_view key) const;

    YAML::Node m_node;
    std::string m_file;
    std::string m_path;
    YamlProblems *m_problems;
    int m_line;
    std::set<std::string, std::less<>> m_read;
};

/// \brief Parses \a text as a YAML document whose root is a mapping.
/// \returns the root. If \a text is none, adds a problem and returns nothing.
std::optional<YAML::Node> parseYaml(const std::string &text, const std::string &file,
                                    YamlProblems &problems);

/// \returns the duration in \a text, such as `250ms` or `4s`; nothing if it is not one.
std::optional<Duration> parseDuration(std::string_view text);

/// \returns \a d as text such as `250ms` or `4s`, in the largest unit that gives an integer.
std::string formatDuration(Duration d);

/// \brief An IP address and a port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;
};

/// \returns the endpoint in \a text, which is `ip:port` or `[ipv6]:port`; nothing if it is neither.
std::optional<Endpoint> parseEndpoint(std::string_view text);

} // namespace catkinloft
