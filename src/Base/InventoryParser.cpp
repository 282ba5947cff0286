#include "Base/InventoryParser.h"

#include "Base/internal/InventoryOutline.h"
#include "Base/internal/InventoryReader.h"

#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace catkinloft {

using internal::InventoryOutline;

namespace {

using Positions = std::unordered_map<std::string_view, std::size_t>;

Positions positionsOf(const std::vector<std::string_view> &items)
{
    Positions out;
    out.reserve(items.size());
    for (std::size_t i = 0; i < items.size(); ++i)
        out.emplace(items[i], i);
    return out;
}

/// Appends to \a text the entries of \a items that are not in \a known.
/// \returns how many it appended.
std::size_t appendNew(std::string &text, std::string_view key,
                      const std::vector<std::string_view> &items, const Positions &known)
{
    std::size_t n = 0;
    for (const std::string_view it : items) {
        if (known.contains(it))
            continue;
        if (n++ == 0)
            text.append(key).append(":\n");
        text.append(it).append("\n");
    }
    return n;
}

/// \returns the entries of \a items, taken from \a before where they are in \a known, and otherwise
/// from \a added, which has the same order.
template<typename T>
std::vector<T> merged(const std::vector<std::string_view> &items, const Positions &known,
                      const std::vector<T> &before, std::vector<T> &&added)
{
    std::vector<T> out;
    out.reserve(items.size());
    std::size_t next = 0;
    for (const std::string_view it : items) {
        const auto found = known.find(it);
        out.push_back(found == known.end() ? std::move(added[next++]) : before[found->second]);
    }
    return out;
}

bool allDistinct(const Inventory &inventory)
{
    std::unordered_set<std::string_view> names;
    std::unordered_set<std::string_view> addresses;
    names.reserve(inventory.engines.size());
    addresses.reserve(inventory.engines.size());
    for (const Engine &it : inventory.engines) {
        if (!names.insert(it.name).second || !addresses.insert(it.address).second)
            return false;
    }
    std::unordered_set<std::string_view> workspaces;
    std::unordered_set<std::string_view> keys;
    for (const Workspace &it : inventory.workspaces) {
        if (!workspaces.insert(it.name).second || !keys.insert(it.keySha256).second)
            return false;
    }
    for (const Operator &it : inventory.operators) {
        if (!keys.insert(it.keySha256).second)
            return false;
    }
    return true;
}

} // namespace

struct InventoryParser::Private
{
    std::unique_ptr<const std::string> text; ///< Text of `last`; the outline refers to it.
    InventoryOutline outline;
    Positions engines;
    Positions workspaces;
    InventoryPtr last;
    std::size_t entriesRead = 0;

    InventoryPtr parseChanges(const InventoryOutline &next, const std::string &file,
                              std::uint64_t revision);
    void saveBaseline(std::unique_ptr<const std::string> newText,
                      std::optional<InventoryOutline> next, InventoryPtr inventory);
};

InventoryPtr InventoryParser::Private::parseChanges(const InventoryOutline &next,
                                                    const std::string &file, std::uint64_t revision)
{
    // The failure domains of known engines were validated against these places.
    if (!last || next.places != outline.places)
        return nullptr;
    std::string reduced;
    for (const std::string_view it : next.others)
        reduced.append(it).append("\n");
    const std::size_t newEngines = appendNew(reduced, "engines", next.engines, engines);
    const std::size_t newWorkspaces = appendNew(reduced, "workspaces", next.workspaces, workspaces);
    YamlProblems ignored;
    const auto root = parseYaml(reduced, file, ignored);
    if (!root)
        return nullptr;
    auto out = std::make_shared<Inventory>();
    out->revision = revision;
    internal::readInventory(YamlSection(*root, file, {}, ignored), *out);
    if (!ignored.empty() || out->engines.size() != newEngines
        || out->workspaces.size() != newWorkspaces)
        return nullptr;
    entriesRead = newEngines + newWorkspaces;
    out->engines = merged(next.engines, engines, last->engines, std::move(out->engines));
    out->workspaces =
            merged(next.workspaces, workspaces, last->workspaces, std::move(out->workspaces));
    if (!allDistinct(*out))
        return nullptr;
    out->buildIndexes();
    return out;
}

void InventoryParser::Private::saveBaseline(std::unique_ptr<const std::string> newText,
                                            std::optional<InventoryOutline> next,
                                            InventoryPtr inventory)
{
    const bool isUsable = next && next->engines.size() == inventory->engines.size()
            && next->workspaces.size() == inventory->workspaces.size();
    outline = isUsable ? std::move(*next) : InventoryOutline();
    engines = positionsOf(outline.engines);
    workspaces = positionsOf(outline.workspaces);
    last = isUsable ? std::move(inventory) : nullptr;
    text = std::move(newText);
}

InventoryParser::InventoryParser() : m_d(std::make_unique<Private>()) { }

InventoryParser::~InventoryParser() = default;

InventoryPtr InventoryParser::parse(const std::string &text, const std::string &file,
                                    std::uint64_t revision, YamlProblems &problems)
{
    // The outline refers to the copy that is stored, so that it does not have to be computed again.
    auto textCopy = std::make_unique<const std::string>(text);
    std::optional<InventoryOutline> next = InventoryOutline::of(*textCopy);
    InventoryPtr out = next ? m_d->parseChanges(*next, file, revision) : nullptr;
    if (!out) {
        out = Inventory::parse(text, file, revision, problems);
        if (!out)
            return nullptr;
        m_d->entriesRead = out->engines.size() + out->workspaces.size();
    }
    m_d->saveBaseline(std::move(textCopy), std::move(next), out);
    return out;
}

std::size_t InventoryParser::entriesRead() const
{
    return m_d->entriesRead;
}

} // namespace catkinloft
