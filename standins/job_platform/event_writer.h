#pragma once
/// \file
/// What the stand-in tells its observer: one JSON object a line on standard output.

#include <nlohmann/json.hpp>
#include <string>

namespace lanemoor::standin {

/// \brief Writes events in the order in which they happen, each with its time of day in Unix ms (`at`).
class EventWriter {
public:
    void write(const char* event, nlohmann::json fields);
};

} // namespace lanemoor::standin
