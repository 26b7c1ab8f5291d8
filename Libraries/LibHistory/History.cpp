/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHistory/History.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <set>
#include <sstream>

namespace History {

using Poco::JSON::Object;

template<typename T>
static std::vector<T> read_array(Object const& object, std::string const& key)
{
    std::vector<T> values;
    if (auto array = object.getArray(key)) {
        for (unsigned i = 0; i < array->size(); ++i)
            values.push_back(array->getElement<T>(i));
    }
    return values;
}

static void read_object(Object const& object, Record& record)
{
    auto kind = object.optValue<std::string>("kind", "");
    auto text = [&](char const* key) { return object.optValue<std::string>(key, ""); };
    if (kind == "generation") {
        record.generations.push_back({ text("generation"), text("outcome"), read_array<u64>(object, "offsets"),
            read_array<std::string>(object, "tokens") });
    } else if (kind == "call") {
        record.calls.push_back(
            { text("call"), text("key"), text("path"), object.optValue<bool>("repeatable", false), text("outcome") });
    } else if (kind == "revision") {
        record.revisions.push_back({ text("member"), object.optValue<Poco::UInt64>("incarnation", 0),
            object.getValue<Poco::UInt64>("revision") });
    } else if (object.has("execution")) {
        record.executions.push_back({ text("execution"), text("generation"), object.getValue<u32>("attempt"),
            object.getValue<bool>("finished"), read_array<std::string>(object, "tokens") });
    } else if (object.has("call")) {
        record.service_executions.push_back({ text("call"), text("key"), text("path") });
    }
}

Result<void> read_lines(std::string const& text, Record& record)
{
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line.empty())
            continue;
        try {
            Poco::JSON::Parser parser;
            read_object(*parser.parse(line).extract<Object::Ptr>(), record);
        } catch (Poco::Exception const& exception) {
            return Error { ErrorKind::InvalidRequest,
                "not a line of a history (" + exception.displayText() + "): " + line, {} };
        }
    }
    return success();
}

static bool is_prefix_of(std::vector<std::string> const& shorter, std::vector<std::string> const& longer)
{
    return shorter.size() <= longer.size() && std::equal(shorter.begin(), shorter.end(), longer.begin());
}

static void check_generation(
    DeliveredGeneration const& delivered, std::vector<Execution const*> const& runs, std::vector<Violation>& found)
{
    for (size_t i = 0; i < delivered.offsets.size(); ++i) {
        if (delivered.offsets[i] != i) {
            found.push_back({ "exactly once, in order",
                delivered.generation + ": offset " + std::to_string(delivered.offsets[i]) + " in place of "
                    + std::to_string(i) });
            return;
        }
    }
    if (delivered.tokens.empty() && delivered.outcome != "completed")
        return;
    auto matches = [&](Execution const* run) {
        if (delivered.outcome == "completed")
            return run->is_finished && run->tokens == delivered.tokens;
        return is_prefix_of(delivered.tokens, run->tokens);
    };
    if (!std::ranges::any_of(runs, matches))
        found.push_back({ "from a single generation, whole",
            delivered.generation + ": the tokens are those of no single execution" });
}

std::vector<Violation> check_delivery(Record const& record)
{
    std::map<std::string, std::vector<Execution const*>> runs;
    for (auto const& execution : record.executions)
        runs[execution.generation].push_back(&execution);
    std::vector<Violation> found;
    for (auto const& delivered : record.generations)
        check_generation(delivered, runs[delivered.generation], found);
    return found;
}

std::vector<Violation> check_not_run(Record const& record)
{
    std::set<std::string> run_generations;
    for (auto const& execution : record.executions)
        run_generations.insert(execution.generation);
    std::set<std::string> run_calls;
    for (auto const& execution : record.service_executions)
        run_calls.insert(execution.call);
    std::vector<Violation> found;
    for (auto const& delivered : record.generations) {
        if (delivered.outcome == "not_run" && run_generations.contains(delivered.generation))
            found.push_back({ "not run means not run", delivered.generation + " ran" });
    }
    for (auto const& call : record.calls) {
        if (call.outcome == "not_run" && run_calls.contains(call.call))
            found.push_back({ "not run means not run", call.call + " ran" });
    }
    return found;
}

std::vector<Violation> check_at_most_once(Record const& record)
{
    std::set<std::string> repeatable_calls;
    for (auto const& call : record.calls) {
        if (call.is_repeatable)
            repeatable_calls.insert(call.call);
    }
    std::map<std::string, int> by_call;
    std::map<std::string, int> by_key;
    for (auto const& execution : record.service_executions) {
        ++by_call[execution.call];
        if (!execution.idempotency_key.empty())
            ++by_key[execution.idempotency_key];
    }
    std::vector<Violation> found;
    for (auto const& [call, count] : by_call) {
        if (count > 1 && !repeatable_calls.contains(call))
            found.push_back({ "at most once", call + " ran " + std::to_string(count) + " times" });
    }
    for (auto const& [key, count] : by_key) {
        if (count > 1)
            found.push_back({ "at most once", "key " + key + " ran " + std::to_string(count) + " times" });
    }
    return found;
}

std::vector<Violation> check_revisions_monotonic(Record const& record)
{
    std::map<std::pair<std::string, u64>, u64> last;
    std::vector<Violation> found;
    for (auto const& observed : record.revisions) {
        auto& previous = last[{ observed.member, observed.incarnation }];
        if (observed.revision < previous)
            found.push_back({ "never reverts",
                observed.member + " went from revision " + std::to_string(previous) + " back to "
                    + std::to_string(observed.revision) });
        previous = std::max(previous, observed.revision);
    }
    return found;
}

std::vector<Violation> check_all(Record const& record)
{
    std::vector<Violation> all;
    for (auto check : { check_delivery, check_not_run, check_at_most_once, check_revisions_monotonic }) {
        auto found = check(record);
        all.insert(all.end(), found.begin(), found.end());
    }
    return all;
}

}
