#pragma once

#include "Base/EntrySettings.h"
#include "Base/FleetStore.h"
#include "Base/TableService.h"
#include "Control/EntryDirectory.h"
#include "Net/WireCodec.h"

#include <functional>
#include <memory>
#include <string>

namespace catkinloft {

/// \brief What connects an entry process to one platform.
struct EntryAdapter
{
    WireCodec codec;
    std::function<std::unique_ptr<FleetStore>(HttpClient &, const std::string &address)> makeStore;
    std::function<std::unique_ptr<TableService>(HttpClient &, const std::string &address)>
            makeTable;
    /// Asks the engine at \a address which parts of prompts it keeps.
    std::function<void(HttpClient &, const std::string &address,
                       std::function<void(Result<std::vector<PromptPart>>)>)>
            listPrompts;
    std::function<void(const HttpExchangePtr &, bool ready)> answerReadiness;
    std::function<void(const HttpExchangePtr &, const EntryDirectory &)> answerDirectory;
};

/// \brief The process of one entry VM whose configuration and replicas are in the platform's store:
/// puts the tasks together and runs them until SIGTERM.
class EntryProcess
{
public:
    /// \param settingsFile from which \a settings were read; it is read again when it changes.
    EntryProcess(const EntrySettings &settings, std::string settingsFile, EntryAdapter adapter);
    ~EntryProcess();

    /// \brief Serves until SIGTERM or SIGINT and then drains.
    /// \returns 0, or 1 where an address can not be bound.
    int run();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
