#pragma once
/// \file
/// The operators' calls of the job service.

#include "lanemoor/net/http_message.h"

#include <functional>

namespace lanemoor::jobs {

class JobService;

/// \brief Answers an operator's call:
///
/// | call | answer |
/// | --- | --- |
/// | `GET /v1/jobs?queue=Q` | jobs, at most 1,000, of one queue or all |
/// | `GET /v1/jobs/ID` | one job; at the shard's owner with its steps and why they wait |
/// | `DELETE /v1/jobs/ID` | cancels it |
/// | `GET /v1/instances` | at the shard's owner, its workers and their health |
/// | `GET /v1/shards` | shards and their owners |
/// | `GET /v1/evacuations` | data halls that are evacuated or lost; at the owner with what remains there |
/// | `GET /metrics` | metrics in Prometheus' text format |
///
/// Anything else gets 404, a wrong method 405, both as `application/problem+json`.
void answerOperator(JobService& service, const HttpRequest& request, std::function<void(HttpResponse)> respond);

} // namespace lanemoor::jobs
