#include "Net/SettingsWatch.h"

#include "Base/Log.h"
#include "Net/EventLoop.h"

#include <fstream>
#include <optional>
#include <sstream>

namespace catkinloft {

namespace {

/// Interval of reads when no signal is sent. A read takes three system calls, and no setting that
/// can change while a process runs is urgent.
constexpr Duration CheckInterval = std::chrono::seconds(5);

std::optional<std::string> readText(const std::string &file)
{
    const std::ifstream in(file);
    std::ostringstream out;
    if (!in || !(out << in.rdbuf()))
        return std::nullopt;
    return out.str();
}

} // namespace

SettingsWatch::SettingsWatch(Options options)
    : m_options(std::move(options)), m_timer(m_options.loop, [this] { check(); })
{ }

void SettingsWatch::start()
{
    if (m_options.file.empty())
        return;
    m_text = readText(m_options.file).value_or(std::string());
    m_timer.startRepeating(CheckInterval);
}

void SettingsWatch::check()
{
    const std::optional<std::string> text = readText(m_options.file);
    if (!text)
        return Log::warning("settings_not_read", {{"file", m_options.file}});
    if (*text == m_text)
        return;
    m_text = *text;
    YamlProblems problems;
    const auto next = EntrySettings::parse(m_text, m_options.file, problems);
    for (const YamlProblem &it : problems)
        Log::error("settings_rejected", {{"detail", it.text()}});
    if (next)
        m_options.onChange(*next);
}

} // namespace catkinloft
