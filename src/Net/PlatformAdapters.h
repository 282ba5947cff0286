#pragma once

#include "Base/ObjectStore.h"
#include "Base/Settings.h"
#include "Base/TableService.h"
#include "Base/VmList.h"

#include <memory>

namespace catkinloft {

class HttpClient;

/// \returns a client of the table service in \a settings over HTTP; docs/INTERFACES.md describes
/// its format.
std::unique_ptr<TableService> makeHttpTableService(HttpClient &client,
                                                   const PlatformSettings &settings);

/// \returns a client of the object store in \a settings over HTTP.
std::unique_ptr<ObjectStore> makeHttpObjectStore(HttpClient &client,
                                                 const PlatformSettings &settings);

/// \returns a client of the VM list in \a settings over HTTP.
std::unique_ptr<VmList> makeHttpVmList(HttpClient &client, const PlatformSettings &settings);

} // namespace catkinloft
