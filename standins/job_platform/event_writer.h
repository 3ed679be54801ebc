#pragma once
/// \file
/// The stand-in's event output: one JSON object per line on standard output.

#include <nlohmann/json.hpp>
#include <string>

namespace lanemoor::standin {

/// \brief Writes events in order of occurrence, each with its time in Unix ms (`at`).
class EventWriter {
public:
    void write(const char* event, nlohmann::json fields);
};

} // namespace lanemoor::standin
