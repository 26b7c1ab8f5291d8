/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibPlatform/HttpCall.h>
#include <LibRouter/EngineControl.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace Router {

using Poco::JSON::Array;
using Poco::JSON::Object;

static Error engine_failed(std::string const& detail)
{
    return { ErrorKind::BackendServerFailed, "an engine did not answer (" + detail + "); it gets no new work", {} };
}

static EngineReport read_report(Object const& object)
{
    EngineReport report;
    report.used_tokens = object.getValue<double>("used_tokens");
    report.capacity_tokens = object.getValue<double>("capacity_tokens");
    report.running = object.getValue<Poco::UInt32>("running");
    report.waiting = object.getValue<Poco::UInt32>("waiting");
    report.steps = object.getValue<double>("steps");
    report.preemptions = object.optValue<double>("preemptions", 0);
    report.age = std::chrono::milliseconds(object.optValue<Poco::Int64>("age_milliseconds", 0));
    report.is_leaving = object.optValue<bool>("leaving", false);
    report.cache_sequence = object.optValue<Poco::UInt64>("cache_sequence", 0);
    report.cache_has_gap = object.optValue<bool>("cache_has_gap", false);
    if (auto array = object.getArray("generations")) {
        for (unsigned i = 0; i < array->size(); ++i)
            report.generations.emplace_back(array->getElement<std::string>(i));
    }
    if (auto array = object.getArray("adapters")) {
        for (unsigned i = 0; i < array->size(); ++i)
            report.adapters.push_back(array->getElement<std::string>(i));
    }
    if (auto array = object.getArray("cache_events")) {
        for (unsigned i = 0; i < array->size(); ++i) {
            auto event = array->getObject(i);
            report.cache_events.emplace_back(
                event->getValue<Poco::UInt64>("prefix_hash"), event->getValue<bool>("present"));
        }
    }
    return report;
}

Result<EngineReport> fetch_report(Address const& address, u64 after_cache_sequence, Duration timeout)
{
    auto path = "/v1/load?after_cache_sequence=" + std::to_string(after_cache_sequence);
    auto response = Platform::call_http(address, { "GET", path, {}, {} }, timeout);
    if (!response)
        return engine_failed(response.error().detail);
    if (response.value().status != 200)
        return engine_failed("status " + std::to_string(response.value().status));
    try {
        Poco::JSON::Parser parser;
        return read_report(*parser.parse(response.value().body).extract<Object::Ptr>());
    } catch (Poco::Exception const& exception) {
        return engine_failed(exception.displayText());
    }
}

Result<void> send_order(Address const& address, EngineOrder const& order, Duration timeout)
{
    Object body;
    body.set("epoch", static_cast<Poco::UInt64>(order.epoch.value()));
    body.set("revision", static_cast<Poco::UInt64>(order.revision.value()));
    Array adapters;
    for (auto const& adapter : order.adapters)
        adapters.add(adapter);
    body.set("adapters", adapters);
    std::ostringstream text;
    body.stringify(text);
    auto response = Platform::call_http(address, { "POST", "/v1/orders", text.str(), {} }, timeout);
    if (!response)
        return engine_failed(response.error().detail);
    if (response.value().status == 409)
        return Error { ErrorKind::FencedOut, "a later order has reached the engine; this one is dropped", {} };
    if (response.value().status != 200)
        return engine_failed("status " + std::to_string(response.value().status));
    return success();
}

}
