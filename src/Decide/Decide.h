#pragma once

/// \file
/// \brief Module Decide: admission, placement, health and quarantine decisions. Uses no sockets,
/// threads or system clock.

#include "Decide/AdmissionQueue.h" // IWYU pragma: export
#include "Decide/AnswerBuffers.h" // IWYU pragma: export
#include "Decide/AttemptSilence.h" // IWYU pragma: export
#include "Decide/ChatOrder.h" // IWYU pragma: export
#include "Decide/ColdRateLimit.h" // IWYU pragma: export
#include "Decide/ConcurrencyLimit.h" // IWYU pragma: export
#include "Decide/ConnectionReusePolicy.h" // IWYU pragma: export
#include "Decide/Dispatcher.h" // IWYU pragma: export
#include "Decide/HealthTracker.h" // IWYU pragma: export
#include "Decide/Job.h" // IWYU pragma: export
#include "Decide/LoadReport.h" // IWYU pragma: export
#include "Decide/OwnerGroups.h" // IWYU pragma: export
#include "Decide/PathMonitor.h" // IWYU pragma: export
#include "Decide/Placement.h" // IWYU pragma: export
#include "Decide/PromptAdmission.h" // IWYU pragma: export
#include "Decide/Refusal.h" // IWYU pragma: export
#include "Decide/Rendezvous.h" // IWYU pragma: export
#include "Decide/RepeatDetector.h" // IWYU pragma: export
#include "Decide/ReplicaLoad.h" // IWYU pragma: export
#include "Decide/ReplicaSpeed.h" // IWYU pragma: export
#include "Decide/RequestQuarantine.h" // IWYU pragma: export
#include "Decide/RequestRank.h" // IWYU pragma: export
#include "Decide/RetryBudget.h" // IWYU pragma: export
#include "Decide/RouterView.h" // IWYU pragma: export
#include "Decide/SilenceMonitor.h" // IWYU pragma: export
#include "Decide/SlowCallMonitor.h" // IWYU pragma: export
#include "Decide/SoftwareHistory.h" // IWYU pragma: export
#include "Decide/StreamOrigins.h" // IWYU pragma: export
#include "Decide/WorkspaceShares.h" // IWYU pragma: export
