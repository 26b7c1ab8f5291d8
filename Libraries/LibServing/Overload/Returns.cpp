/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/Overload/Returns.h>
#include <boost/random/uniform_real_distribution.hpp>

namespace Serving {

/// Slots per message and service, at about 30 bytes each.
static constexpr size_t max_announced_slots = 8;
/// Prompt tokens that an engine reads per second while it also decodes other generations.
static constexpr double shared_reading_tokens_per_second = idle_prefill_tokens_per_second / 2;
/// Four of five engines have read what is before a prompt in this multiple of the mean time.
static constexpr double backlog_margin = 1.25;

static Duration reading_time(double tokens) { return AK::from_seconds(tokens / shared_reading_tokens_per_second); }

struct Pool {
    Overload::PoolUse use;
    /// Time until an engine has read the prompts that it has accepted already.
    Duration backlog_takes { 0 };
};

static Pool observe_pool(ServingContext const& context, ServiceName const& service, ChoiceInputs const& inputs)
{
    Pool pool;
    auto& use = pool.use;
    i64 unread_tokens = 0;
    u32 engines = 0;
    i64 domain_tokens = 0;
    for (auto const& backend : context.backends.of_service(service)) {
        if (!is_eligible(*backend, inputs))
            continue;
        auto const& engine = backend->engine;
        use.tokens += engine.tokens();
        use.generations += engine.generations();
        unread_tokens += engine.unread_tokens();
        ++engines;
        domain_tokens += engine.own_tokens + engine.domain_peer_work.tokens;
    }
    if (use.tokens > 0)
        use.domain_share = static_cast<double>(domain_tokens) / static_cast<double>(use.tokens);
    if (engines > 0)
        pool.backlog_takes = reading_time(backlog_margin * static_cast<double>(unread_tokens) / engines);
    return pool;
}

static void log_return(ServingContext& context, GenerationWithoutCapacity const& generation,
    Overload::ReturnTime const& time, Duration backlog_takes)
{
    auto const capacity = time.capacity.value_or(Overload::ReleasedCapacity {});
    context.log.event(Core::EventNumber::ReturnRequested, generation.attempt)
        .with("service", generation.service)
        .with("fingerprint", to_text(generation.fingerprint))
        .with("basis", to_string(time.basis))
        .with("after_ms", time.after)
        .with("shortage_ends_in_ms", time.shortage_ends_in)
        .with("refused_share", time.refused_share)
        .with("similar", time.similar_outcomes)
        .with("tokens_per_second", static_cast<i64>(capacity.tokens))
        .with("due_generations", time.due_before.generations)
        .with("due_tokens", time.due_before.tokens)
        .with("wanted", generation.need.prompt.value() + generation.need.expected_output.value())
        .with("backlog_ms", backlog_takes)
        .with("left_ms", generation.time_left);
}

Duration plan_return(ServingContext& context, GenerationWithoutCapacity const& generation, ChoiceInputs const& inputs)
{
    auto const now = context.now();
    auto const prompt = generation.need.prompt.value();
    Overload::ReturnDemand const demand { 1, prompt + generation.need.expected_output.value(), prompt };
    auto const pool = observe_pool(context, generation.service, inputs);
    boost::random::uniform_real_distribution<double> draw(0, 1);
    auto const time = context.return_plans[generation.service].refuse(
        { demand, generation.first_event_due_in, reading_time(static_cast<double>(prompt)), pool.backlog_takes,
            generation.time_left },
        pool.use, draw(context.random), now);
    context.returning_callers.record(
        generation.fingerprint.digest, { generation.service, demand, now + time.after }, now);
    context.metrics.add("returns_requested_total{basis=\"" + std::string(to_string(time.basis)) + "\"}");
    log_return(context, generation, time, pool.backlog_takes);
    context.use_changed();
    return time.after;
}

Overload::ReturningCallers::Return take_return(
    ServingContext& context, std::string const& attempt, RequestFingerprint const& request)
{
    auto const now = context.now();
    auto returned = context.returning_callers.take(request.digest, now);
    if (!returned.entry)
        return returned;
    auto const& entry = *returned.entry;
    context.return_plans[entry.service].record_returned(entry.due, entry.demand, now);
    context.log.event(Core::EventNumber::CallerReturned, attempt)
        .with("service", entry.service)
        .with("fingerprint", to_text(request))
        .with("arrival", to_string(returned.arrival))
        .with("after_due_ms", now - entry.due);
    return returned;
}

void count_return(ServingContext& context, Overload::ReturningCallers::Return const& returned, bool is_served)
{
    if (!returned.entry)
        return;
    std::string const name = is_served ? "returns_served_total" : "returns_refused_again_total";
    context.metrics.add(name + "{arrival=\"" + std::string(to_string(returned.arrival)) + "\"}");
}

bool put_changed_returns(wire::HostUse& message, ServingContext& context)
{
    for (auto& [service, plan] : context.return_plans) {
        for (auto const& announcement : plan.book.take_announcements(context.now(), max_announced_slots)) {
            auto& entry = *message.add_returns();
            entry.set_service(service.value());
            entry.set_due_in_milliseconds(static_cast<u32>(AK::to_milliseconds(announcement.due_in)));
            entry.set_generations(announcement.demand.generations);
            entry.set_tokens(static_cast<u64>(announcement.demand.tokens));
            entry.set_unread_tokens(static_cast<u64>(announcement.demand.unread_tokens));
        }
    }
    return message.returns_size() > 0;
}

void apply_returns(ServingContext& context, MemberId const& sender, wire::HostUse const& message)
{
    for (auto const& entry : message.returns()) {
        ServiceName const service(entry.service());
        // A service without a server is not known, or no longer.
        if (context.backends.of_service(service).empty())
            continue;
        Overload::ReturnBook::Announcement const announcement { std::chrono::milliseconds(entry.due_in_milliseconds()),
            { entry.generations(), static_cast<i64>(entry.tokens()), static_cast<i64>(entry.unread_tokens()) } };
        context.return_plans[service].apply(sender, announcement, context.now());
    }
}

}
