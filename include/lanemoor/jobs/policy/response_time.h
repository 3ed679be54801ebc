#pragma once
/// \file
/// Response times for policies. The estimator stands in `model`, as decorators of the store use it too.

#include "lanemoor/jobs/model/response_time.h"
