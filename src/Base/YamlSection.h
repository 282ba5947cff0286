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

/// \brief One mistake in a YAML file.
struct YamlProblem
{
    std::string file;
    int line = 0; ///< Counted from 1; 0 where the file as a whole is meant.
    std::string key; ///< Dotted path from the root.
    std::string message; ///< What was expected, with its unit, and what was found.

    /// \returns `file:line: key: message`.
    std::string text() const;
};

using YamlProblems = std::vector<YamlProblem>;

/// \brief Reads one YAML mapping key by key and collects every mistake instead of stopping at the
/// first one. finish() reports the keys that nobody asked for.
class YamlSection
{
public:
    /// \param node the mapping; an undefined node reads as an empty one.
    /// \param path dotted path of \a node from the root, for messages.
    /// \param line where a missing mapping would stand, for messages.
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

    /// \brief Reads `ip:port`, the only form of address that the platform routes.
    std::string address(std::string_view key, std::optional<std::string> fallback = std::nullopt);

    std::vector<std::string> textList(std::string_view key);

    /// \returns the mapping under \a key; empty where it is missing.
    YamlSection section(std::string_view key);

    /// \returns the mappings of the list under \a key; empty where it is missing.
    std::vector<YamlSection> sections(std::string_view key);

    /// \brief Adds a problem at \a key, or at this mapping for an empty key.
    void problem(std::string_view key, std::string message);

    /// \brief Reports keys that were never read.
    void finish();

    const std::string &path() const { return m_path; }

private:
    /// \returns the node under \a key, or nothing after reporting a missing or wrong-typed one.
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

/// \brief Parses \a text as one YAML document whose root is a mapping.
/// \returns the root, or nothing after adding a problem.
std::optional<YAML::Node> parseYaml(const std::string &text, const std::string &file,
                                    YamlProblems &problems);

/// \returns the duration that \a text names, as `250ms` or `4s`; nothing where it is not one.
std::optional<Duration> parseDuration(std::string_view text);

/// \returns \a d as `250ms` or `4s`, in the largest unit that keeps it whole.
std::string formatDuration(Duration d);

/// \brief An IP address and a port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;
};

/// \returns the parts of `ip:port` or `[ipv6]:port`; nothing where \a text is neither.
std::optional<Endpoint> parseEndpoint(std::string_view text);

} // namespace catkinloft
