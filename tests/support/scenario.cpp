#include "support/scenario.h"

#include "support/control_loop.h"
#include "support/fleets.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <sstream>

namespace lanemoor::test {

namespace {

constexpr std::uint32_t defaultSteps = 400;
/// Steps from the loss of a holder to the start of its successor.
constexpr std::uint32_t leaseSteps = 3;

using Words = std::vector<std::string>;

struct Line {
    std::size_t number = 0;
    Words words;
};

/// An event of the scenario at one step.
struct Event {
    std::uint32_t step = 0;
    Line line;
};

Words split(const std::string& text)
{
    std::istringstream in(text);
    Words words;
    for (std::string word; in >> word && word.front() != '#';)
        words.push_back(word);
    return words;
}

std::uint32_t parseNumber(const std::string& text)
{
    if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos)
        throw std::invalid_argument("a number is expected, not " + text);
    return static_cast<std::uint32_t>(std::stoul(text));
}

FailureDomain parseDomain(const std::string& text)
{
    const std::map<std::string, FailureDomain> names { { "none", FailureDomain::None }, { "instance", FailureDomain::Instance }, { "rack", FailureDomain::Rack }, { "hall", FailureDomain::DataHall } };
    const auto found = names.find(text);
    if (found == names.end())
        throw std::invalid_argument("a failure domain is expected, not " + text);
    return found->second;
}

/// The holders of the control role, which can be killed, frozen, resumed and duplicated.
struct ControlHolders {
    std::vector<std::unique_ptr<FakeHolder>> running;
    std::vector<std::unique_ptr<FakeHolder>> frozen; ///< With a plan that is not written yet.
    std::vector<std::vector<Action>> delayedActions; ///< Of holders frozen after the write but before the actions.
    std::uint64_t epoch = 0;
    std::optional<std::uint32_t> successorStartStep;
};

class ScenarioRunner {
public:
    explicit ScenarioRunner(std::string_view text) { read(text); }

    ScenarioResult run();

private:
    void read(std::string_view text);
    void setUp(const Line& line);
    void addFleet(const Words& words);
    void addPool(const Words& words);
    void applyEvent(const Line& line);
    void applyControlEvent(const Words& words);
    void applyStoreEvent(const Words& words);
    void applyPoolChange(const Words& words);
    void advance();
    void stepControl();
    void perform(const std::vector<Action>& actions);
    void startHolder();
    void check();
    void runFinalCheck(const Line& line);
    [[nodiscard]] bool isWaveDone() const;
    [[nodiscard]] FleetView truth() const;
    [[nodiscard]] std::uint64_t moves() const;
    Pool& poolNamed(const std::string& name);
    void fail(const Line& line, const std::string& why);
    void recordErrors(const Line& line, const std::function<void()>& command);

    Instances m_instances;
    Configuration m_configuration;
    FakeFleetOptions m_options;
    std::optional<FakeFleet> m_fleet;
    FakeLedgerStore m_store;
    ControlHolders m_control;
    BudgetInvariant m_budgets;
    std::vector<Event> m_events;
    std::vector<Line> m_finalChecks;
    std::uint32_t m_steps = defaultSteps;
    std::uint32_t m_step = 0;
    std::uint64_t m_movesOfStoppedHolders = 0;
    std::map<std::string, std::string> m_poolOf;
    std::uint64_t m_lastVersion = 0;
    ScenarioResult m_result;
};

void ScenarioRunner::fail(const Line& line, const std::string& why)
{
    m_result.failures.push_back("line " + std::to_string(line.number) + ": " + why);
}

void ScenarioRunner::recordErrors(const Line& line, const std::function<void()>& command)
{
    try {
        command();
    } catch (const std::exception& error) {
        fail(line, error.what());
    }
}

void ScenarioRunner::read(std::string_view text)
{
    std::istringstream in { std::string(text) };
    std::size_t number = 0;
    for (std::string rawLine; std::getline(in, rawLine);) {
        const Line line { .number = ++number, .words = split(rawLine) };
        if (line.words.empty())
            continue;
        recordErrors(line, [&] {
            if (line.words[0] == "at")
                m_events.push_back({ .step = parseNumber(line.words.at(1)), .line = { .number = number, .words = Words(line.words.begin() + 2, line.words.end()) } });
            else if (line.words[0] == "finally")
                m_finalChecks.push_back({ .number = number, .words = Words(line.words.begin() + 1, line.words.end()) });
            else
                setUp(line);
        });
    }
    std::stable_sort(m_events.begin(), m_events.end(), [](const Event& a, const Event& b) { return a.step < b.step; });
}

void ScenarioRunner::setUp(const Line& line)
{
    const Words& words = line.words;
    if (words[0] == "fleet")
        addFleet(words);
    else if (words[0] == "pool")
        addPool(words);
    else if (words[0] == "weights")
        m_configuration.weights = { .moves = parseNumber(words.at(2)), .rollOut = parseNumber(words.at(4)) };
    else if (words[0] == "lag")
        m_options.listLagSteps = parseNumber(words.at(1));
    else if (words[0] == "platform" && words.at(1) == "ignores-epochs")
        m_options.checksEpochs = false;
    else if (words[0] == "steps")
        m_steps = parseNumber(words.at(1));
    else
        throw std::invalid_argument("unknown word " + words[0]);
}

void ScenarioRunner::addFleet(const Words& words)
{
    const std::uint32_t halls = parseNumber(words.at(2));
    const std::uint32_t racks = parseNumber(words.at(4));
    const std::uint32_t workers = parseNumber(words.at(6));
    for (std::uint32_t i = 0; i < halls * racks * workers; ++i) {
        const std::uint32_t rack = i / workers;
        Instance instance;
        instance.id = "w" + std::to_string(100 + i);
        instance.rack = "rack" + std::to_string(rack);
        instance.dataHall = "hall" + std::to_string(rack / racks);
        instance.bootId = 1;
        instance.labels = LabelSet({ { "role", "worker" }, { "rack", instance.rack } });
        m_instances.push_back(std::move(instance));
    }
}

void ScenarioRunner::addPool(const Words& words)
{
    Pool pool { .name = words.at(1) };
    for (std::size_t i = 2; i + 1 < words.size(); i += 2) {
        if (words[i] == "select")
            pool.selector = selectorOf(words[i + 1]);
        else if (words[i] == "minimum")
            pool.budget.minimum = parseNumber(words[i + 1]);
        else if (words[i] == "survives")
            pool.budget.survives = parseDomain(words[i + 1]);
        else if (words[i] == "wanted")
            pool.wanted = parseNumber(words[i + 1]);
        else if (words[i] == "priority")
            pool.priority = static_cast<std::int32_t>(parseNumber(words[i + 1]));
        else
            throw std::invalid_argument("unknown word " + words[i]);
    }
    m_configuration.pools.push_back(std::move(pool));
    std::sort(m_configuration.pools.begin(), m_configuration.pools.end(), [](const Pool& a, const Pool& b) { return a.name < b.name; });
}

Pool& ScenarioRunner::poolNamed(const std::string& name)
{
    for (Pool& pool : m_configuration.pools) {
        if (pool.name == name)
            return pool;
    }
    throw std::invalid_argument("no pool " + name);
}

void ScenarioRunner::applyEvent(const Line& line)
{
    const Words& words = line.words;
    const std::string& command = words.at(0);
    if (command == "wave")
        m_configuration.maintenance.waveRequestedAt = m_fleet->now();
    else if (command == "fail")
        m_fleet->fail(words.at(1));
    else if (command == "recover")
        m_fleet->recover(words.at(1));
    else if (command == "failing" || command == "well")
        m_fleet->setFailing(words.at(1), command == "failing");
    else if (command == "lost-at-reboot")
        m_fleet->failAtReboot(words.at(1));
    else if (command == "drain")
        m_configuration.drains.push_back(words.at(1));
    else if (command == "undrain")
        std::erase(m_configuration.drains, words.at(1));
    else if (command == "relabel")
        m_fleet->relabel(words.at(1), LabelSet({ { "role", words.at(2) } }));
    else if (command == "control")
        applyControlEvent(words);
    else if (command == "store")
        applyStoreEvent(words);
    else if (command == "set")
        applyPoolChange(words);
    else
        throw std::invalid_argument("unknown act " + command);
}

void ScenarioRunner::applyPoolChange(const Words& words)
{
    Pool& pool = poolNamed(words.at(1));
    if (words.at(2) == "minimum")
        pool.budget.minimum = parseNumber(words.at(3));
    else if (words.at(2) == "select")
        pool.selector = selectorOf(words.at(3));
    else if (words.at(2) == "wanted")
        pool.wanted = parseNumber(words.at(3));
    else
        throw std::invalid_argument("unknown word " + words.at(2));
}

void ScenarioRunner::applyStoreEvent(const Words& words)
{
    if (words.at(1) == "away" || words.at(1) == "back")
        m_store.setUnavailable(words.at(1) == "away");
    else if (words.at(1) == "loses-answers")
        m_store.loseNextResponses(static_cast<int>(parseNumber(words.at(2))));
    else
        throw std::invalid_argument("unknown word " + words.at(1));
}

void ScenarioRunner::applyControlEvent(const Words& words)
{
    const std::string& command = words.at(1);
    if (command == "two") {
        startHolder();
        return;
    }
    if (command == "wakes") {
        for (std::unique_ptr<FakeHolder>& holder : m_control.frozen) {
            if (holder->write(m_store))
                perform(holder->actions(m_configuration, *m_fleet));
            m_movesOfStoppedHolders += holder->acceptedMoves();
        }
        m_control.frozen.clear();
        for (const std::vector<Action>& actions : m_control.delayedActions)
            perform(actions);
        m_control.delayedActions.clear();
        return;
    }
    if (m_control.running.empty())
        throw std::invalid_argument("nobody holds the control role");
    std::unique_ptr<FakeHolder> holder = std::move(m_control.running.back());
    m_control.running.pop_back();
    holder->decide(m_store, m_configuration, *m_fleet);
    if (command == "freezes") {
        m_control.frozen.push_back(std::move(holder));
    } else if (command == "freezes-before-acting") {
        if (holder->write(m_store))
            m_control.delayedActions.push_back(holder->actions(m_configuration, *m_fleet));
        m_movesOfStoppedHolders += holder->acceptedMoves();
    } else if (command == "killed") {
        m_movesOfStoppedHolders += holder->acceptedMoves();
    } else {
        throw std::invalid_argument("unknown word " + command);
    }
    m_control.successorStartStep = m_step + leaseSteps;
}

void ScenarioRunner::startHolder()
{
    m_control.running.push_back(std::make_unique<FakeHolder>(++m_control.epoch, std::make_unique<StickyMembershipPlanner>()));
}

void ScenarioRunner::perform(const std::vector<Action>& actions)
{
    for (const Action& action : actions) {
        const LedgerEntry* entry = m_store.truth().find(action.instance);
        const bool isPermitted = action.kind == ActionKind::Undrain || (entry && entry->grant);
        if (m_fleet->perform(action) && !isPermitted)
            m_result.failures.push_back("step " + std::to_string(m_step) + ": " + std::string(describe(InvariantCode::GrantMissing)) + ": " + action.instance);
    }
}

void ScenarioRunner::stepControl()
{
    if (m_control.successorStartStep && m_step >= *m_control.successorStartStep) {
        m_control.successorStartStep.reset();
        startHolder();
    }
    // All holders plan on the same state before any of them writes, which is the tightest race.
    for (const std::unique_ptr<FakeHolder>& holder : m_control.running)
        holder->decide(m_store, m_configuration, *m_fleet);
    for (const std::unique_ptr<FakeHolder>& holder : m_control.running) {
        if (holder->write(m_store))
            perform(holder->actions(m_configuration, *m_fleet));
    }
}

FleetView ScenarioRunner::truth() const
{
    return { .configuration = m_configuration, .ledger = m_store.truth(), .instances = m_fleet->truth(), .now = m_fleet->now() };
}

std::uint64_t ScenarioRunner::moves() const
{
    std::uint64_t all = m_movesOfStoppedHolders;
    for (const std::unique_ptr<FakeHolder>& holder : m_control.running)
        all += holder->acceptedMoves();
    return all;
}

void ScenarioRunner::check()
{
    const auto recordFailure = [&](const std::string& what) { m_result.failures.push_back("step " + std::to_string(m_step) + ": " + what); };
    for (const InvariantBreach& breach : m_budgets.check(truth()))
        recordFailure(std::string(describe(breach.code)) + ": " + breach.subject);
    std::set<std::string> seen;
    for (const LedgerEntry& entry : m_store.truth().entries) {
        if (!seen.insert(entry.instance).second)
            recordFailure(entry.instance + " stands in the ledger twice");
    }
    if (m_store.truth().version < m_lastVersion)
        recordFailure("the ledger went back");
    m_lastVersion = m_store.truth().version;
}

bool ScenarioRunner::isWaveDone() const
{
    const WaveProgress progress = waveProgress(truth());
    return m_configuration.maintenance.waveRequestedAt != Instant {} && progress.due == progress.lost;
}

void ScenarioRunner::runFinalCheck(const Line& line)
{
    const Words& words = line.words;
    if (words.at(0) == "wave") {
        if (!isWaveDone())
            fail(line, std::to_string(waveProgress(truth()).due) + " instances are still due");
        return;
    }
    if (words.at(0) == "moves") {
        if (moves() > parseNumber(words.at(3)))
            fail(line, std::to_string(moves()) + " moves");
        return;
    }
    if (words.at(0) == "granted") {
        const auto& entries = m_store.truth().entries;
        const auto granted = std::count_if(entries.begin(), entries.end(), [](const LedgerEntry& entry) { return entry.grant.has_value(); });
        if (granted != parseNumber(words.at(1)))
            fail(line, std::to_string(granted) + " grants stand");
        return;
    }
    if (words.at(0) != "pool")
        throw std::invalid_argument("unknown word " + words.at(0));
    static_cast<void>(poolNamed(words.at(1)));
    for (const PoolStatus& status : poolStatuses(truth())) {
        if (status.pool != words.at(1))
            continue;
        if (words.at(2) == "stands-well" && status.slack < 0)
            fail(line, "it would not outlive the loss of its largest failure domain");
        else if (words.at(2) != "stands-well" && status.inService < parseNumber(words.at(3)))
            fail(line, std::to_string(status.inService) + " instances in service");
    }
}

void ScenarioRunner::advance()
{
    for (; !m_events.empty() && m_events.front().step <= m_step; m_events.erase(m_events.begin())) {
        const Line line = m_events.front().line;
        recordErrors(line, [&] { applyEvent(line); });
    }
    check(); // Checks the effect of the events before the holders react.
    stepControl();
    check();
    m_fleet->advance();
    check();
}

ScenarioResult ScenarioRunner::run()
{
    m_fleet.emplace(m_instances, m_options);
    m_configuration.revision = 1;
    startHolder();
    for (; m_step < m_steps; ++m_step) {
        advance();
        if (m_events.empty() && isWaveDone())
            break;
    }
    for (const Line& line : m_finalChecks)
        recordErrors(line, [&] { runFinalCheck(line); });
    m_result.summary = std::to_string(m_step) + " steps, " + std::to_string(moves()) + " moves, " + std::to_string(m_store.writes()) + " writes";
    for (const PoolStatus& status : poolStatuses(truth()))
        m_result.summary += "\n  " + status.pool + ": " + std::to_string(status.inService) + " in service, minimum " + std::to_string(status.minimum) + ", slack " + std::to_string(status.slack) + ", " + std::to_string(status.granted) + " granted";
    for (const std::unique_ptr<FakeHolder>& holder : m_control.running) {
        for (const PoolCondition& condition : holder->lastPlan().conditions)
            m_result.summary += "\n  " + condition.pool + ": " + std::string(describe(condition.code)) + " (" + std::to_string(condition.instances) + ")";
    }
    return std::move(m_result);
}

} // namespace

ScenarioResult runScenario(std::string_view text)
{
    return ScenarioRunner(text).run();
}

} // namespace lanemoor::test
