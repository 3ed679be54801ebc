#pragma once
/// \file
/// Forward declarations of the job service's types.

namespace lanemoor::jobs {

class EventLoop;
class FleetControl;
class JobCatalog;
class JobIntake;
class JobLog;
class JobScheduler;
class JobState;
class KeyValueStore;
class OwnershipManager;
class PeerTransport;
class PlacementAdvisor;
class PlatformDocuments;
class ProgressWriter;
class WorkerControl;
class WorkerSession;

struct JobRecord;
struct JobSpec;
struct ProgressRecord;
struct QueueSettings;
struct ServiceConfiguration;
struct StepSpec;
struct TaskId;
struct WorkerEntry;

} // namespace lanemoor::jobs
