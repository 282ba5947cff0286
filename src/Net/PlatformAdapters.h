#pragma once

#include "Base/ObjectStore.h"
#include "Base/Settings.h"
#include "Base/TableService.h"
#include "Base/VmList.h"

#include <memory>

namespace catkinloft {

class HttpClient;

/// \returns the table service of \a settings over HTTP; docs/INTERFACES.md has its format.
std::unique_ptr<TableService> makeHttpTableService(HttpClient &client,
                                                   const PlatformSettings &settings);

/// \returns the object store of \a settings over HTTP.
std::unique_ptr<ObjectStore> makeHttpObjectStore(HttpClient &client,
                                                 const PlatformSettings &settings);

/// \returns the VM list of \a settings over HTTP.
std::unique_ptr<VmList> makeHttpVmList(HttpClient &client, const PlatformSettings &settings);

} // namespace catkinloft
