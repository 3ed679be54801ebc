#pragma once
/// \file
/// Names of the job service, for headers that need no more than the name.

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
