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

/// \brief Functions that connect an entry process to one platform.
struct EntryAdapter
{
    WireCodec codec;
    std::function<std::unique_ptr<FleetStore>(HttpClient &, const std::string &address)> makeStore;
    std::function<std::unique_ptr<TableService>(HttpClient &, const std::string &address)>
            makeTable;
    /// Asks the engine at \a address which prompt parts it caches.
    std::function<void(HttpClient &, const std::string &address,
                       std::function<void(Result<std::vector<PromptPart>>)>)>
            listPrompts;
    std::function<void(const HttpExchangePtr &, bool ready)> answerReadiness;
    std::function<void(const HttpExchangePtr &, const EntryDirectory &)> answerDirectory;
};

/// \brief The process of one entry VM whose configuration and replicas are in the platform's store.
///
/// Creates and connects the tasks and runs them until SIGTERM.
class EntryProcess
{
public:
    /// \param settingsFile the file from which \a settings were read; reloaded when it changes.
    EntryProcess(const EntrySettings &settings, std::string settingsFile, EntryAdapter adapter);
    ~EntryProcess();

    /// \brief Serves until SIGTERM or SIGINT and then drains.
    /// \returns 0, or 1 if an address can't be bound.
    int run();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
