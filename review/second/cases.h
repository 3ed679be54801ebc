#pragma once
/// \file
/// The cases by name.

#include "driver.h"

#include <functional>
#include <map>
#include <string>

namespace review {

using Case = std::function<Outcome(const Environment&, Record&)>;

[[nodiscard]] const std::map<std::string, Case>& cases();

} // namespace review
