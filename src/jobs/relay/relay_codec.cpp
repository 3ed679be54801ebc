#include "relay_codec.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

namespace lanemoor::jobs {

namespace {

/// The relay reads a longer payload from the store, once for all tasks of the job that it starts. A read costs about 300 bytes of
/// headers, and a job has about 24 tasks with up to 4,000 bytes each.
constexpr std::size_t maxInlinePayload = 200;

/// Of a frame of a relay. The reports of all workers of a relay have some 10,000; decoded, a field takes up to about 128 bytes.
constexpr std::size_t maxReportFields = 100'000;
constexpr std::size_t minFieldBytes = 2;

using google::protobuf::internal::WireFormatLite;

/// Counts the fields of a message, and of the answers in it if `isFrame`. \returns False once there are more than `maxReportFields`.
bool countFields(google::protobuf::io::CodedInputStream& in, bool isFrame, std::size_t& count)
{
    while (const std::uint32_t tag = in.ReadTag()) {
        if (++count > maxReportFields)
            return false;
        const bool isAnswer = isFrame && tag == WireFormatLite::MakeTag(wire::RelayFrame::kAnswersFieldNumber, WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
        std::uint32_t length = 0;
        if (!isAnswer) {
            if (!WireFormatLite::SkipField(&in, tag))
                return true; // Malformed, which the decoder reports.
        } else if (in.ReadVarint32(&length)) {
            const auto limit = in.PushLimit(static_cast<int>(length));
            if (!countFields(in, false, count))
                return false;
            in.PopLimit(limit);
        }
    }
    return true;
}

void write(wire::RelayAttempt& message, const Attempt& attempt)
{
    message.set_job(attempt.job);
    message.set_occurrence(attempt.task.occurrence);
    message.set_step(attempt.task.step);
    message.set_index(attempt.task.index);
    message.set_number(attempt.number);
}

void writeWorker(wire::RelayCall& message, const WorkerIncarnation& worker, std::uint64_t epoch)
{
    message.set_worker(worker.id);
    message.set_address(worker.address);
    message.set_epoch(epoch);
}

/// Codes are the enumerators' values: both ends run the same version, except during a rolling update.
CommandOutcome outcomeOf(std::uint32_t code)
{
    return code <= static_cast<std::uint32_t>(CommandOutcome::Unknown) ? static_cast<CommandOutcome>(code) : CommandOutcome::Unknown;
}

AttemptEnd endOf(std::uint32_t code)
{
    return code <= static_cast<std::uint32_t>(AttemptEnd::GangIncomplete) ? static_cast<AttemptEnd>(code) : AttemptEnd::Stopped;
}

} // namespace

std::optional<wire::RelayFrame> reportOf(const std::string& text)
{
    if (text.size() > maxReportFields * minFieldBytes) {
        google::protobuf::io::CodedInputStream in(reinterpret_cast<const std::uint8_t*>(text.data()), static_cast<int>(text.size()));
        std::size_t count = 0;
        if (!countFields(in, true, count))
            return std::nullopt;
    }
    wire::RelayFrame frame;
    return frame.ParseFromString(text) ? std::optional(std::move(frame)) : std::nullopt;
}

bool isLongPayload(const StartCommand& command) noexcept
{
    return command.payload.size() > maxInlinePayload;
}

void fill(wire::RelayCall& message, const WorkerIncarnation& worker, const StartCommand& command, bool refersToStore)
{
    writeWorker(message, worker, command.epoch);
    wire::RelayCall::Start& start = *message.mutable_start();
    write(*start.mutable_attempt(), command.attempt);
    if (refersToStore)
        start.set_payload_in_store(true);
    else
        start.set_payload(command.payload);
    start.set_lease_until(command.leaseUntil);
    start.set_checkpoint(command.checkpoint);
    start.set_ticket(command.ticket);
}

void fillStop(wire::RelayCall& message, const WorkerIncarnation& worker, const Attempt& attempt, std::uint64_t epoch)
{
    writeWorker(message, worker, epoch);
    write(*message.mutable_stop()->mutable_attempt(), attempt);
}

void fill(wire::RelayCall& message, const WorkerIncarnation& worker, const RenewCommand& command)
{
    writeWorker(message, worker, command.epoch);
    wire::RelayCall::Renew& renew = *message.mutable_renew();
    renew.set_lease_until(command.leaseUntil);
    renew.set_ends_stored_up_to(command.endsStoredUpTo);
    renew.set_wait_ms(static_cast<std::uint32_t>(command.wait.count()));
}

void fillThrottle(wire::RelayCall& message, const WorkerIncarnation& worker, const Attempt& attempt, std::uint32_t percent, std::uint64_t epoch)
{
    writeWorker(message, worker, epoch);
    write(*message.mutable_throttle()->mutable_attempt(), attempt);
    message.mutable_throttle()->set_percent(percent);
}

void fill(wire::RelayAnswer& message, const CommandResult& result)
{
    message.set_outcome(static_cast<std::uint32_t>(result.outcome));
    message.set_worker_clock(result.workerClock);
}

void fill(wire::RelayAnswer& message, const RenewResult& result)
{
    message.set_outcome(static_cast<std::uint32_t>(result.outcome));
    message.set_worker_clock(result.workerClock);
    message.set_started_at(result.startedAt);
    message.set_complete(result.coverage == ReportCoverage::Complete);
    for (const RunningAttempt& running : result.running) {
        wire::RelayRunning& row = *message.add_running();
        write(*row.mutable_attempt(), running.attempt);
        row.set_checkpoint(running.checkpoint);
        row.set_percent(running.percent);
        row.set_load(running.load);
    }
    for (const EndedAttempt& ended : result.ended) {
        wire::RelayEnded& row = *message.add_ended();
        row.set_sequence(ended.sequence);
        write(*row.mutable_attempt(), ended.attempt);
        row.set_end(static_cast<std::uint32_t>(ended.end));
        row.set_checkpoint(ended.checkpoint);
    }
}

WorkerIncarnation workerOf(const wire::RelayCall& message)
{
    return { .id = message.worker(), .address = message.address(), .dataHall = {} };
}

Attempt attemptOf(const wire::RelayAttempt& message)
{
    return { message.job(), { message.occurrence(), message.step(), message.index() }, message.number() };
}

StartCommand startOf(const wire::RelayCall& message)
{
    const wire::RelayCall::Start& start = message.start();
    return { .attempt = attemptOf(start.attempt()), .payload = start.payload(), .leaseUntil = start.lease_until(), .epoch = message.epoch(), .checkpoint = start.checkpoint(), .ticket = start.ticket() };
}

RenewCommand renewalOf(const wire::RelayCall& message)
{
    const wire::RelayCall::Renew& renew = message.renew();
    return { .leaseUntil = renew.lease_until(), .epoch = message.epoch(), .endsStoredUpTo = renew.ends_stored_up_to(), .wait = Millis(renew.wait_ms()) };
}

CommandResult commandResultOf(const wire::RelayAnswer& message)
{
    return { .outcome = outcomeOf(message.outcome()), .workerClock = message.worker_clock() };
}

RenewResult renewResultOf(const wire::RelayAnswer& message)
{
    RenewResult result { .outcome = outcomeOf(message.outcome()), .workerClock = message.worker_clock(), .startedAt = message.started_at(), .running = {}, .ended = {} };
    for (const wire::RelayRunning& row : message.running())
        result.running.push_back({ .attempt = attemptOf(row.attempt()), .checkpoint = row.checkpoint(), .percent = row.percent(), .load = row.load() });
    for (const wire::RelayEnded& row : message.ended())
        result.ended.push_back({ .sequence = row.sequence(), .attempt = attemptOf(row.attempt()), .end = endOf(row.end()), .checkpoint = row.checkpoint() });
    // Relays of earlier versions don't set the mark, but a truncated list is never empty.
    result.coverage = message.complete() || result.ended.empty() ? ReportCoverage::Complete : ReportCoverage::Partial;
    return result;
}

} // namespace lanemoor::jobs
