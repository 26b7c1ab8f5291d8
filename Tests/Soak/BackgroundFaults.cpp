/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Timer.h>
#include <Tests/Soak/BackgroundFaults.h>
#include <array>
#include <boost/random/uniform_int_distribution.hpp>

namespace Soak {

/// Stalls of one host after another: about its idle time-out, so that the ends of its timers and the requests of its
/// callers wait for it together. Pauses between their beginnings are chosen; of four hosts each has a stall
/// about every 3.6 s (reckoned).
static constexpr Duration shortest_stall = idle_timeout / 2;
static constexpr Duration longest_stall = idle_timeout * 3 / 2;
static constexpr Duration shortest_stall_pause = 300ms;
static constexpr Duration longest_stall_pause = 1500ms;
/// Backend servers that turn all away: for how long, what they ask for, and that all of a service do so one time in so
/// many.
static constexpr Duration shortest_turning_away = 100ms;
static constexpr Duration longest_turning_away = 500ms;
static constexpr Duration shortest_back_off_asked = 1s;
static constexpr Duration longest_back_off_asked = 6s;
static constexpr u32 services_that_ask_as_a_whole = 6;

u32 draw_below(boost::random::mt19937& random, u32 below)
{
    return boost::random::uniform_int_distribution<u32>(0, below - 1)(random);
}

Duration draw_between(boost::random::mt19937& random, Duration shortest, Duration longest)
{
    boost::random::uniform_int_distribution<i64> milliseconds(
        AK::to_milliseconds(shortest), AK::to_milliseconds(longest));
    return std::chrono::milliseconds(milliseconds(random));
}

BackgroundFaults::BackgroundFaults(Http::asio::io_context& loop, Deployment& deployment, u32 seed)
    : loop(loop)
    , deployment(deployment)
    , stall_random(~seed)
    , entry_random(seed ^ 0x5eed)
    , limit_random(seed ^ 0x11317)
    , back_off_random(seed ^ 0xbac0ff)
{
}

void BackgroundFaults::start()
{
    this->stall_hosts();
    this->corrupt_entries();
    this->advertise_limits();
    this->request_back_off();
}

void BackgroundFaults::end()
{
    this->is_over = true;
    this->restore_entry();
    if (this->limited_server)
        Deployment::withdraw_limit(*this->limited_server);
    for (auto& instance : this->deployment.runners)
        Deployment::accept_again(instance);
}

void BackgroundFaults::after(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<AK::Timer>(this->loop, delay);
    timer->async_wait([this, timer, action = std::move(action)](boost::system::error_code error) {
        if (!error && !this->is_over)
            action();
    });
}

void BackgroundFaults::stall_hosts()
{
    auto& hosts = this->deployment.hosts;
    auto const number = draw_below(this->stall_random, static_cast<u32>(hosts.size()));
    auto const duration = draw_between(this->stall_random, shortest_stall, longest_stall);
    this->deployment.freeze_host(*hosts.at(number), duration);
    this->after(
        draw_between(this->stall_random, shortest_stall_pause, longest_stall_pause), [this] { this->stall_hosts(); });
}

void BackgroundFaults::corrupt_entries()
{
    static constexpr std::array<std::string_view, 6> values { "", "no entry", R"({"service":"models"})",
        R"({"service":7,"addr":[],"zone":null,"slots":1e300,"state":"ready","cold_left_ms":-1,"born":1.5})",
        R"({"service":"models","addr":"nowhere","zone":"","slots":0,"state":"resting","cold_left_ms":0})", "\xff\xfe" };
    this->restore_entry();
    std::vector<RunnerInstance*> living;
    for (auto& instance : this->deployment.runners) {
        if (!instance.is_terminated && !instance.leaving_since)
            living.push_back(&instance);
    }
    auto const value = values.at(draw_below(this->entry_random, values.size()));
    if (!living.empty()) {
        this->corrupted_server = living.at(draw_below(this->entry_random, static_cast<u32>(living.size())));
        this->deployment.put_entry(*this->corrupted_server, std::string(value));
    }
    this->after(draw_between(this->entry_random, shortest_stall_pause, longest_stall_pause),
        [this] { this->corrupt_entries(); });
}

void BackgroundFaults::restore_entry()
{
    auto* instance = std::exchange(this->corrupted_server, nullptr);
    if (instance && !instance->is_terminated && !instance->leaving_since)
        this->deployment.put_row(*instance);
}

void BackgroundFaults::advertise_limits()
{
    constexpr u32 lowest = 1;
    constexpr u32 rates = 2;
    bool const is_over_there
        = this->limited_server && (this->limited_server->is_terminated || this->limited_server->leaving_since);
    auto const serving = this->deployment.serving(plain_service);
    if ((!this->limited_server || is_over_there) && serving.size() >= min_serving) {
        this->limited_server = serving.at(draw_below(this->limit_random, static_cast<u32>(serving.size())));
        Deployment::advertise_limit(*this->limited_server, lowest + draw_below(this->limit_random, rates));
    }
    this->after(shortest_stall_pause, [this] { this->advertise_limits(); });
}

void BackgroundFaults::request_back_off()
{
    auto const* service = draw_below(this->back_off_random, 2) == 0 ? plain_service : engine_service;
    auto asking = this->deployment.serving(service);
    bool const all_ask = draw_below(this->back_off_random, services_that_ask_as_a_whole) == 0;
    if (!all_ask && !asking.empty())
        asking = { asking.at(draw_below(this->back_off_random, static_cast<u32>(asking.size()))) };
    for (auto* instance : asking) {
        this->deployment.reject_all(
            *instance, draw_between(this->back_off_random, shortest_back_off_asked, longest_back_off_asked));
        this->after(draw_between(this->back_off_random, shortest_turning_away, longest_turning_away),
            [instance] { Deployment::accept_again(*instance); });
    }
    this->after(draw_between(this->back_off_random, shortest_stall_pause, longest_stall_pause),
        [this] { this->request_back_off(); });
}

}
