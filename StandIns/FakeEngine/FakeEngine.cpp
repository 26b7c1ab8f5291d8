/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <StandIns/FakeEngine/FakeEngine.h>
#include <algorithm>
#include <array>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <fstream>
#include <sstream>
#include <xxhash.h>

namespace StandIns {

using Poco::JSON::Array;
using Poco::JSON::Object;

static constexpr Duration keep_alive_period = 300ms;
static constexpr Duration max_idle_wait = 50ms;
static constexpr size_t max_cache_events = 64;
static constexpr i64 bytes_per_token = 4;
static constexpr auto words = std::to_array<std::string_view>({ "the ", "lane ", "was ", "closed ", "because ",
    "barrier ", "sensor ", "reported ", "a ", "vehicle ", "and ", "card ", "sale ", "refused ", "after ", "plaza " });

static std::string to_text(Object const& object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

static i64 output_length(std::string const& prompt, i64 maximum)
{
    constexpr std::string_view directive = "[tokens=";
    auto found = prompt.find(directive);
    if (found != std::string::npos)
        return std::clamp<i64>(std::atoll(prompt.c_str() + found + directive.size()), 1, maximum);
    boost::random::mt19937 random(static_cast<u32>(XXH32(prompt.data(), prompt.size(), 0)));
    boost::random::lognormal_distribution<double> lengths(4.0, 0.9);
    return std::clamp<i64>(static_cast<i64>(lengths(random)), 1, maximum);
}

FakeEngine::FakeEngine(Address const& listen, FakeEngineOptions options)
    : options(std::move(options))
    , engine(this->options.parameters)
    , server(std::make_unique<HttpStandIn>(
          listen, [this](auto& request, auto& response) { this->serve(request, response); }))
    , stepper([this] { this->step_forever(); })
{
}

FakeEngine::~FakeEngine()
{
    this->stopping = true;
    this->notify_change();
    this->stepper.join();
    this->server.reset();
}

void FakeEngine::notify_change()
{
    this->changed.notify_all();
    if (this->options.on_change)
        this->options.on_change();
}

void FakeEngine::step_forever()
{
    std::vector<EngineModel::StepEvent> events;
    while (!this->stopping) {
        Duration duration;
        {
            std::unique_lock lock(this->mutex);
            this->stop_orphans();
            if (this->engine.is_idle()) {
                this->changed.wait_for(lock, max_idle_wait);
                continue;
            }
            events.clear();
            duration = this->engine.step(events);
        }
        std::unique_lock lock(this->mutex);
        this->wait_for_step(lock, duration);
        this->apply_step_events(events);
        this->past_loads.emplace_back(AK::BootClock::now(), this->engine.load());
        while (
            this->past_loads.size() > 1 && this->past_loads[1].first <= AK::BootClock::now() - this->options.report_age)
            this->past_loads.pop_front();
        this->notify_change();
    }
}

void FakeEngine::wait_for_step(std::unique_lock<std::mutex>& lock, Duration duration)
{
    auto began = AK::BootClock::now();
    // The time scale may change, or the stand-in may be stopped, during a long step.
    while (!this->stopping && AK::BootClock::now() < began + this->scaled(duration))
        this->changed.wait_until(lock, std::min(began + this->scaled(duration), AK::BootClock::now() + max_idle_wait));
}

Duration FakeEngine::scaled(Duration duration) const
{
    return AK::from_seconds(AK::to_seconds(duration) * this->options.time_scale);
}

void FakeEngine::apply_step_events(std::vector<EngineModel::StepEvent> const& events)
{
    for (auto const& event : events) {
        if (event.kind == EngineModel::StepEventKind::PrefixCached
            || event.kind == EngineModel::StepEventKind::PrefixEvicted) {
            this->cache_events.emplace_back(event.key, event.kind == EngineModel::StepEventKind::PrefixCached);
            if (this->cache_events.size() > max_cache_events) {
                this->cache_events.pop_front();
                ++this->cache_events_dropped;
            }
            continue;
        }
        auto found = this->execution_of_key.find(event.key);
        if (found == this->execution_of_key.end())
            continue;
        auto& execution = *found->second;
        if (event.kind == EngineModel::StepEventKind::Token)
            execution.tokens.push_back(this->token_text(execution.key, execution.tokens.size()));
        else if (event.kind == EngineModel::StepEventKind::Finished)
            execution.is_finished = true;
    }
}

std::string FakeEngine::token_text(u64 key, size_t offset) const
{
    auto seed = XXH64(this->options.name.data(), this->options.name.size(), key);
    return std::string(words[XXH64(&offset, sizeof(offset), seed) % words.size()]);
}

void FakeEngine::stop_orphans()
{
    auto now = AK::BootClock::now();
    for (auto const& [generation, execution] : this->executions) {
        if (execution->is_finished || execution->is_cancelled || execution->attached > 0
            || now - execution->unattached_since < this->options.orphan_limit)
            continue;
        execution->is_cancelled = true;
        this->engine.cancel(execution->key);
    }
}

void FakeEngine::wait_while_frozen()
{
    std::unique_lock lock(this->mutex);
    while (this->is_frozen && !this->stopping)
        this->changed.wait_for(lock, max_idle_wait);
}

void FakeEngine::serve(Request& request, Response& response)
{
    auto path = path_of(request);
    constexpr std::string_view control_prefix = "/control/";
    if (path == "/control/history") {
        send_response(response, 200, this->history());
        return;
    }
    if (path.starts_with(control_prefix)) {
        this->control(path.substr(control_prefix.size()), query_of(request));
        send_response(response, 200, "{}");
        return;
    }
    this->wait_while_frozen();
    constexpr std::string_view generation_prefix = "/v1/generations/";
    if (request.getMethod() == "POST" && path == "/v1/generations") {
        this->serve_start(request, response);
    } else if (path.starts_with(generation_prefix)) {
        auto rest = path.substr(generation_prefix.size());
        auto generation = rest.substr(0, rest.find('/'));
        if (request.getMethod() == "DELETE")
            this->serve_cancel(request, response, generation);
        else
            this->serve_resume(request, response, generation);
    } else if (path == "/v1/load") {
        this->serve_load(request, response);
    } else if (path == "/v1/orders") {
        this->serve_order(request, response);
    } else {
        send_response(response, 404, "{}");
    }
}

void FakeEngine::control(std::string const& action, std::map<std::string, std::string> const& query)
{
    std::lock_guard lock(this->mutex);
    if (action == "leave")
        this->is_leaving = true;
    else if (action == "stay")
        this->is_leaving = false;
    else if (action == "freeze")
        this->is_frozen = true;
    else if (action == "thaw")
        this->is_frozen = false;
    else if (action == "cut")
        // Closes every open stream; the executions continue.
        ++this->disconnect_count;
    else if (action == "forget") {
        // Simulates a restart, after which all executions are lost.
        for (auto& [generation, execution] : this->executions) {
            execution->is_cancelled = true;
            this->engine.cancel(execution->key);
        }
        this->executions.clear();
        ++this->disconnect_count;
    } else if (action == "scale") {
        auto factor = query.find("factor");
        if (factor != query.end())
            this->options.time_scale = std::stod(factor->second);
    }
    this->notify_change();
}

void FakeEngine::serve_start(Request& request, Response& response)
{
    Poco::JSON::Parser parser;
    auto body = parser.parse(read_body(request)).extract<Object::Ptr>();
    auto generation = body->getValue<std::string>("generation");
    auto attempt = body->getValue<u32>("attempt");
    auto prompt = body->getValue<std::string>("prompt");
    std::shared_ptr<Execution> execution;
    {
        std::lock_guard lock(this->mutex);
        if (this->is_leaving) {
            send_response(response, 503, "{}", { { "Lilactiller-Not-Started", "leaving" } });
            return;
        }
        auto& fenced_attempt = this->fenced_attempts[generation];
        if (attempt <= fenced_attempt) {
            send_response(response, 409, "{}", { { "Lilactiller-Not-Started", "fenced" } });
            return;
        }
        fenced_attempt = attempt;
        if (auto older = this->executions.find(generation); older != this->executions.end()) {
            older->second->is_cancelled = true;
            this->engine.cancel(older->second->key);
        }
        execution = std::make_shared<Execution>();
        execution->key = this->next_key++;
        execution->generation = generation;
        execution->attempt = attempt;
        execution->name = this->options.name + '-' + std::to_string(execution->key);
        execution->unattached_since = AK::BootClock::now();
        this->executions[generation] = execution;
        this->execution_of_key[execution->key] = execution;
        this->started_executions.push_back(execution);
        auto length = output_length(prompt, static_cast<i64>(body->getValue<Poco::UInt64>("maximum_output_tokens")));
        this->write_plan(*execution, length);
        this->engine.start({ execution->key, static_cast<i64>(prompt.size()) / bytes_per_token + 1, length,
            body->optValue<int>("priority", 0), body->optValue<Poco::UInt64>("prefix_hash", 0) });
        this->notify_change();
    }
    this->stream(request, response, execution, 0);
}

void FakeEngine::serve_resume(Request& request, Response& response, std::string const& generation)
{
    auto query = query_of(request);
    std::shared_ptr<Execution> execution;
    {
        std::lock_guard lock(this->mutex);
        auto found = this->executions.find(generation);
        if (found != this->executions.end() && !found->second->is_cancelled
            && std::to_string(found->second->attempt) == query["attempt"])
            execution = found->second;
    }
    if (!execution) {
        send_response(response, 404, "{}");
        return;
    }
    this->stream(request, response, execution, std::stoull(query["next_offset"]));
}

void FakeEngine::serve_cancel(Request& request, Response& response, std::string const& generation)
{
    auto query = query_of(request);
    auto attempt = static_cast<u32>(std::stoul(query["attempt"]));
    std::lock_guard lock(this->mutex);
    auto found = this->executions.find(generation);
    // A cancellation from an earlier attachment is ignored once a later stream has attached to the generation.
    auto is_superseded = found != this->executions.end() && query.contains("attachment")
        && std::stoull(query["attachment"]) < found->second->attachments;
    if (!is_superseded) {
        this->fenced_attempts[generation] = std::max(this->fenced_attempts[generation], attempt);
        if (found != this->executions.end() && found->second->attempt <= attempt) {
            found->second->is_cancelled = true;
            this->engine.cancel(found->second->key);
            this->notify_change();
        }
    }
    send_response(response, 200, "{}");
}

bool FakeEngine::write_new_tokens(
    Response&, std::ostream& output, Execution& execution, u64& next_offset, bool& is_done)
{
    std::vector<std::string> new_tokens;
    bool is_finished = false;
    u64 total = 0;
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, keep_alive_period, [&] {
            return execution.tokens.size() > next_offset || execution.is_finished || execution.is_cancelled
                || this->stopping;
        });
        if (execution.is_cancelled || this->stopping)
            return false;
        auto from = std::min<size_t>(next_offset, execution.tokens.size());
        new_tokens.assign(execution.tokens.begin() + static_cast<std::ptrdiff_t>(from), execution.tokens.end());
        is_finished = execution.is_finished;
        total = execution.tokens.size();
    }
    for (auto const& token : new_tokens) {
        Object object;
        object.set("attempt", execution.attempt);
        object.set("execution", execution.name);
        object.set("offset", static_cast<Poco::UInt64>(next_offset++));
        object.set("token", token);
        output << "data: " << to_text(object) << "\n\n";
    }
    if (new_tokens.empty())
        output << ": keep-alive\n\n";
    if (is_finished) {
        output << "data: {\"total\":" << total << "}\n\n";
        is_done = true;
    }
    output << std::flush;
    return output.good();
}

void FakeEngine::stream(
    Request& request, Response& response, std::shared_ptr<Execution> const& execution, u64 next_offset)
{
    u64 seen_disconnect_count = 0;
    {
        std::lock_guard lock(this->mutex);
        response.set("Lilactiller-Attachment", std::to_string(++execution->attachments));
        ++execution->attached;
        seen_disconnect_count = this->disconnect_count;
    }
    response.setContentType("text/event-stream");
    response.setChunkedTransferEncoding(true);
    auto& output = response.send();
    output << std::flush;
    bool is_done = false;
    while (!is_done) {
        this->wait_while_frozen();
        {
            std::lock_guard lock(this->mutex);
            if (this->disconnect_count != seen_disconnect_count)
                break;
        }
        if (!this->write_new_tokens(response, output, *execution, next_offset, is_done))
            break;
    }
    {
        std::lock_guard lock(this->mutex);
        --execution->attached;
        execution->unattached_since = AK::BootClock::now();
    }
    if (!is_done)
        close_connection(request);
}

std::string FakeEngine::load_json(u64 after_cache_sequence)
{
    auto load = this->past_loads.empty() || this->options.report_age == 0s ? this->engine.load()
                                                                           : this->past_loads.front().second;
    Object object;
    object.set("used_tokens", static_cast<Poco::Int64>(load.used_tokens));
    object.set("capacity_tokens", static_cast<Poco::Int64>(this->options.parameters.capacity_tokens));
    object.set("running", load.running);
    object.set("waiting", load.waiting);
    object.set("steps", static_cast<Poco::UInt64>(load.steps));
    object.set("preemptions", static_cast<Poco::UInt64>(load.preemptions));
    object.set("age_milliseconds", static_cast<Poco::Int64>(AK::to_milliseconds(this->options.report_age)));
    object.set("leaving", this->is_leaving);
    Array generations;
    for (auto const& [id, execution] : this->executions) {
        if (!execution->is_finished && !execution->is_cancelled)
            generations.add(id);
    }
    object.set("generations", generations);
    Array adapter_names;
    for (auto const& adapter : this->adapters)
        adapter_names.add(adapter);
    object.set("adapters", adapter_names);
    Array events;
    for (size_t i = 0; i < this->cache_events.size(); ++i) {
        if (this->cache_events_dropped + i < after_cache_sequence)
            continue;
        Object event;
        event.set("prefix_hash", static_cast<Poco::UInt64>(this->cache_events[i].first));
        event.set("present", this->cache_events[i].second);
        events.add(event);
    }
    object.set("cache_events", events);
    object.set("cache_sequence", static_cast<Poco::UInt64>(this->cache_events_dropped + this->cache_events.size()));
    object.set("cache_has_gap", after_cache_sequence < this->cache_events_dropped);
    return to_text(object);
}

void FakeEngine::serve_load(Request& request, Response& response)
{
    auto query = query_of(request);
    auto after = query["after_cache_sequence"].empty() ? 0 : std::stoull(query["after_cache_sequence"]);
    std::lock_guard lock(this->mutex);
    send_response(response, 200, this->load_json(after));
}

void FakeEngine::serve_order(Request& request, Response& response)
{
    Poco::JSON::Parser parser;
    auto body = parser.parse(read_body(request)).extract<Object::Ptr>();
    auto epoch = body->getValue<Poco::UInt64>("epoch");
    auto revision = body->getValue<Poco::UInt64>("revision");
    std::lock_guard lock(this->mutex);
    auto is_older = std::pair<u64, u64>(epoch, revision) < std::pair(this->highest_epoch, this->highest_revision);
    if (this->options.checks_epochs && is_older) {
        send_response(response, 409, "{}");
        return;
    }
    this->highest_epoch = epoch;
    this->highest_revision = revision;
    this->adapters.clear();
    auto names = body->getArray("adapters");
    for (unsigned i = 0; i < names->size(); ++i)
        this->adapters.push_back(names->getElement<std::string>(i));
    this->orders_done.push_back(std::to_string(epoch) + ':' + std::to_string(revision));
    send_response(response, 200, "{}");
}

static std::string history_line(std::string const& name, std::string const& generation, u32 attempt, bool is_finished,
    std::vector<std::string> const& tokens)
{
    Object line;
    line.set("execution", name);
    line.set("generation", generation);
    line.set("attempt", attempt);
    line.set("finished", is_finished);
    Array array;
    for (auto const& token : tokens)
        array.add(token);
    line.set("tokens", array);
    return to_text(line) + '\n';
}

void FakeEngine::write_plan(Execution const& execution, i64 output_tokens)
{
    if (this->options.history_path.empty())
        return;
    std::vector<std::string> tokens;
    for (size_t offset = 0; offset < static_cast<size_t>(output_tokens); ++offset)
        tokens.push_back(this->token_text(execution.key, offset));
    std::ofstream(this->options.history_path, std::ios::app)
        << history_line(execution.name, execution.generation, execution.attempt, true, tokens);
}

std::string FakeEngine::history()
{
    std::lock_guard lock(this->mutex);
    std::string lines;
    for (auto const& execution : this->started_executions)
        lines += history_line(
            execution->name, execution->generation, execution->attempt, execution->is_finished, execution->tokens);
    return lines;
}

std::vector<std::string> FakeEngine::orders()
{
    std::lock_guard lock(this->mutex);
    return this->orders_done;
}

}
