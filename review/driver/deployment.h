#pragma once
/// \file
/// A small deployment on loopback: the project's stand-in of the platform and some entry instances.

#include "../../tests/soak/child.h"
#include "http.h"

#include <fstream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

/// Where the programs, the settings and the logs are.
struct Folders {
    std::string standins; ///< Built by build.sh.
    std::string lanemoor; ///< The program that the build of the deploy file left.
    std::string scratch; ///< Temporary.
};

/// \brief What was sent, answered and run, one JSON object a line.
class Record {
public:
    explicit Record(const std::string& file)
        : m_out(file)
    {
    }

    void write(nlohmann::json line);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

void pause(Millis time);

/// Instances of the platform. Half of them are in the pool `alpha`, the others in `beta`, apart from the reserve.
struct Size {
    unsigned instances = 12;
    unsigned reserve = 4;
    unsigned halls = 3;
};

class Deployment {
public:
    Deployment(Folders folders, Record& record, const Size& size);

    /// \brief Starts the workers. \param addresses Addresses of workers that are reached through a proxy, by instance.
    void beginWorkers(const nlohmann::json& addresses);

    [[nodiscard]] std::string storeAddress() const { return portOf("store"); }
    [[nodiscard]] std::string fleetAddress() const { return portOf("fleet"); }
    [[nodiscard]] std::string workerAddress(const std::string& instance) const { return local(m_ports.at("workers").at(instance).get<unsigned>()); }

    /// \brief Starts an entry instance with the settings of the deploy file, and waits until it is ready.
    /// \throws std::runtime_error if it doesn't become ready.
    void startEntry(unsigned index, const std::string& store, const std::string& fleet = {});

    /// \brief Writes to the store as the operator does.
    void operate(const std::string& key, const nlohmann::json& value);

    /// \returns A value of the store, as the operator reads it; null: there is none.
    [[nodiscard]] nlohmann::json operatorReads(const std::string& key) const;

    /// \brief Calls the interface for clients at an entry instance, and records both ends.
    Answer client(unsigned entry, const std::string& method, const std::string& path, const std::string& body = {}, Millis patience = Millis(3'000));

    /// \brief Calls the stand-in's control interface.
    void control(const std::string& path, const nlohmann::json& body);

    /// \brief Reads and records what the stand-in has written since. \returns All events so far.
    const std::vector<nlohmann::json>& events();

    /// \returns The events of that kind of a job's tasks.
    std::vector<nlohmann::json> eventsOf(const std::string& job, const std::string& event);

private:
    [[nodiscard]] std::string portOf(const char* name) const { return local(m_ports.at(name).get<unsigned>()); }
    [[nodiscard]] static std::string local(unsigned port) { return "127.0.0.1:" + std::to_string(port); }
    [[nodiscard]] static std::string ipOf(unsigned entry);
    [[nodiscard]] nlohmann::json settingsOf(unsigned index, const std::string& store, const std::string& fleet) const;

    Folders m_folders;
    Record& m_record;
    nlohmann::json m_ports;
    std::size_t m_readUpTo = 0;
    std::vector<nlohmann::json> m_events;
    std::vector<std::unique_ptr<lanemoor::soak::Child>> m_children;
};

} // namespace review
