#include "Base/Inventory.h"

#include "Base/internal/InventoryReader.h"

namespace catkinloft {

std::shared_ptr<const Inventory> Inventory::parse(const std::string &text, const std::string &file,
                                                  std::uint64_t revision, YamlProblems &problems)
{
    const std::size_t before = problems.size();
    const auto root = parseYaml(text, file, problems);
    if (!root)
        return nullptr;
    auto out = std::make_shared<Inventory>();
    out->revision = revision;
    internal::readInventory(YamlSection(*root, file, {}, problems), *out);
    if (problems.size() != before)
        return nullptr;
    out->buildIndexes();
    return out;
}

void Inventory::buildIndexes()
{
    for (std::size_t i = 0; i < workspaces.size(); ++i)
        m_workspaceByKey.emplace(workspaces[i].keySha256, i);
    for (std::size_t i = 0; i < operators.size(); ++i)
        m_operatorByKey.emplace(operators[i].keySha256, i);
    for (std::size_t i = 0; i < engines.size(); ++i)
        m_byModel[engines[i].model].push_back(i);
}

const Workspace *Inventory::workspaceByKey(std::string_view keySha256) const
{
    const auto it = m_workspaceByKey.find(keySha256);
    return it == m_workspaceByKey.end() ? nullptr : &workspaces[it->second];
}

const Operator *Inventory::operatorByKey(std::string_view keySha256) const
{
    const auto it = m_operatorByKey.find(keySha256);
    return it == m_operatorByKey.end() ? nullptr : &operators[it->second];
}

const Workspace *Inventory::workspace(std::string_view name) const
{
    for (const Workspace &it : workspaces) {
        if (it.name == name)
            return &it;
    }
    return nullptr;
}

const Service *Inventory::service(std::string_view name) const
{
    for (const Service &it : services) {
        if (it.name == name)
            return &it;
    }
    return nullptr;
}

const std::vector<std::size_t> &Inventory::enginesOf(std::string_view model) const
{
    static const std::vector<std::size_t> none;
    const auto it = m_byModel.find(model);
    return it == m_byModel.end() ? none : it->second;
}

} // namespace catkinloft
