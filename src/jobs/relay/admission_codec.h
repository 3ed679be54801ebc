#pragma once
/// \file
/// Conversion of admission grants to and from the relay protocol.

#include "generated/relay.pb.h"
#include "lanemoor/jobs/model/admission_grants.h"

namespace lanemoor::jobs {

void fill(wire::AdmissionGrants& message, const AdmissionGrants& grants);

[[nodiscard]] AdmissionGrants grantsOf(const wire::AdmissionGrants& message);

} // namespace lanemoor::jobs
