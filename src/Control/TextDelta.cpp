#include "Control/TextDelta.h"

#include <fmt/format.h>

namespace catkinloft {

namespace {

/// Number of lines searched for the point where two texts agree again. The cost is quadratic in it.
constexpr std::size_t LookAhead = 48;

using Lines = std::vector<std::string_view>;

/// \returns the lines of \a text, each with its \a separator.
Lines linesOf(std::string_view text, char separator = '\n')
{
    Lines out;
    while (!text.empty()) {
        const std::size_t n = std::min(text.find(separator), text.size() - 1) + 1;
        out.push_back(text.substr(0, n));
        text.remove_prefix(n);
    }
    return out;
}

std::string joined(const Lines &lines, std::size_t from, std::size_t to)
{
    std::string out;
    for (std::size_t i = from; i < to; ++i)
        out += lines[i];
    return out;
}

struct Skip
{
    std::size_t old = 0;
    std::size_t fresh = 0;
};

/// \returns how many lines of each text to skip until they agree again.
Skip nextAgreement(const Lines &a, std::size_t i, const Lines &b, std::size_t j)
{
    for (std::size_t sum = 1; sum <= LookAhead; ++sum) {
        for (std::size_t n = 0; n <= sum; ++n) {
            const std::size_t x = i + n;
            const std::size_t y = j + sum - n;
            if (x < a.size() && y < b.size() && a[x] == b[y])
                return {.old = n, .fresh = sum - n};
        }
    }
    return {.old = a.size() - i, .fresh = b.size() - j};
}

} // namespace

TextDelta makeTextDelta(std::string_view from, std::string_view to, char separator)
{
    const Lines a = linesOf(from, separator);
    const Lines b = linesOf(to, separator);
    std::size_t tail = 0;
    while (tail < std::min(a.size(), b.size()) && a[a.size() - 1 - tail] == b[b.size() - 1 - tail])
        ++tail;
    const Lines x(a.begin(), a.end() - static_cast<std::ptrdiff_t>(tail));
    const Lines y(b.begin(), b.end() - static_cast<std::ptrdiff_t>(tail));
    TextDelta out;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < x.size() || j < y.size()) {
        if (i < x.size() && j < y.size() && x[i] == y[j]) {
            ++i;
            ++j;
            continue;
        }
        const Skip skip = nextAgreement(x, i, y, j);
        out.push_back({.at = i, .removed = skip.old, .inserted = joined(y, j, j + skip.fresh)});
        i += skip.old;
        j += skip.fresh;
    }
    return out;
}

Result<std::string> applyTextDelta(std::string_view from, std::span<const TextHunk> delta,
                                   char separator)
{
    const Lines lines = linesOf(from, separator);
    std::string out;
    std::size_t at = 0;
    for (const TextHunk &it : delta) {
        if (it.at < at || it.at > lines.size() || it.removed > lines.size() - it.at)
            return Error{.reason = Reason::Internal,
                         .detail = "the delta was made for another text"};
        out += joined(lines, at, it.at) + it.inserted;
        at = it.at + it.removed;
    }
    return out + joined(lines, at, lines.size());
}

std::string describeDelta(std::string_view from, std::string_view to, std::size_t maxLines)
{
    const Lines old = linesOf(from);
    std::string out;
    std::size_t n = 0;
    const auto add = [&](char sign, std::string_view line) {
        if (n++ < maxLines)
            out += fmt::format("{}{}{}", sign, line, line.ends_with('\n') ? "" : "\n");
    };
    for (const TextHunk &it : makeTextDelta(from, to)) {
        for (std::size_t i = it.at; i < it.at + it.removed; ++i)
            add('-', old[i]);
        for (const std::string_view line : linesOf(it.inserted))
            add('+', line);
    }
    if (n > maxLines)
        out += fmt::format("and {} further lines\n", n - maxLines);
    return out;
}

} // namespace catkinloft
