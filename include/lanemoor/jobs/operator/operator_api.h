#pragma once
/// \file
/// HTTP API of the job service for operators.

#include "lanemoor/net/http_message.h"

#include <functional>

namespace lanemoor::jobs {

class JobService;

/// \brief Answers a request of an operator:
///
/// | request | answer |
/// | --- | --- |
/// | `GET /v1/jobs?queue=Q` | up to 1,000 jobs of one queue, or of all queues |
/// | `GET /v1/jobs/ID` | one job; the shard's owner adds its steps and why they wait |
/// | `DELETE /v1/jobs/ID` | cancels the job |
/// | `GET /v1/instances` | workers and their health; only at the shard's owner |
/// | `GET /v1/organisations` | usage and quota of each organisation; only at the shard's owner |
/// | `GET /v1/shards` | shards and their owners |
/// | `GET /v1/evacuations` | data halls that are evacuated or lost, with their remaining tasks; only at the shard's owner |
/// | `GET /metrics` | metrics in the Prometheus text format |
///
/// Other paths get 404 and other methods 405, both as `application/problem+json`.
void answerOperator(JobService& service, const HttpRequest& request, std::function<void(HttpResponse)> respond);

} // namespace lanemoor::jobs
