#include "Base/internal/InventoryOutline.h"

#include <algorithm>
#include <array>
#include <set>
#include <string>

namespace catkinloft::internal {

namespace {

struct Block
{
    std::string_view key;
    std::string_view rest; ///< The first line after the colon.
    std::string_view text; ///< All lines.
    std::vector<std::string_view> lines; ///< All lines except the first one.
};

std::string_view trimmed(std::string_view line)
{
    const std::size_t first = line.find_first_not_of(' ');
    return first == std::string_view::npos ? std::string_view() : line.substr(first);
}

bool isBlank(std::string_view line)
{
    const std::string_view text = trimmed(line);
    return text.empty() || text.front() == '#' || text == "\r";
}

std::size_t indentOf(std::string_view line)
{
    return line.size() - trimmed(line).size();
}

constexpr std::array<bool, 256> specialCharacters()
{
    std::array<bool, 256> out{};
    for (const unsigned char c : {'\t', '\r', '&', '*', '!', '|', '>', '%'})
        out[c] = true;
    return out;
}
constexpr std::array<bool, 256> IsSpecial = specialCharacters();

/// \returns whether \a line has no YAML syntax that cannot be split by lines and indentation.
bool isPlainLine(std::string_view line)
{
    if (line.starts_with("---") || line.starts_with("..."))
        return false;
    std::size_t singleQuotes = 0;
    std::size_t doubleQuotes = 0;
    for (const char c : line) {
        singleQuotes += c == '\'' ? 1 : 0;
        doubleQuotes += c == '"' ? 1 : 0;
        if (IsSpecial[static_cast<unsigned char>(c)])
            return false;
    }
    return singleQuotes % 2 == 0 && doubleQuotes % 2 == 0;
}

std::optional<Block> parseBlockStart(std::string_view line)
{
    const std::size_t colon = line.find(':');
    const std::string_view key = line.substr(0, colon);
    const bool isWord = !key.empty() && std::all_of(key.begin(), key.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || c == '_';
    });
    if (colon == std::string_view::npos || !isWord)
        return std::nullopt;
    return Block{.key = key, .rest = line.substr(colon + 1), .text = line, .lines = {}};
}

std::string_view joined(std::string_view first, std::string_view last)
{
    return {first.data(), static_cast<std::size_t>(last.data() + last.size() - first.data())};
}

std::optional<std::vector<Block>> blocksOf(std::string_view text)
{
    std::vector<Block> out;
    std::set<std::string_view> keys;
    while (!text.empty()) {
        const std::size_t n = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, n);
        text.remove_prefix(std::min(n + 1, text.size()));
        if (isBlank(line))
            continue;
        if (!isPlainLine(line))
            return std::nullopt;
        if (line.front() != ' ' && line.front() != '-') {
            const auto block = parseBlockStart(line);
            if (!block || !keys.insert(block->key).second)
                return std::nullopt;
            out.push_back(*block);
        } else if (out.empty()) {
            return std::nullopt;
        } else {
            out.back().lines.push_back(line);
            out.back().text = joined(out.back().text, line);
        }
    }
    return out;
}

std::optional<std::vector<std::string_view>> itemsOf(const Block &block)
{
    if (!trimmed(block.rest).empty())
        return std::nullopt;
    std::vector<std::string_view> out;
    std::size_t indent = 0;
    for (const std::string_view line : block.lines) {
        if (out.empty())
            indent = indentOf(line);
        const bool startsItem = indentOf(line) == indent && trimmed(line).starts_with("- ");
        if (startsItem)
            out.push_back(line);
        else if (out.empty() || indentOf(line) <= indent)
            return std::nullopt;
        else
            out.back() = joined(out.back(), line);
    }
    return out;
}

} // namespace

std::optional<InventoryOutline> InventoryOutline::of(std::string_view text)
{
    const auto blocks = blocksOf(text);
    if (!blocks)
        return std::nullopt;
    InventoryOutline out;
    for (const Block &it : *blocks) {
        if (it.key != "engines" && it.key != "workspaces") {
            out.others.push_back(it.text);
            if (it.key == "places")
                out.places = it.text;
            continue;
        }
        auto items = itemsOf(it);
        if (!items)
            return std::nullopt;
        (it.key == "engines" ? out.engines : out.workspaces) = std::move(*items);
    }
    return out;
}

} // namespace catkinloft::internal
