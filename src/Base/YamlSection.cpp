#include "Base/YamlSection.h"

#include <array>
#include <charconv>

#include <arpa/inet.h>
#include <fmt/format.h>

namespace catkinloft {

namespace {

struct DurationUnit
{
    std::string_view name;
    Duration length;
};

constexpr std::array<DurationUnit, 6> DurationUnits = {
        DurationUnit{"h", std::chrono::hours(1)},
        DurationUnit{"m", std::chrono::minutes(1)},
        DurationUnit{"s", std::chrono::seconds(1)},
        DurationUnit{"ms", std::chrono::milliseconds(1)},
        DurationUnit{"us", std::chrono::microseconds(1)},
        DurationUnit{"ns", std::chrono::nanoseconds(1)},
};

template<typename T>
std::optional<T> parseNumber(std::string_view text)
{
    T value{};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

std::string YamlProblem::text() const
{
    const std::string where = line > 0 ? fmt::format("{}:{}", file, line) : file;
    return key.empty() ? fmt::format("{}: {}", where, message)
                       : fmt::format("{}: {}: {}", where, key, message);
}

YamlSection::YamlSection(YAML::Node node, std::string file, std::string path,
                         YamlProblems &problems, int line)
    : m_node(node), m_file(std::move(file)), m_path(std::move(path)), m_problems(&problems),
      m_line(node.IsDefined() && !node.IsNull() ? node.Mark().line + 1 : line)
{
    if (m_node.IsDefined() && !m_node.IsNull() && !m_node.IsMap()) {
        problem({}, "expected a mapping of keys to values");
        m_node.reset(YAML::Node());
    }
}

bool YamlSection::has(std::string_view key) const
{
    return m_node.IsMap() && m_node[std::string(key)].IsDefined();
}

std::string YamlSection::pathOf(std::string_view key) const
{
    if (key.empty())
        return m_path;
    return m_path.empty() ? std::string(key) : fmt::format("{}.{}", m_path, key);
}

void YamlSection::problem(std::string_view key, std::string message)
{
    int line = m_line;
    if (!key.empty() && has(key))
        line = m_node[std::string(key)].Mark().line + 1;
    m_problems->push_back(
            {.file = m_file, .line = line, .key = pathOf(key), .message = std::move(message)});
}

std::optional<YAML::Node> YamlSection::scalar(std::string_view key, bool required,
                                              std::string_view expected)
{
    m_read.emplace(key);
    if (!has(key)) {
        if (required)
            problem(key, fmt::format("is missing; expected {}", expected));
        return std::nullopt;
    }
    const YAML::Node node = m_node[std::string(key)];
    if (!node.IsScalar()) {
        problem(key, fmt::format("expected {}, found a list, a mapping or nothing", expected));
        return std::nullopt;
    }
    return node;
}

std::string YamlSection::text(std::string_view key, std::optional<std::string> fallback)
{
    const auto node = scalar(key, !fallback, "a text");
    if (!node)
        return fallback.value_or(std::string());
    if (node->Scalar().empty() && !fallback)
        problem(key, "expected a text that is not empty");
    return node->Scalar();
}

std::int64_t YamlSection::integer(std::string_view key, std::int64_t min, std::int64_t max,
                                  std::string_view unit, std::optional<std::int64_t> fallback)
{
    const std::string expected = fmt::format("a whole number of {} from {} to {}", unit, min, max);
    const auto node = scalar(key, !fallback, expected);
    if (!node)
        return fallback.value_or(min);
    const auto value = parseNumber<std::int64_t>(node->Scalar());
    if (value && *value >= min && *value <= max)
        return *value;
    problem(key, fmt::format("expected {}, found '{}'", expected, node->Scalar()));
    return fallback.value_or(min);
}

double YamlSection::number(std::string_view key, double min, double max, std::string_view unit,
                           std::optional<double> fallback)
{
    const std::string expected = fmt::format("a number of {} from {} to {}", unit, min, max);
    const auto node = scalar(key, !fallback, expected);
    if (!node)
        return fallback.value_or(min);
    const auto value = parseNumber<double>(node->Scalar());
    if (value && *value >= min && *value <= max)
        return *value;
    problem(key, fmt::format("expected {}, found '{}'", expected, node->Scalar()));
    return fallback.value_or(min);
}

bool YamlSection::flag(std::string_view key, std::optional<bool> fallback)
{
    const auto node = scalar(key, !fallback, "true or false");
    if (!node)
        return fallback.value_or(false);
    if (node->Scalar() == "true" || node->Scalar() == "false")
        return node->Scalar() == "true";
    problem(key, fmt::format("expected true or false, found '{}'", node->Scalar()));
    return fallback.value_or(false);
}

Duration YamlSection::duration(std::string_view key, Duration min, Duration max,
                               std::optional<Duration> fallback)
{
    const std::string expected = fmt::format("a duration from {} to {}, as 250ms or 4s",
                                             formatDuration(min), formatDuration(max));
    const auto node = scalar(key, !fallback, expected);
    if (!node)
        return fallback.value_or(min);
    const auto value = parseDuration(node->Scalar());
    if (value && *value >= min && *value <= max)
        return *value;
    problem(key, fmt::format("expected {}, found '{}'", expected, node->Scalar()));
    return fallback.value_or(min);
}

std::string YamlSection::address(std::string_view key, std::optional<std::string> fallback)
{
    constexpr std::string_view Expected = "an address as IP:PORT, port from 1 to 65535";
    const auto node = scalar(key, !fallback, Expected);
    if (!node)
        return fallback.value_or(std::string());
    if (!parseEndpoint(node->Scalar()))
        problem(key, fmt::format("expected {}, found '{}'", Expected, node->Scalar()));
    return node->Scalar();
}

std::vector<std::string> YamlSection::textList(std::string_view key)
{
    m_read.emplace(key);
    std::vector<std::string> out;
    if (!has(key))
        return out;
    const YAML::Node node = m_node[std::string(key)];
    if (!node.IsSequence()) {
        problem(key, "expected a list of texts");
        return out;
    }
    for (const YAML::Node &it : node) {
        if (it.IsScalar())
            out.push_back(it.Scalar());
        else
            problem(key, "expected a list of texts, found another kind of entry");
    }
    return out;
}

YamlSection YamlSection::section(std::string_view key)
{
    m_read.emplace(key);
    return {has(key) ? m_node[std::string(key)] : YAML::Node(), m_file, pathOf(key), *m_problems,
            m_line};
}

std::vector<YamlSection> YamlSection::sections(std::string_view key)
{
    m_read.emplace(key);
    std::vector<YamlSection> out;
    if (!has(key))
        return out;
    const YAML::Node node = m_node[std::string(key)];
    if (!node.IsSequence()) {
        problem(key, "expected a list of mappings");
        return out;
    }
    for (std::size_t i = 0; i < node.size(); ++i)
        out.emplace_back(node[i], m_file, fmt::format("{}[{}]", pathOf(key), i), *m_problems);
    return out;
}

void YamlSection::finish()
{
    if (!m_node.IsMap())
        return;
    for (const auto &it : m_node) {
        const std::string key = it.first.IsScalar() ? it.first.Scalar() : std::string("?");
        if (!m_read.contains(key)) {
            m_problems->push_back({.file = m_file,
                                   .line = it.first.Mark().line + 1,
                                   .key = pathOf(key),
                                   .message = "is not a known key"});
        }
    }
}

std::optional<YAML::Node> parseYaml(const std::string &text, const std::string &file,
                                    YamlProblems &problems)
{
    try {
        YAML::Node root = YAML::Load(text);
        if (root.IsMap())
            return root;
        problems.push_back({.file = file,
                            .line = 1,
                            .key = {},
                            .message = "expected a mapping of keys to values at the root"});
    } catch (const YAML::Exception &e) {
        problems.push_back({.file = file,
                            .line = e.mark.line + 1,
                            .key = {},
                            .message = "is not YAML: " + e.msg});
    }
    return std::nullopt;
}

std::optional<Duration> parseDuration(std::string_view text)
{
    const std::size_t n = text.find_first_not_of("0123456789");
    if (n == 0 || n == std::string_view::npos)
        return std::nullopt;
    const auto count = parseNumber<std::int64_t>(text.substr(0, n));
    for (const DurationUnit &it : DurationUnits) {
        const std::int64_t maxCount = Duration::max().count() / it.length.count();
        if (count && it.name == text.substr(n) && *count <= maxCount)
            return it.length * *count;
    }
    return std::nullopt;
}

std::string formatDuration(Duration d)
{
    for (const DurationUnit &it : DurationUnits) {
        if (d.count() != 0 && d % it.length == Duration::zero())
            return fmt::format("{}{}", d / it.length, it.name);
    }
    return "0s";
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    std::string host(text.substr(0, colon));
    const bool v6 = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (v6)
        host = host.substr(1, host.size() - 2);
    in6_addr parsed{};
    // inet_pton() stops at the first NUL and would accept anything after it.
    if (!port || *port == 0 || host.find('\0') != std::string::npos
        || inet_pton(v6 ? AF_INET6 : AF_INET, host.c_str(), &parsed) != 1)
        return std::nullopt;
    return Endpoint{.host = std::move(host), .port = *port};
}

} // namespace catkinloft
